"""Reads the CPU time and memory of processes from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final, final

TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Field offsets in /proc/PID/stat after the program name in brackets.
USER_TICKS_INDEX: Final = 11
SYSTEM_TICKS_INDEX: Final = 12
RESIDENT_PAGES_INDEX: Final = 21


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessUsage:
    """Hold the CPU time and resident memory of a process."""

    cpu_seconds: float
    rss_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Read the resource usage of a process.

    Raises OSError if the process has ended.
    """
    text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    numbers = text.rpartition(')')[2].split()
    ticks = int(numbers[USER_TICKS_INDEX]) + int(numbers[SYSTEM_TICKS_INDEX])
    return ProcessUsage(
        cpu_seconds=ticks / TICKS_PER_SECOND,
        rss_bytes=int(numbers[RESIDENT_PAGES_INDEX]) * PAGE_BYTES,
    )
