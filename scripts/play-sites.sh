#!/usr/bin/env bash
# The regression runs: scores and hunts on the users' bench, by hand before a
# landing. Ends non-zero when a play breaks a rule, fails a gate or does not run.
#
#   scripts/play-sites.sh BENCH SYSTEM_DIR [score|hunt|all] [JOBS]
#
# BENCH is the bench's program, SYSTEM_DIR the folder with the site files.
set -euo pipefail
cd "$(dirname "$0")/.."

bench="${1:?the path of the bench}"
sites="${2:?the folder of the site files}"
what="${3:-all}"
jobs="${4:-3}"

# Site file and days to hunt: 40, or 8 where there are 60 machines or more. The
# first two, the oldest, go when a score of the last one passes its gate.
plays=(
  "sites/coopline 40"
  "sites/pssc-zinnia 40"
  "grown/coopline-grown 8"
  "grown/pssc-zinnia-grown 8"
  "large/coopline-large 8"
  "demands/corrida-ne-grown 8"
  "demands/maraval-stationery-grown 8"
)
# Sites that the users have not put in force yet.
not_in_force=(
  "further/giaybay-fleet 40"
  "further-grown/giaybay-fleet-grown 8"
  "shifted/coopline-now-grown 8"
)

out="$(mktemp -d)"
bad=0

# Plays one verb on one site; its output stays in a file.
play() {
  local name="$1" verb="$2" file="$out/${1//\//-}-$2.txt"
  shift 2
  if ! "$bench" "$verb" "$sites/$name.toml" --jobs "$jobs" "$@" >"$file" 2>&1; then
    echo "$name $verb: did not run; see $file"
    bad=1
    return
  fi
  grep -E 'BROKEN|GATE|with a rule broken|^score on' "$file" | sed "s|^|$name: |" || true
  # A play that says nothing of its verdict counts as a failed one.
  local good='GATE passed'
  [[ "$verb" != hunt ]] || good=', 0 with a rule broken'
  if grep -qE 'BROKEN|GATE failed' "$file" || ! grep -q "$good" "$file"; then
    echo "$name $verb: failed; see $file"
    bad=1
  fi
}

for entry in "${plays[@]}"; do
  read -r name days <<<"$entry"
  echo "== $name"
  if [[ "$what" != hunt ]]; then
    play "$name" score --why "regression run: score of the final code"
  fi
  if [[ "$what" != score ]]; then
    play "$name" hunt --days "$days" --why "regression run: hunt on the final code"
  fi
done
echo "sites played: ${plays[*]}; output in $out"
echo "not in force, not played: ${not_in_force[*]}"
exit "$bad"
