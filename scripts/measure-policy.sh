#!/usr/bin/env bash
# Measures the policy: scripts/measure-policy.sh [BUILD_DIR] [SEEDS]
set -euo pipefail
cd "$(dirname "$0")/.."
programs="${1:-build}/bench/policy"
seeds="${2:-20}"

echo "== cost at the quality target"
"$programs/policy_cascade" "$seeds"
echo "== exposure to bad versions"
"$programs/policy_rollout" "$seeds" "$((10 * seeds))"
echo "== first tokens while pools change"
"$programs/policy_routing" "$seeds"
echo "== one decision"
"$programs/policy_decision"
