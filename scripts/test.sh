#!/usr/bin/env bash
# Sets the machine up, then checks, builds and tests everything.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh

jobs="$(nproc)"
export CCACHE_DIR="${CCACHE_DIR:-$PWD/build-ccache}"

configure() {
  local build_dir="$1"
  shift
  cmake -S . -B "$build_dir" -G Ninja "$@" >"$build_dir.configure.log" 2>&1 || {
    cat "$build_dir.configure.log"
    return 1
  }
}

build() {
  configure "$@"
  cmake --build "$1" -j "$jobs"
}

# Names of the tests in KNOWN-RED.txt, as ctest's regular expression.
known_red() {
  [[ -f KNOWN-RED.txt ]] || return 0
  sed -n 's/^test: *\([A-Za-z0-9_]*\).*/^\1$/p' KNOWN-RED.txt |
    paste -sd '|' -
}

red="$(known_red)"
without_red=()
[[ -z "$red" ]] || without_red=(-E "$red")

echo "== build"
build build -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  "-DCMAKE_CXX_FLAGS_RELWITHDEBINFO=-O2 -DNDEBUG"
echo "== format and lint"
scripts/lint.sh build
echo "== thread sanitizer: the concurrent parts"
configure build-tsan -DCMAKE_CXX_FLAGS="-O1 -g1" -DZINNIASTEP_SANITIZE=thread
cmake --build build-tsan -j "$jobs" --target concurrent_tests
TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp" \
  ctest --test-dir build-tsan --output-on-failure -L concurrent -j 4 "${without_red[@]}"
echo "== address and undefined-behaviour sanitizers"
configure build-asan -DCMAKE_CXX_FLAGS="-O1 -g1" -DZINNIASTEP_SANITIZE=address,undefined
cmake --build build-asan -j "$jobs" --target core_tests concurrent_tests
ctest --test-dir build-asan --output-on-failure -LE "process|heavy" -j "$jobs" "${without_red[@]}"
echo "== fuzzing, fixed runs and seed"
scripts/fuzz.sh
if [[ -n "$red" ]]; then
  echo "== known red, which do not decide"
  cat KNOWN-RED.txt
  ctest --test-dir build --output-on-failure -R "$red" || true
fi
echo "== tests"
ctest --test-dir build --output-on-failure -j 4 "${without_red[@]}"
