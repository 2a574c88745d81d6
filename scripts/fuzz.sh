#!/usr/bin/env bash
# Fuzzes the decoder of the messages between hosts, and the readers of the
# store's entries: scripts/fuzz.sh [RUNS]
# Runs and seed are fixed, so that the verdict is the same every time.
set -euo pipefail
cd "$(dirname "$0")/.."
runs="${1:-20000}"
out="build-fuzz"
mkdir -p "$out"

# fuzz NAME SOURCE... builds tests/fuzz/NAME.cc with these sources and runs it.
fuzz() {
  local name="$1"
  shift
  clang++ -std=c++20 -Wall -Wextra -Werror -O1 -g1 \
    -fsanitize=fuzzer,address,undefined -Isrc -I. "tests/fuzz/$name.cc" "$@" \
    src/libzinniastep/base/*.cc -o "$out/$name" \
    -labsl_status -labsl_statusor -labsl_strings -labsl_cord \
    -labsl_throw_delegate -lcrypto -lxxhash -lzstd
  ASAN_OPTIONS=allocator_may_return_null=1 \
    "$out/$name" -artifact_prefix="$out/" -runs="$runs" -seed=7 -max_len=4096 \
    -rss_limit_mb=2048 -print_final_stats=1
}

fuzz decode_fuzz src/libzinniastep/wire/*.cc
fuzz entry_fuzz platform/record_list.cc platform/record_reader.cc \
  src/libzinniastep/configuration/json_object_reader.cc \
  src/libzinniastep/configuration/numeric_address.cc \
  src/libzinniastep/gateway/caller_access.cc \
  src/libzinniastep/gateway/traffic_policy.cc
