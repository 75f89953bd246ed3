#!/usr/bin/env bash
# Installs packages, builds, checks formatting and lint, and runs all tests except those in KNOWN-RED.txt.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
./scripts/build.sh release
./scripts/lint.sh

known_red=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|' || true)
if [ -n "$known_red" ]; then
    echo "tests excluded by KNOWN-RED.txt:"
    grep -v '^#' KNOWN-RED.txt
    ctest --test-dir build/release --output-on-failure -j "$(nproc)" -E "^($known_red)\$"
else
    ctest --test-dir build/release --output-on-failure -j "$(nproc)"
fi
