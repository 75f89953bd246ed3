#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, beside the build of the deploy file: the stand-ins are
# Python programs, the project's own in testsuite/ and the cases' in review/.
set -e
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in testsuite/*.py review/rig-3/*.py review/1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 - "$file" "$folder/out.pyc" <<'PYTHON'
import py_compile
import sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)
PYTHON
done
[ -x target/bin/wigeonsill-node ]
