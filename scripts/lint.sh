#!/usr/bin/env bash
# Checks format and lint rules of every source file: scripts/lint.sh BUILD_DIR [FILE...]
# A file that passed is not linted again until it, a header of the project that
# it includes, the rules or the build's flags change.
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

export build_dir
export stamps="$build_dir/lint-passed"
export inputs="$build_dir/lint-inputs"
mkdir -p "$stamps"
rules="$({ clang-tidy --version; git ls-files '*CMakeLists.txt' .clang-tidy | xargs cat; } | sha256sum)"
export rules

# One line for each source: its path and the project's files that it reads, as
# the build recorded them. With CCACHE_BASEDIR paths are relative to the build
# directory.
ninja -C "$build_dir" -t deps | awk -v root="$PWD/" '
  /#deps/ { if (line != "") print line; line = ""; next }
  { sub(/^[.][.][/]/, root, $1) }
  index($1, root) == 1 { line = line (line == "" ? "" : " ") substr($1, length(root) + 1) }
  END { if (line != "") print line }' >"$inputs"

lint_one() {
  local source="$1" known key
  known="$(awk -v source="$source" '$1 == source { print; exit }' "$inputs")"
  key=""
  if [[ -n "$known" ]]; then
    # shellcheck disable=SC2086
    key="$({ echo "$rules"; cat $known; } | sha256sum | cut -d' ' -f1)"
    [[ ! -e "$stamps/$key" ]] || return 0
  fi
  local output
  # A linter that ends badly has passed nothing, whatever it printed.
  if ! output="$(clang-tidy --quiet -p "$build_dir" "$source" 2>&1)"; then
    echo "$output"
    return 1
  fi
  if grep -E 'error:|warning:.*\[' <<<"$output"; then
    return 1
  fi
  [[ -z "$key" ]] || touch "$stamps/$key"
}
export -f lint_one
printf '%s\0' "${files[@]}" |
  xargs -0 -n 1 -P "${LINT_JOBS:-$(nproc)}" bash -c 'lint_one "$1"' lint_one
