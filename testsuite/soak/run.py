"""The short seeded soak of CI. docs/VERIFICATION.md tells how to run it longer and with other seeds."""

import pathlib
import sys
import tempfile

from soak import run_seed

SEED = 1
MINUTES = 1.1
SIZE = 6

with tempfile.TemporaryDirectory() as folder:
    report, findings = run_seed(SEED, MINUTES, SIZE, pathlib.Path(folder))
print("\n".join(report))
print("%d passed, %d failed" % (not findings, bool(findings)))
sys.exit(1 if findings else 0)
