"""Presses on the memory of daemons, and watches it as the platform does.

Each form of pressure goes to one machine and ends after some seconds.
"""

import os
import signal
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from functools import cache, partial
from pathlib import Path
from random import Random
from types import MappingProxyType
from typing import Any, Final, TypeAlias, final

import gevent
from gevent import socket

from benchmarks.connection_load import Connection
from benchmarks.run_record import (
    DEADLINE_SECONDS,
    END_OF_HEAD,
    MS_PER_SECOND,
    SentRequest,
)
from benchmarks.small_request_load import SmallRequestLoad
from benchmarks.stop_run import Violation
from standins.platform_site import HOST, Machine

MEGABYTE: Final = 1_000_000
# Size of a body and how many of them come at once.
BURSTS: Final = (
    (280_000, 120),
    (1_700_000, 70),
    (8_000_000, 24),
    (16_000_000, 12),
)
HELD_SIZES: Final = (1_700_000, 8_000_000, 16_000_000)
UPLOAD_FORMS: Final = ('length', 'chunked', 'upload')
UPLOAD_PATHS: Final = ('reads', 'buys', 'moved')
BODY_VARIANTS: Final = 2
STALLED_UPLOADS: Final = 30
STALLED_SHARE: Final = 0.75  # of a body that is sent before the stall
SENT_BYTES: Final = 262_144
UNREAD_CONNECTIONS: Final = 30
UNREAD_ANSWERS: Final = 20
SLOW_CONNECTIONS: Final = 20
SLOW_ANSWERS: Final = 4
UNREAD_BUFFER_BYTES: Final = 65_536
UNFINISHED_HEADS: Final = 300
UNFINISHED_HEAD_BYTES: Final = 15_000
IDLE_CONNECTIONS: Final = 500
QUEUED_REQUESTS: Final = 80
QUEUED_BODY_BYTES: Final = 280_000
QUEUED_RUN_MS: Final = 2500
WATCH_SECONDS: Final = 0.01
# Sockets and descriptors are listed once in so many rounds of the watch.
ROUNDS_PER_COUNT: Final = 50
_LISTEN_STATE: Final = '0A'
_TCP_TABLE: Final = Path('/proc/net/tcp')
_PAGE_BYTES: Final = os.sysconf('SC_PAGE_SIZE')
HOLD_SECONDS: Final = (1.0, 2.5, 4.0)
_RUN_MS: Final = (1, 20, 400)

Pressure: TypeAlias = Callable[[Machine, Random], None]


