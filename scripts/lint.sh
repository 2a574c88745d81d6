#!/usr/bin/env bash
# Checks format and lint rules of every source file: scripts/lint.sh BUILD_DIR [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build_dir="${1:-build}"
shift || true

mapfile -t sources < <(git ls-files 'src/**.cc' 'src/**.h' 'tests/**.cc' 'tests/**.h' 'platform/*.cc' 'platform/*.h')
clang-format --dry-run --Werror "${sources[@]}"

files=("$@")
if ((${#files[@]} == 0)); then
  # The fuzz target has no place in the compile database; scripts/fuzz.sh builds
  # it with all warnings as errors.
  mapfile -t files < <(git ls-files 'src/**.cc' 'tests/**.cc' 'platform/*.cc' ':!tests/fuzz/')
fi
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p "$build_dir" 2>&1 |
  { grep -E 'error:|warning:.*\[' && exit 1 || exit 0; }
