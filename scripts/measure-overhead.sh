#!/usr/bin/env bash
# Measures what an entry host adds to the first token and to each token: the
# same streamed load goes to one model engine directly and through one entry
# host, in turns, in one run. Then what one host carries at rising rates.
set -euo pipefail
cd "$(dirname "$0")/.."
work_dir="out/overhead"
bin_dir="build/src"
rm -rf "$work_dir"
mkdir -p "$work_dir"
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap end_fleet EXIT

rate="${RATE:-100}"
seconds="${SECONDS_A_TURN:-10}"
version="hen-small@v3"

# One failure domain with one wide engine that is never slow from cold.
write_settings() {
  cat >"$work_dir/settings.json" <<JSON
{
  "versions": [{"id": "$version", "first_token_us": 8000, "token_us": 1000,
                "prompt_token_us": 5}],
  "servers": [{"name": "engine", "versions": ["$version"], "batch": 4000,
               "queue": 4000, "cold_limit": 4000, "cold_factor": 1.0,
               "warm_after": 1}],
  "objects": [
    {"path": "topology/domains", "value": {"generation": 1, "domains": [
      {"id": "perth-a", "region": "perth", "state": "in"}]}},
    {"path": "topology/servers/perth-a", "value": {"generation": 1,
      "domain": "perth-a", "servers": [{"id": "engine", "kind": "engine",
      "address": "@engine", "versions": ["$version"], "cold_limit": 4000,
      "warm_limit": 4000, "memory_megabytes": 110000}]}}]
}
JSON
}

run_load() {
  "$bin_dir/zinniastep-load" run --profile stream --model hen-small \
    --account perth-farms "$@"
}

write_settings
start_standin "$work_dir/settings.json"
create_object config/coopline examples/coopline.json
start_fleet 1
engine="$(server_address engine)"
entry="$(caller_address 1)"

for turn in 1 2 3; do
  echo "== turn $turn: directly, then through one entry host, $rate calls a second"
  run_load --entry "$engine" --direct "$version" --rate "$rate" \
    --seconds "$seconds" --seed "$turn" --json "$work_dir/direct-$turn.json"
  run_load --entry "$entry" --rate "$rate" --seconds "$seconds" \
    --seed "$turn" --json "$work_dir/entry-$turn.json"
  "$bin_dir/zinniastep-load" compare "$work_dir/direct-$turn.json" \
    "$work_dir/entry-$turn.json"
done

for step in 200 400 800 1200; do
  echo "== one entry host at $step calls a second"
  run_load --entry "$entry" --rate "$step" --seconds "$seconds" \
    --seed "$step" --json "$work_dir/capacity-$step.json"
done
