#!/usr/bin/env bash
# Checks and compiles what the scripts of review/6 to review/10 start beside wigeonsill-node: stand-ins in Python, of the
# standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"'
for file in rig-2/*.py [6-9]/*.py 10/*.py ../testsuite/standinserver.py ../testsuite/storestandin.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
