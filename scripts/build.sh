#!/usr/bin/env bash
# Configures and builds a CMake preset. Usage: scripts/build.sh [PRESET], release by default.
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
cmake --preset "$preset" >/dev/null
cmake --build --preset "$preset"
