#!/usr/bin/env bash
# Sets up, builds, and shows a fleet of eight entry hosts in two regions under
# a mixed load: a host is killed and replaced, a failure domain leaves and
# returns, and a version is withdrawn. The last line holds the hosts' word
# against the stand-in's own account; the exit status is not 0 when something
# that must not be was found.
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target zinniastepd zinniastepctl zinniastep-load \
  zinniastep-standin -j "${JOBS:-4}" >/dev/null

work_dir="out/demo"
bin_dir="build/src"
rm -rf "$work_dir"
mkdir -p "$work_dir"
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
trap end_fleet EXIT

load_seconds=45
load_rate=60

export ZINNIASTEP_OPERATOR_KEY="$operator_key"

ctl() {
  "$bin_dir/zinniastepctl" "$@" "--store=$platform" \
    "--host=$(caller_address 1)"
}

say() { printf '== %s\n' "$*"; }

say "stand-in: 2 regions, 3 failure domains, 9 model engines, 3 application servers"
start_standin examples/standin.json
say "a document with a cascade and a roll-out"
ctl apply examples/coopline.json
say "8 entry hosts"
start_fleet 8

say "a mixed load of $load_rate calls a second for $load_seconds s"
"$bin_dir/zinniastep-load" run --entry "$(caller_address 1)" \
  --entry "$(caller_address 5)" --profile coopline --rate "$load_rate" \
  --seconds "$load_seconds" --seed 11 --operator-key "$operator_key" \
  --json "$work_dir/load.json" --plot "$work_dir/load" \
  >"$work_dir/load.txt" &
load_pid=$!

sleep 6
say "SIGKILL of host-3"
kill -KILL "${host_pids[3]}"
wait "${host_pids[3]}" 2>/dev/null || true
sleep 3
say "host-3 is replaced under the same address"
start_host 3
sleep 5
say "failure domain perth-b is taken out"
ctl domain out perth-b
sleep 8
say "failure domain perth-b comes back"
ctl domain in perth-b
sleep 5
say "hen-medium@v3 is withdrawn"
ctl withdraw hen-medium@v3 --bad "--reason=bad answers"
withdrawn_at="$(now_ms)"

wait "$load_pid"
cat "$work_dir/load.txt"
settle_bills
say "the report, as finance and as product read it"
ctl report
say "graceful shutdown"
stop_fleet
stop_standin
gnuplot "$work_dir/load.gp"
say "plot: $work_dir/load.svg"
"$bin_dir/zinniastep-load" verdict --name demo --result "$work_dir/load.json" \
  --backend-account "$work_dir/account.json" --bills "$work_dir/bills.json" \
  --document examples/coopline.json \
  --withdrawn "hen-medium@v3:$withdrawn_at"
