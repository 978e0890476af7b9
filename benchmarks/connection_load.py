"""Sends requests of many forms over raw connections to a platform site.

The connections record what came back; `run_record` has the other end.
"""

import math
import time
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from types import MappingProxyType
from typing import Any, Final, final

import gevent
from gevent import socket

from benchmarks.run_record import (
    DEADLINE_SECONDS,
    END_OF_HEAD,
    MS_PER_SECOND,
    STATUSES_WITHOUT_BODY,
    SentRequest,
)
from standins.platform_site import HOST, Machine

RECEIVE_BYTES: Final = 65536
UPLOAD_PIECES: Final = 10
SMALL_BODY_BYTES: Final = 100
SLOW_SHARE: Final = 0.25
SLOW_BUFFER_BYTES: Final = 262_144
SLOW_BYTES_PER_SECOND: Final = 4_000_000
LARGE_BODY_BYTES: Final = 12_000_000
UPLOAD_BYTES: Final = 6_000_000
MAX_PIPELINED: Final = 5
# The deadline of an upload whose body takes longer.
LATE_SECONDS: Final = 1.0
# A connection that stays silent for so long after the deadline of its request
# has lost it.
PATIENCE_SECONDS: Final = 3.0
STOP_SECONDS: Final = 60.0
_FORMS: Final = (
    ('plain', 30),
    ('length', 15),
    ('chunked', 10),
    ('pieces', 10),
    ('expect', 8),
    ('head', 4),
    ('old', 4),
    ('pipeline', 12),
    ('large', 6),
    ('upload', 3),
    ('late', 2),
)
_ANSWERS: Final = (
    ('', 40),
    ('interim', 4),
    ('open-ended', 4),
    ('early', 4),
    ('no-content', 4),
    ('not-modified', 2),
    ('failed', 4),
)
_METHODS: Final = MappingProxyType(
    {
        'head': 'HEAD',
        'length': 'POST',
        'chunked': 'POST',
        'expect': 'POST',
        'upload': 'POST',
        'late': 'POST',
    }
)
_UPLOADS: Final = frozenset(('upload', 'late'))
_BODY_SIZES: Final = (10, 3000, 200_000)
_SHORT_PAUSES: Final = (0, 0.01, 0.1, 0.3)
_LONG_PAUSES: Final = (0.05, 0.3, 1.0)
_RUN_MS: Final = (1, 1, 1, 5, 20, 100, 400, 1200)
_LONG_RUN_PARTS: Final = 16
_PATHS: Final = ('reads', 'buys', 'moved')


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WorkShape:
    """Hold how long the requests run and how long their callers wait."""

    deadline_seconds: float = DEADLINE_SECONDS
    run_ms: tuple[int, ...] = _RUN_MS


DEFAULT_SHAPE: Final = WorkShape()


def create_long_shape(deadline_seconds: float, max_run_ms: int) -> WorkShape:
    """Create a shape whose run times are spread evenly up to a limit."""
    return WorkShape(
        deadline_seconds=deadline_seconds,
        run_ms=tuple(
            max_run_ms * part // _LONG_RUN_PARTS
            for part in range(1, _LONG_RUN_PARTS + 1)
        ),
    )


