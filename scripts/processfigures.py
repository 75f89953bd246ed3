"""CPU time and resident memory of processes started by the test harness, read from /proc."""

import os
import pathlib

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    """User and system CPU time used so far, in seconds."""
    fields = pathlib.Path("/proc/%d/stat" % process.popen.pid).read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_mb(process):
    """Resident memory in MB, or 0 if /proc lists none."""
    for line in pathlib.Path("/proc/%d/status" % process.popen.pid).read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0
