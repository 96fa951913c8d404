#!/usr/bin/env bash
# Installs what the build and the tests need from Debian's packages; does nothing where all is present.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy curl
    libboost1.81-dev libboost-test1.81-dev libnng-dev libdocopt-dev libfmt-dev
    nlohmann-json3-dev libssl-dev libinih-dev libxxhash-dev clang libclang-rt-14-dev
    libbenchmark-dev valgrind
    libuv1-dev libhttp-parser-dev rapidjson-dev libcereal-dev libsodium-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
