#!/usr/bin/env bash
# Installs the missing packages for the build, the tests and the demo on Debian 12; --checks adds the formatter, the linter
# and the sanitizer runtimes. Does nothing when every package is installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config curl ca-certificates
  libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev libgrpc++-dev libprotobuf-dev libcxxopts-dev
  libgoogle-glog-dev catch2 libtomlplusplus-dev librapidcheck-dev libxxhash-dev libssl-dev libbenchmark-dev
  libpcg-cpp-dev gnuplot-nox openssl)
if [ "${1:-}" = "--checks" ]; then
  packages+=(clang-format-16 clang-tidy-16 clang-16 libclang-rt-16-dev)
fi
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