@final
class ConnectionLoad:
    """Keep connections to the daemons of a site and send requests on them."""

    __slots__ = (
        'requests',
        '_machines',
        '_random',
        '_shape',
        '_greenlets',
        '_stopping',
    )

    def __init__(
        self,
        *,
        machines: list[Machine],
        random: Random,
        shape: WorkShape = DEFAULT_SHAPE,
    ) -> None:
        self.requests: list[SentRequest] = []
        self._machines = machines
        self._random = random
        self._shape = shape
        self._greenlets: list[gevent.Greenlet] = []
        self._stopping = False

    def start(self, connections: int) -> None:
        """Start the callers, one connection each at a time."""
        self._greenlets = [
            gevent.spawn(self._run, Random(self._random.random()))
            for _ in range(connections)
        ]

    def stop(self) -> None:
        """Stop the callers after their present requests."""
        self._stopping = True
        gevent.joinall(self._greenlets, timeout=STOP_SECONDS, raise_error=True)

    def _run(self, random: Random) -> None:
        while not self._stopping:
            machine = random.choice(self._machines)
            try:
                self._use_connection(machine, random)
            except OSError:
                # The daemon is being restarted.
                gevent.sleep(_LONG_PAUSES[0])

    def _use_connection(self, machine: Machine, random: Random) -> None:
        with socket.socket() as sock:
            is_slow = random.random() < SLOW_SHARE
            if is_slow:
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES
                )
            host, _, port = machine.caller_address.partition(':')
            sock.connect((host, int(port)))
            connection = Connection(
                sock=sock,
                machine=machine,
                random=random,
                shape=self._shape,
                is_slow=is_slow,
            )
            while not self._stopping and connection.is_open:
                batch = connection.build_batch()
                self.requests.extend(batch)
                connection.exchange(batch)
                gevent.sleep(random.choice(_SHORT_PAUSES))


@final
class Connection:
    """Send requests on one connection and read their answers."""

    def __init__(
        self,
        *,
        sock: Any,
        machine: Machine,
        random: Random,
        shape: WorkShape = DEFAULT_SHAPE,
        is_slow: bool,
    ) -> None:
        self.is_open = True
        self._shape = shape
        self._sock = sock
        self._machine = machine
        self._random = random
        self._received = b''
        self._bytes_per_second = SLOW_BYTES_PER_SECOND if is_slow else math.inf

    def build_batch(self) -> list[SentRequest]:
        """Build one request, or several that are sent without waiting."""
        form = _choose(self._random, _FORMS)
        if form != 'pipeline':
            return [self._build(form)]
        count = self._random.randint(2, MAX_PIPELINED)
        batch = [self._build('plain', path='reads') for _ in range(count)]
        for request in batch:
            request.form = 'pipeline'
        for behind in batch[1:]:
            behind.is_behind = True
        return batch

    def exchange(self, batch: list[SentRequest]) -> None:
        """Send a batch and read the answers; record failures."""
        for request in batch:
            request.started_at = time.monotonic()
        sender = gevent.spawn(self._send, batch)
        self.receive(batch)
        sender.kill()

    def receive(self, batch: list[SentRequest]) -> None:
        """Read the answers to a batch; record failures."""
        self._sock.settimeout(self._shape.deadline_seconds + PATIENCE_SECONDS)
        for expected in batch:
            if self.is_open:
                self._try_to_receive(expected)
        for ended in batch:
            ended.ended_at = ended.ended_at or time.monotonic()

    def _try_to_receive(self, request: SentRequest) -> None:
        try:
            self._receive(request)
        except (OSError, ValueError) as error:
            self.is_open = False
            request.problem = f'{type(error).__name__}: {error}'

    def _build(self, form: str, path: str = '') -> SentRequest:
        random = self._random
        path = path or random.choice(_PATHS)
        size = LARGE_BODY_BYTES if form == 'large' else SMALL_BODY_BYTES
        answer = _choose(random, _ANSWERS)
        run_ms = random.choice(self._shape.run_ms)
        method = _METHODS.get(form, 'GET')
        body = b''
        if method == 'POST':
            body = random.randbytes(
                UPLOAD_BYTES if form in _UPLOADS else random.choice(_BODY_SIZES)
            )
        query = f'ms={run_ms}&bytes={size}&answer={answer}'
        return SentRequest(
            attempt=random.randbytes(8).hex(),
            machine=self._machine.ip,
            form=form,
            path=f'/{path}/x?{query}',
            kind=path,
            is_repeatable=path == 'reads',
            method=method,
            body=body,
            deadline_seconds=(
                LATE_SECONDS if form == 'late' else self._shape.deadline_seconds
            ),
        )

    def _send(self, batch: list[SentRequest]) -> None:
        for request in batch:
            try:
                for pause, part in encode_request(request, self._random):
                    gevent.sleep(pause)
                    self._sock.sendall(part)
            except OSError:
                return
            request.sent_at = time.monotonic()

    def _receive(self, request: SentRequest) -> None:
        status = 0
        while status < HTTPStatus.OK:
            while END_OF_HEAD not in self._received:
                self._read()
            head, _, rest = self._received.partition(END_OF_HEAD)
            self._received = rest
            if not head.startswith(b'HTTP/1.1 '):
                raise ValueError(f'no answer: {head[:100]!r}')
            status = int(head.split(b' ', 2)[1])
        request.head = head
        length = 0
        if request.method != 'HEAD' and status not in STATUSES_WITHOUT_BODY:
            length = int(_find_header(head, b'content-length'))
        request.answer = self._read_body(length)
        request.status = status
        request.ended_at = time.monotonic()
        is_closing = _find_header(head, b'connection').lower() == b'close'
        if is_closing or request.form == 'old':
            self.is_open = False

    def _read_body(self, length: int) -> bytes:
        parts = []
        missing = length
        while missing > len(self._received):
            parts.append(self._received)
            missing -= len(self._received)
            self._received = b''
            self._read()
        parts.append(self._received[:missing])
        self._received = self._received[missing:]
        return b''.join(parts)

    def _read(self) -> None:
        part = self._sock.recv(RECEIVE_BYTES)
        if not part:
            raise ConnectionError('the connection ended')
        self._received += part
        if self._bytes_per_second < math.inf:
            gevent.sleep(len(part) / self._bytes_per_second)


