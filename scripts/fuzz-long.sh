#!/usr/bin/env bash
# Runs the stateful fuzz test of request outcomes with random seeds until the time limit or a failure.
# Usage: scripts/fuzz-long.sh [MINUTES] [BUILD-FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
minutes="${1:-30}"
build="${2:-build/release}"
test="$build/src/libcore/wigeonsill_core_outcomes_fuzz_test"
end=$((SECONDS + minutes * 60))
while ((SECONDS < end)); do
    seed="$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')"
    echo "seed $seed"
    RC_PARAMS="seed=$seed max_success=20000 max_size=500" "$test" --gtest_brief=1
done
