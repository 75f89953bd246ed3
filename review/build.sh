#!/bin/sh
# Builds the stand-ins of the review's scripts. They are Python without dependencies, so this only
# checks that the interpreter can compile them.
cd "$(dirname "$0")" && python3 -c '
import pathlib, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for file in sorted(pathlib.Path(".").rglob("*.py")):
    compile(file.read_text(), str(file), "exec")
'
