#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/standins"
output=../../target/review
mkdir -p "$output"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread)
jobs=()
for source in *.cc; do
  g++ "${flags[@]}" -c -o "$output/${source%.cc}.o" "$source" &
  jobs+=("$!")
done
for job in "${jobs[@]}"; do
  wait "$job"
done
shared=()
for part in http store server gateway deployment; do
  shared+=("$output/$part.o")
done
for source in *.cc; do
  program="${source%.cc}"
  [[ " ${shared[*]} " == *"/$program.o "* ]] && continue
  g++ -pthread -o "$output/$program" "$output/$program.o" "${shared[@]}"
done
