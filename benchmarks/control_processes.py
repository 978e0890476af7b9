"""CPU time and memory of started processes, read from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Final, final

TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
# Positions in /proc/PID/stat after the name of the program in brackets.
USER_TICKS: Final = 11
SYSTEM_TICKS: Final = 12
RESIDENT_PAGES: Final = 21


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Hold what a process has used so far."""

    cpu_seconds: float
    rss_bytes: int


def usage_of(pid: int) -> Usage:
    """Read the usage of a process; raise OSError if it has ended."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    numbers = text.rpartition(')')[2].split()
    ticks = int(numbers[USER_TICKS]) + int(numbers[SYSTEM_TICKS])
    return Usage(
        cpu_seconds=ticks / TICKS_PER_SECOND,
        rss_bytes=int(numbers[RESIDENT_PAGES]) * PAGE_BYTES,
    )
