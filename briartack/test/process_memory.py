"""Measure the memory of a daemon as the platform counts it.

The platform adds the bytes that have been received and not yet read to the
resident memory of a process.
"""

import os
import socket
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Final, final

from gevent.event import Event

from briartack.memory_budget import MEGABYTE
from standins.platform_site import Machine

SAMPLE_SECONDS: Final = 0.03
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
_LISTENING: Final = '0A'


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = Path(f'/proc/{pid}/statm').read_text('ascii')
    return int(statm.split()[1]) * _PAGE_BYTES


def list_unread_bytes() -> Iterator[tuple[str, int]]:
    """Return the unread bytes of each connection, with its local address.

    Addresses are hexadecimal, as /proc/net/tcp writes them.
    """
    lines = Path('/proc/net/tcp').read_text('ascii').splitlines()
    for line in lines[1:]:
        local, _, state, queues = line.split(maxsplit=5)[1:5]
        if state != _LISTENING:
            yield local, int(queues.partition(':')[2], 16)


def read_unread_bytes(ip: str, except_port: int = 0) -> int:
    """Return what the sockets at an address have received and not yet read.

    Includes connections that wait to be accepted. One port may be left out.
    """
    prefix = f'{_encode_ip(ip)}:'
    left_out = f'{prefix}{except_port:04X}'
    return sum(
        unread
        for local, unread in list_unread_bytes()
        if local.startswith(prefix) and local != left_out
    )


@final
class MemoryWatch:
    """Record the highest sum of resident and unread bytes of daemons."""

    __slots__ = ('_machines', '_peaks', '_is_done')

    def __init__(self, *, machines: list[Machine]) -> None:
        self._machines = machines
        # Resident and unread bytes at the highest sum.
        self._peaks: dict[str, tuple[int, int]] = {}
        self._is_done = Event()

    @property
    def peaks_mb(self) -> dict[str, tuple[float, float]]:
        """Return resident and unread megabytes at the peak of each daemon."""
        return {
            ip: (resident / MEGABYTE, unread / MEGABYTE)
            for ip, (resident, unread) in self._peaks.items()
        }

    def run(self) -> None:
        """Take samples until `stop` is called."""
        while not self._is_done.wait(SAMPLE_SECONDS):
            self.take_sample()

    def stop(self) -> None:
        """End `run`."""
        self._is_done.set()

    def take_sample(self) -> None:
        """Measure all daemons that are running."""
        for machine in self._machines:
            if machine.daemon.is_running:
                self._record(machine)

    def _record(self, machine: Machine) -> None:
        worker_port = int(machine.worker.server.address.rpartition(':')[2])
        sample = (
            read_resident_bytes(machine.daemon.pid),
            read_unread_bytes(machine.ip, worker_port),
        )
        peak = self._peaks.get(machine.ip, (0, 0))
        self._peaks[machine.ip] = max(peak, sample, key=sum)


def _encode_ip(ip: str) -> str:
    """Return an IPv4 address as /proc/net/tcp writes it."""
    number = int.from_bytes(socket.inet_aton(ip), sys.byteorder)
    return f'{number:08X}'
