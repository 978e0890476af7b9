"""Measures the memory of connections, calls and runs without bodies.

Real daemons of a small site are loaded one after the other; the figures are
those by which a daemon counts what it holds (docs/CAPACITY.md).
"""

import signal
import tempfile
import uuid
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final, final

import defopt
import gevent
from gevent import socket

from benchmarks.figures import Figures, run_as_program
from benchmarks.process_usage import read_usage
from benchmarks.stop_run import SETTLE_SECONDS, wait_until_ready
from briartack.callers import CALL_BYTES
from briartack.memory_report import ATTEMPT_BYTES
from briartack.open_connections import CONNECTION_BYTES
from briartack.upstream import RUN_BYTES
from standins.platform_site import (
    HOST,
    SMALL_SHAPE,
    Machine,
    PlatformSite,
    build_configuration,
    build_route,
)

SLOTS: Final = 4000
TIMEOUT_MS: Final = 30_000
WORK_SECONDS: Final = 20.0
LOAD_SECONDS: Final = 2.0
CONNECTIONS_PER_TURN: Final = 20


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Growth:
    """Hold how much daemons have grown, and the runs that caused it."""

    sender_bytes: int
    owner_bytes: int
    runs: int


def run(arguments: list[str]) -> Figures:
    """Run the benchmark with command-line arguments."""
    figures: Figures = defopt.run(measure, argv=arguments)
    return figures


def measure(*, count: int = 500) -> Figures:
    """Measure the memory that each object takes.

    :param count: number of connections for each measurement
    """
    idle = _play(count, request='')
    waiting = _play(count, request='GET', are_owners_frozen=True)
    running = _play(count, request='GET')
    sizes = {
        'connection': idle.sender_bytes // count,
        'call': (waiting.sender_bytes - idle.sender_bytes) // count,
        'run': running.owner_bytes // max(1, running.runs),
    }
    counted = {
        'connection': CONNECTION_BYTES,
        'call': CALL_BYTES,
        'run': ATTEMPT_BYTES + RUN_BYTES,
    }
    return {
        'benchmark': 'object_memory',
        'met': all(sizes[name] <= counted[name] for name in sizes),
        'bytes_each': sizes,
        'counted_bytes_each': counted,
        'runs': running.runs,
    }


def _play(
    count: int, *, request: str, are_owners_frozen: bool = False
) -> Growth:
    """Return how a site grows by connections with a request each, or none."""
    with tempfile.TemporaryDirectory() as directory:
        shape = replace(SMALL_SHAPE, slots=SLOTS, max_connections=SLOTS)
        site = PlatformSite(directory=Path(directory), shape=shape)
        try:
            return _measure_growth(site, count, request, are_owners_frozen)
        finally:
            site.stop()


def _measure_growth(
    site: PlatformSite, count: int, request: str, are_owners_frozen: bool
) -> Growth:
    _start(site)
    sender = site.find_machine('east-1', 'reads')
    owners = [one for one in site.machines if one.service == 'buys']
    before = _read_bytes([sender]), _read_bytes(owners)
    if are_owners_frozen:
        for owner in owners:
            owner.daemon.send_signal(signal.SIGSTOP)
    held = _connect_all(sender, count, request)
    gevent.sleep(LOAD_SECONDS)
    growth = Growth(
        sender_bytes=_read_bytes([sender]) - before[0],
        owner_bytes=_read_bytes(owners) - before[1],
        runs=sum(one.worker.counts['ran'] for one in owners),
    )
    for caller in held:
        caller.close()
    return growth


def _start(site: PlatformSite) -> None:
    site.start()
    route = build_route('buys', '/buys/', 'buys', timeout_ms=TIMEOUT_MS)
    site.store.put('op/config', build_configuration(route, version=2))
    for machine in site.machines:
        machine.worker.work_seconds = WORK_SECONDS
        wait_until_ready(machine)
    # Cold upstreams would make the calls wait.
    gevent.sleep(2 * SETTLE_SECONDS)


def _connect_all(machine: Machine, count: int, request: str) -> list[Any]:
    """Open connections, and send a request on each, if one is given."""
    host, _, port = machine.caller_address.rpartition(':')
    held = []
    for number in range(count):
        caller = socket.create_connection((host, int(port)))
        if request:
            head = (
                f'{request} /buys/x HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Attempt-Id: {uuid.uuid4().hex}\r\n'
                f'X-Deadline-Ms: {TIMEOUT_MS}\r\n\r\n'
            )
            caller.sendall(head.encode())
        held.append(caller)
        if number % CONNECTIONS_PER_TURN == 0:
            gevent.sleep(0.02)
    return held


def _read_bytes(machines: list[Machine]) -> int:
    return sum(read_usage(one.daemon.pid).rss_bytes for one in machines)


if __name__ == '__main__':
    run_as_program(run)