@final
class PressureLoad:
    """Send what takes memory, and hold the requests that expect an answer.

    Callers that leave before they have their answers are not recorded.
    """

    __slots__ = ('requests', '_small')

    def __init__(self) -> None:
        self.requests: list[SentRequest] = []
        self._small = SmallRequestLoad(requests=self.requests)

    @property
    def forms(self) -> Mapping[str, Pressure]:
        """Return all forms of pressure by name."""
        return MappingProxyType(
            {
                'burst': self.burst,
                'late': self.stall,
                'broken': self.break_off,
                'unread': self.leave_unread,
                'slow': self.read_slowly,
                'answers': self.request_large,
                'heads': self.send_heads,
                'idle': self.stay_idle,
                'queue': self.fill_queues,
                'small': self._small.burst,
                'crowd': self._small.crowd,
            }
        )

    def burst(self, machine: Machine, random: Random) -> None:
        """Send many uploads of one size at once."""
        size, count = random.choice(BURSTS)
        run_all(random, count, lambda one: self._upload(machine, one, size))

    def stall(self, machine: Machine, random: Random) -> None:
        """Send uploads whose bodies take seconds."""
        size = random.choice(HELD_SIZES)
        run_all(
            random,
            STALLED_UPLOADS,
            lambda one: self._upload(machine, one, size, form='late'),
        )

    def break_off(self, machine: Machine, random: Random) -> None:
        """Send parts of uploads, hold them, and close the connections."""
        size = random.choice(HELD_SIZES)
        run_all(random, STALLED_UPLOADS, partial(_hold_upload, machine, size))

    def leave_unread(self, machine: Machine, random: Random) -> None:
        """Request many answers of 1 MB that nobody reads."""
        run_all(random, UNREAD_CONNECTIONS, partial(_hold_answers, machine))

    def read_slowly(self, machine: Machine, random: Random) -> None:
        """Request several answers of 1 MB on connections that read slowly."""
        query = f'ms=1&bytes={MEGABYTE}'
        run_all(
            random,
            SLOW_CONNECTIONS,
            lambda one: self._read(machine, one, query, count=SLOW_ANSWERS),
        )

    def request_large(self, machine: Machine, random: Random) -> None:
        """Request many answers of one size at once, and read them."""
        size, count = random.choice(BURSTS)
        query = f'ms={random.choice(_RUN_MS)}&bytes={size}'
        run_all(
            random, count, lambda one: self._read(machine, one, query, count=1)
        )

    def send_heads(self, machine: Machine, random: Random) -> None:
        """Send long heads that do not end."""
        filler = b'x' * UNFINISHED_HEAD_BYTES
        start = _encode_start('GET', 'reads/')
        head = b'\r\nX-Filler: '.join((start, filler))
        _hold_connections(machine, random, UNFINISHED_HEADS, head)

    def stay_idle(self, machine: Machine, random: Random) -> None:
        """Open connections on which nothing is sent."""
        _hold_connections(machine, random, IDLE_CONNECTIONS, b'')

    def fill_queues(self, machine: Machine, random: Random) -> None:
        """Send more requests with bodies than the upstreams can run."""
        run_all(
            random,
            QUEUED_REQUESTS,
            lambda one: self._upload(
                machine,
                one,
                QUEUED_BODY_BYTES,
                form='length',
                run_ms=QUEUED_RUN_MS,
            ),
        )

    def _upload(
        self,
        machine: Machine,
        random: Random,
        size: int,
        *,
        form: str = '',
        run_ms: int = 0,
    ) -> None:
        body = build_upload(size, random.randrange(BODY_VARIANTS))
        request = build_request(
            machine,
            random,
            random.choice(UPLOAD_PATHS),
            f'ms={run_ms or random.choice(_RUN_MS)}&bytes=100',
        )
        request.form = form or random.choice(UPLOAD_FORMS)
        request.method = 'POST'
        request.body = body
        self._exchange(machine, random, [request])

    def _read(
        self, machine: Machine, random: Random, query: str, *, count: int
    ) -> None:
        batch = [
            build_request(machine, random, 'reads', query) for _ in range(count)
        ]
        for behind in batch[1:]:
            behind.is_behind = True
        self._exchange(machine, random, batch, is_slow=count > 1)

    def _exchange(
        self,
        machine: Machine,
        random: Random,
        batch: list[SentRequest],
        *,
        is_slow: bool = False,
    ) -> None:
        with connect(machine, is_small=is_slow) as sock:
            self.requests.extend(batch)
            Connection(
                sock=sock, machine=machine, random=random, is_slow=is_slow
            ).exchange(batch)


@cache
def build_upload(size: int, variant: int) -> bytes:
    """Build the body of an upload; requests share the bodies."""
    return Random(f'{size} {variant}').randbytes(size)


def build_request(
    machine: Machine, random: Random, kind: str, query: str
) -> SentRequest:
    """Build a request with an id of its own."""
    return SentRequest(
        attempt=random.randbytes(8).hex(),
        machine=machine.ip,
        form='plain',
        path=f'/{kind}/x?{query}&answer=',
        kind=kind,
        is_repeatable=kind == 'reads',
    )


def run_all(
    random: Random, count: int, run_one: Callable[[Random], None]
) -> None:
    """Run a number of callers at once, some of whom may lose connections."""
    gevent.joinall(
        [
            gevent.spawn(_run_one, run_one, Random(random.random()))
            for _ in range(count)
        ],
        raise_error=True,
    )


def _run_one(run_one: Callable[[Random], None], random: Random) -> None:
    try:
        run_one(random)
    except OSError:
        # The daemon is stopping, or has refused the rest of a body.
        return


def connect(machine: Machine, *, is_small: bool = False) -> Any:
    """Connect to a daemon, perhaps with a small buffer for answers."""
    host, _, port = machine.caller_address.partition(':')
    sock = socket.create_connection((host, int(port)))
    if is_small:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
        )
    return sock


def _encode_start(method: str, path: str) -> bytes:
    lines = (
        f'{method} /{path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Deadline-Ms: {int(DEADLINE_SECONDS * MS_PER_SECOND)}',
    )
    return '\r\n'.join(lines).encode()


def encode_upload_head(random: Random, size: int) -> bytes:
    """Encode the head of an upload that is not recorded."""
    path = random.choice(UPLOAD_PATHS)
    attempt = random.randbytes(8).hex()
    start = _encode_start('POST', f'{path}/x?ms=1&bytes=100&answer=')
    head = f'\r\nX-Attempt-Id: {attempt}\r\nContent-Length: {size}'.encode()
    return start + head + END_OF_HEAD


