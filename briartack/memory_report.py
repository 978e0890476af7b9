"""Say what the memory of a daemon is used for, in metrics and in the log.

A process that is ended above its memory limit can't say why. Each new height
of its memory is therefore logged before, with the number of what it holds.
"""

import os
from collections.abc import Callable
from typing import Final, final

import gevent

from briartack.accepting import MAX_UNREAD_HEAD_BYTES
from briartack.callers import CallerServer
from briartack.core.effects import LogLevel
from briartack.error_texts import MEMORY_GROWN
from briartack.memory_budget import MemoryBudget
from briartack.metrics import MetricRegistry
from briartack.peers import Peers
from briartack.shell_interfaces import LISTEN_BACKLOG, Observer
from briartack.upstream import UpstreamClient

_POLL_SECONDS: Final = 0.5
# A line for each so many of these steps up to the limit.
_STEPS: Final = 20
# Above this share of the limit, a line is a warning.
_WARNING_SHARE: Final = 0.8
_STATM: Final = '/proc/self/statm'
_STATM_BYTES: Final = 128
_RESIDENT_FIELD: Final = 1
# Memory of an attempt that waits or runs, and of the id of one that has ended,
# see docs/CAPACITY.md.
ATTEMPT_BYTES: Final = 4000
_ATTEMPT_ID_BYTES: Final = 250
# Callers whose connections wait to be accepted may have sent so much.
_MAX_WAITING_BYTES: Final = LISTEN_BACKLOG * MAX_UNREAD_HEAD_BYTES
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')


@final
class ResidentMemory:
    """Read the resident memory of this process from an open file."""

    __slots__ = ('_descriptor',)

    def __init__(self) -> None:
        """Open the file, which stays open: a read is one system call."""
        try:
            self._descriptor = os.open(_STATM, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            self._descriptor = -1

    def read(self) -> int:
        """Return the resident memory in bytes, or 0 if it is not known."""
        try:
            fields = os.pread(self._descriptor, _STATM_BYTES, 0).split()
        except OSError:
            return 0
        return int(fields[_RESIDENT_FIELD]) * _PAGE_BYTES


@final
class MemoryReport:
    """Log each new height of the resident memory with all gauges."""

    __slots__ = (
        '_metrics',
        '_gauges',
        '_memory',
        '_memory_bytes',
        '_observer',
        '_logged_step',
        '_resident',
    )

    def __init__(
        self,
        *,
        memory: MemoryBudget,
        memory_bytes: int,
        metrics: MetricRegistry,
        observer: Observer,
    ) -> None:
        """Start with the gauges of the memory.

        `memory_bytes` is the limit of the process.
        """
        self._metrics = metrics
        self._gauges: dict[str, Callable[[], int]] = {}
        self._memory = memory
        self._memory_bytes = memory_bytes
        self._observer = observer
        self._logged_step = 0
        self._resident = ResidentMemory()
        self.register_gauge('memory.resident_bytes', self._resident.read)
        self.register_gauge('memory.held_bytes', lambda: memory.held_bytes)
        self.register_gauge('memory.body_bytes', lambda: memory.body_bytes)
        self.register_gauge('memory.max_bytes', lambda: memory.max_bytes)

    def register_gauge(self, name: str, read: Callable[[], int]) -> None:
        """Add a gauge to the metrics and to the log lines."""
        self._gauges[name] = read
        self._metrics.register_gauge(name, read)

    def watch_forever(self) -> None:
        """Look at the resident memory until killed."""
        while True:
            self.report(self._resident.read())
            gevent.sleep(_POLL_SECONDS)

    def report(self, resident_bytes: int) -> None:
        """Adapt the limit to the memory; log the gauges at a new height."""
        self._memory.measure(
            resident_bytes=resident_bytes,
            memory_bytes=self._memory_bytes,
            reserved_bytes=_MAX_WAITING_BYTES,
        )
        step = resident_bytes * _STEPS // self._memory_bytes
        if step <= self._logged_step:
            return
        self._logged_step = step
        is_high = resident_bytes >= _WARNING_SHARE * self._memory_bytes
        self._observer.log(
            LogLevel.WARNING if is_high else LogLevel.INFO,
            MEMORY_GROWN,
            limit_bytes=str(self._memory_bytes),
            **{
                name.replace('.', '_'): str(read())
                for name, read in self._gauges.items()
            },
        )


def build_memory_report(
    *,
    memory_bytes: int,
    metrics: MetricRegistry,
    observer: Observer,
    callers: CallerServer,
    peers: Peers,
    upstream: UpstreamClient,
    count_calls: Callable[[], int],
    count_attempts: Callable[[], int],
    count_attempt_ids: Callable[[], int],
) -> MemoryReport:
    """Create the report, and count the work of the reducer as memory.

    The other parts count what they hold themselves.
    """
    memory = callers.memory
    memory.count_objects(count_attempts, ATTEMPT_BYTES)
    memory.count_objects(count_attempt_ids, _ATTEMPT_ID_BYTES)
    report = MemoryReport(
        memory=memory,
        memory_bytes=memory_bytes,
        metrics=metrics,
        observer=observer,
    )
    report.register_gauge('connections.open', lambda: callers.open_connections)
    report.register_gauge(
        'connections.enlarged', lambda: callers.receive_windows.enlarged
    )
    report.register_gauge('calls.in_flight', count_calls)
    report.register_gauge('attempts.in_flight', count_attempts)
    report.register_gauge('attempts.running', lambda: upstream.running)
    report.register_gauge('peers.unsent_bytes', lambda: peers.unsent_bytes)
    return report
