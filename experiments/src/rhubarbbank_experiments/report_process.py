"""Reads processor time and memory of running processes from /proc."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
USER_TIME_FIELD = 11
SYSTEM_TIME_FIELD = 12
KB_PER_MB = 1024.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What a process has used.

    Attributes:
        cpu_s: Processor time since its start, user and system.
        resident_mb: Resident memory now.
    """

    cpu_s: float
    resident_mb: float


def read_usage(pid: int) -> Usage:
    """Returns what a process has used up to now.

    Raises:
        OSError: There is no such process.
    """
    folder = pathlib.Path("/proc") / str(pid)
    # The command name may hold spaces; what follows it doesn't.
    _, _, text = (folder / "stat").read_text().rpartition(")")
    fields = text.split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    resident_kb = 0
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident_kb = int(line.split()[1])
    return Usage(cpu_s=ticks / TICKS_PER_S, resident_mb=resident_kb / KB_PER_MB)
