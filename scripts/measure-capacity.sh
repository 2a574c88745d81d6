#!/usr/bin/env bash
# Measures the control aggregates: scripts/measure-capacity.sh [BUILD_DIR]
set -euo pipefail
cd "$(dirname "$0")/.."
program="${1:-build}/bench/capacity"
for hosts in 9 30 100 300; do
  "$program" fleet "$hosts"
done
for hosts in 250 500 1000 2000; do
  "$program" host "$hosts" "$((5 * hosts))" 0
  "$program" host "$hosts" "$((5 * hosts))" 63
done
"$program" timers
