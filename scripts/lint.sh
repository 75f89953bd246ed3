#!/usr/bin/env bash
# Checks format and lint. Usage:
#   lint.sh             every source that is not generated
#   lint.sh FILE...     only these
#   lint.sh --fix       formats every source in place
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
# Clang cannot parse Cap'n Proto's headers as C++20, so the units that include them are only formatted.
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' \
    | xargs grep -LE '#include (<(capnp|kj)/|".*\.capnp\.h")')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy-16 --quiet -p build/release 2>/dev/null
echo "format and lint: clean"
