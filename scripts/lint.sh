#!/usr/bin/env bash
# Checks formatting with clang-format and lints with clang-tidy. Usage:
#   lint.sh             checks all source files except generated ones
#   lint.sh FILE...     checks only these files
#   lint.sh --fix       formats all source files in place
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ] && [ "$1" != "--fix" ]; then
    sources=("$@")
else
    mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' \
        | grep -v '\.capnp\.h$' | sort)
fi
if [ "${1:-}" = "--fix" ]; then
    clang-format-16 -i "${sources[@]}"
    exit 0
fi
clang-format-16 --dry-run --Werror "${sources[@]}"
# Clang cannot parse the Cap'n Proto headers as C++20, so clang-tidy skips files that include them.
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' \
    | xargs grep -LE '#include (<(capnp|kj)/|".*\.capnp\.h")')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-16 --quiet -p build/release 2>/dev/null
echo "format and lint: clean"