def encode_request(
    request: SentRequest, random: Random
) -> list[tuple[float, bytes]]:
    """Return the parts of a request and the pause in seconds before each."""
    body = request.body
    head = _encode_head(request)
    if request.form == 'pieces':
        cut = random.randrange(1, len(head))
        return [(0, head[:cut]), (random.choice(_LONG_PAUSES), head[cut:])]
    if request.form == 'expect':
        return [(0, head), (_LONG_PAUSES[1], body)]
    pieces = [body] if body else []
    if request.form == 'chunked':
        coded = [b'%x\r\n%b\r\n' % (len(part), part) for part in _cut(body, 3)]
        pieces = [*coded, b'0\r\n\r\n']
    if request.form in _UPLOADS:
        pieces = _cut(body, UPLOAD_PIECES)
    if request.form == 'late':
        pause = 2 * LATE_SECONDS / UPLOAD_PIECES
        return [(0, head), *((pause, piece) for piece in pieces)]
    if random.randrange(2):
        return [(0, head + b''.join(pieces))]
    pause = random.choice(_SHORT_PAUSES)
    return [(0, head), *((pause, piece) for piece in pieces)]


def _encode_head(request: SentRequest) -> bytes:
    version = '1.0' if request.form == 'old' else '1.1'
    lines = [
        f'{request.method} {request.path} HTTP/{version}',
        f'Host: {HOST}',
        f'X-Attempt-Id: {request.attempt}',
        f'X-Deadline-Ms: {int(request.deadline_seconds * MS_PER_SECOND)}',
    ]
    if request.form == 'chunked':
        lines.append('Transfer-Encoding: chunked')
    elif request.method == 'POST':
        lines.append(f'Content-Length: {len(request.body)}')
    if request.form == 'expect':
        lines.append('Expect: 100-continue')
    return '\r\n'.join(lines).encode() + END_OF_HEAD


def _cut(body: bytes, count: int) -> list[bytes]:
    size = len(body) // count + 1
    return [body[at : at + size] for at in range(0, len(body), size)]


def _find_header(head: bytes, name: bytes) -> bytes:
    for line in head.split(b'\r\n')[1:]:
        key, _, text = line.partition(b':')
        if key.strip().lower() == name:
            return text.strip()
    return b''


def _choose(random: Random, table: tuple[tuple[str, int], ...]) -> str:
    names = [name for name, _ in table]
    return random.choices(names, [weight for _, weight in table])[0]
