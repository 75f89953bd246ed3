#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
./scripts/build.sh release
./scripts/lint.sh
ctest --test-dir build/release --output-on-failure -j "$(nproc)"
