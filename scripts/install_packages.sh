#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, if any is missing.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl python3
    libpoco-dev libnghttp2-dev libboost-dev libgflags-dev liblog4cplus-dev libabsl-dev
    libcppunit-dev libprotobuf-dev libgrpc++-dev libxxhash-dev nlohmann-json3-dev
    libssl-dev libprotoc-dev protobuf-compiler protobuf-compiler-grpc
)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
