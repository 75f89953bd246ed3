#!/usr/bin/env bash
# Installs, builds, checks format and lint, and runs every test but those that KNOWN-RED.txt lists.
set -euo pipefail
cd "$(dirname "$0")/.."
./scripts/install-packages.sh
./scripts/build.sh release
./scripts/lint.sh

known_red=$(grep -v '^#' KNOWN-RED.txt | cut -d'|' -f1 | tr -d ' ' | paste -sd'|' || true)
if [ -n "$known_red" ]; then
    echo "passed over, see KNOWN-RED.txt:"
    grep -v '^#' KNOWN-RED.txt
    ctest --test-dir build/release --output-on-failure -j "$(nproc)" -E "^($known_red)\$"
else
    ctest --test-dir build/release --output-on-failure -j "$(nproc)"
fi
