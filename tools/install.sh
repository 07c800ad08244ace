#!/usr/bin/env bash
# Installs what the build, the tests and the linter need: Debian packages only.
set -euo pipefail
packages=(libboost1.81-dev libboost-program-options1.81-dev libjsonrpccpp-dev libgoogle-glog-dev doctest-dev
    libtomlplusplus-dev libbenchmark-dev librapidcheck-dev nlohmann-json3-dev libxxhash-dev libsodium-dev
    g++ cmake ninja-build ccache clang-tidy-16 clang-format-16 curl python3)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if ((${#missing[@]} > 0)); then
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
