#!/usr/bin/env bash
# Installs the compilers, tools and libraries that the build declares.
set -euo pipefail

packages=(
  build-essential cmake ninja-build ccache clang clang-format clang-tidy
  libclang-rt-14-dev gnuplot-nox valgrind curl
  libpistache-dev libcereal-dev libboost-dev libboost-log-dev
  libdocopt-dev libabsl-dev libcurl4-openssl-dev libssl-dev
  nlohmann-json3-dev libxxhash-dev libzstd-dev librapidcheck-dev libgtest-dev
  libbenchmark-dev
)

missing=()
for package in "${packages[@]}"; do
  state="$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)"
  [[ "$state" == "install ok installed" ]] || missing+=("$package")
done

if ((${#missing[@]} > 0)); then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
fi
