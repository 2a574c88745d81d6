#!/bin/bash
# Builds the stand-ins of the second review's cases into target/review-2/, with
# the compiler and the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/$name" "$source" -pthread
done