def _hold_upload(machine: Machine, size: int, random: Random) -> None:
    head = encode_upload_head(random, size)
    body = memoryview(build_upload(size, random.randrange(BODY_VARIANTS)))
    with connect(machine) as sock:
        sock.sendall(head)
        for at in range(0, int(size * STALLED_SHARE), SENT_BYTES):
            sock.sendall(body[at : at + SENT_BYTES])
        gevent.sleep(random.choice(HOLD_SECONDS))


def _hold_answers(machine: Machine, random: Random) -> None:
    start = _encode_start('GET', f'reads/x?ms=1&bytes={MEGABYTE}&answer=')
    with connect(machine, is_small=True) as sock:
        for _ in range(UNREAD_ANSWERS):
            attempt = random.randbytes(8).hex()
            sock.sendall(start + f'\r\nX-Attempt-Id: {attempt}'.encode())
            sock.sendall(END_OF_HEAD)
        gevent.sleep(random.choice(HOLD_SECONDS))


def _hold_connections(
    machine: Machine, random: Random, count: int, sent: bytes
) -> None:
    until = time.monotonic() + random.choice(HOLD_SECONDS)
    run_all(random, count, lambda _: _hold_one(machine, sent, until))


def _hold_one(machine: Machine, sent: bytes, until: float) -> None:
    with connect(machine) as sock:
        sock.sendall(sent)
        gevent.sleep(until - time.monotonic())


@final
class MemoryWatch:
    """Kill each daemon above its memory limit, from a thread of its own."""

    def __init__(self, *, machines: list[Machine], memory_mb: int) -> None:
        self.kills: list[Violation] = []
        self.peaks: dict[str, float] = defaultdict(float)
        self.unread: dict[str, float] = defaultdict(float)
        self.descriptors: dict[str, int] = defaultdict(int)
        # The names of the loads that are being played.
        self.played: Counter[str] = Counter()
        self._machines = machines
        self._memory_mb = memory_mb
        self._is_stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to watch the daemons."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._is_stopping.set()
        self._thread.join()

    def read_all_mb(self) -> dict[str, float]:
        """Return the resident memory of each daemon."""
        return {one.ip: _read_resident_mb(one) for one in self._machines}

    def _run(self) -> None:
        round_number = 0
        while not self._is_stopping.wait(WATCH_SECONDS):
            round_number += 1
            for machine in self._machines:
                self._check(machine)
            if not round_number % ROUNDS_PER_COUNT:
                self._count()

    def _check(self, machine: Machine) -> None:
        resident_mb = _read_resident_mb(machine)
        ip = machine.ip
        self.peaks[ip] = max(self.peaks[ip], resident_mb)
        if resident_mb <= self._memory_mb:
            return
        machine.daemon.send_signal(signal.SIGKILL)
        self.kills.append(
            {
                'rule': 'FAULT: memory over the limit',
                'machine': ip,
                'resident_mb': resident_mb,
                'loads': [name for name, count in self.played.items() if count],
            }
        )

    def _count(self) -> None:
        unread = _read_unread_bytes()
        for machine in self._machines:
            inodes = _list_descriptors(machine)
            ip = machine.ip
            self.descriptors[ip] = max(self.descriptors[ip], len(inodes))
            unread_mb = sum(unread.get(one, 0) for one in inodes) / MEGABYTE
            self.unread[ip] = max(self.unread[ip], round(unread_mb, 1))


def _read_resident_mb(machine: Machine) -> float:
    try:
        fields = Path(f'/proc/{machine.daemon.pid}/statm').read_text().split()
    except OSError:
        return 0  # the daemon has ended
    return round(int(fields[1]) * _PAGE_BYTES / MEGABYTE, 1)


def _list_descriptors(machine: Machine) -> list[str]:
    """Return what the descriptors of a daemon refer to."""
    directory = f'/proc/{machine.daemon.pid}/fd'
    found = []
    try:
        for name in os.listdir(directory):
            found.append(os.readlink(f'{directory}/{name}'))
    except OSError:
        # The daemon has ended, or has closed the descriptor.
        return found
    return found


def _read_unread_bytes() -> dict[str, int]:
    """Return the received and unread bytes of each socket."""
    unread = {}
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] != _LISTEN_STATE:
            received = fields[4].partition(':')[2]
            unread[f'socket:[{fields[9]}]'] = int(received, 16)
    return unread
