#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, if any are missing.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache git curl python3
    libboost1.81-dev libboost-json1.81-dev
    libcapnp-dev capnproto libpopt-dev liblog4cplus-dev libxxhash-dev
    libgtest-dev librapidcheck-dev libbenchmark-dev
    clang-format-16 clang-tidy-16
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi

apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
