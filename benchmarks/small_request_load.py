"""Sends bursts of small requests whose callers come again at once.

The callers use new, kept and pipelined connections and heed no Retry-After, so
a daemon that refuses requests gets more of them.
"""

import time
from collections.abc import Iterator
from random import Random
from typing import Any, Final, final

import gevent
from gevent import socket

from benchmarks.connection_load import (
    PATIENCE_SECONDS,
    RECEIVE_BYTES,
    Connection,
    encode_request,
)
from benchmarks.run_record import END_OF_HEAD, SentRequest
from briartack.socket_options import has_unread_input
from standins.platform_site import HOST, Machine

CALLERS: Final = (30, 60, 100)
BURST_SECONDS: Final = (1.0, 2.0, 3.0)
CROWD_SECONDS: Final = 3.0
# More connections than a daemon of the platform's smallest memory serves.
MAX_HELD_CONNECTIONS: Final = 1300
MAX_PIPELINED: Final = 40
# Run times of the requests of one burst: those of quick and of slow workers.
RUN_MS: Final = ((1,), (1, 20, 240), (400, 1200))
ANSWER_BYTES: Final = 100
BODY_BYTES: Final = 200
POST_SHARE: Final = 0.4
_RETRY_SECONDS: Final = 0.01
_CONNECT_PAUSE_SECONDS: Final = 0.02
_CONNECTIONS_PER_PAUSE: Final = 50
_CLOSE: Final = b'\r\nConnection: close\r\n\r\n'
_PATHS: Final = ('buys', 'moved')
_UNFINISHED: Final = (
    f'POST /buys/x?ms=1&bytes=9&answer= HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Deadline-Ms: 8000\r\nContent-Length: 2'
).encode() + END_OF_HEAD


@final
class SmallRequestLoad:
    """Send bursts of small requests to one machine and record the requests."""

    __slots__ = ('_requests', '_is_crowded')

    def __init__(self, *, requests: list[SentRequest]) -> None:
        """Add all requests to a list."""
        self._requests = requests
        self._is_crowded = False

    def burst(self, machine: Machine, random: Random) -> None:
        """Send small requests of many callers for some seconds."""
        until = time.monotonic() + random.choice(BURST_SECONDS)
        run_ms = random.choice(RUN_MS)
        gevent.joinall(
            [
                gevent.spawn(
                    self.call, machine, Random(random.random()), until, run_ms
                )
                for _ in range(random.choice(CALLERS))
            ],
            raise_error=True,
        )

    def crowd(self, machine: Machine, random: Random) -> None:
        """Send on new connections while all of a daemon are in use.

        Does nothing beside another crowd: two would share the time that this
        process has for thousands of connections a second.
        """
        if self._is_crowded:
            return
        self._is_crowded = True
        held: list[Any] = []
        try:
            _fill_connections(machine, held)
        except OSError:
            # The daemon has stopped.
            gevent.sleep(_RETRY_SECONDS)
        until = time.monotonic() + CROWD_SECONDS
        gevent.joinall(
            [
                gevent.spawn(self._call_anew, machine, random, until)
                for _ in range(max(CALLERS))
            ],
            raise_error=True,
        )
        for one in held:
            one.close()
        self._is_crowded = False

    def call(
        self,
        machine: Machine,
        random: Random,
        until: float,
        run_ms: tuple[int, ...],
    ) -> None:
        """Send requests until a time, and connect again after each close."""
        depth = random.choice((1, 1, 2, 5, MAX_PIPELINED))
        is_kept = depth > 1 or random.randrange(2) == 0
        while time.monotonic() < until:
            try:
                self._use_connection(
                    machine,
                    _build_batches(machine, random, until, run_ms, depth),
                    is_kept=is_kept,
                )
            except OSError:
                # The daemon is being restarted.
                gevent.sleep(_RETRY_SECONDS)

    def _call_anew(
        self, machine: Machine, random: Random, until: float
    ) -> None:
        """Send each request on a connection of its own."""
        while time.monotonic() < until:
            request = _build_request(machine, random, RUN_MS[0], post_share=0)
            try:
                with _connect(machine) as sock:
                    self._requests.append(request)
                    _exchange(sock, request, random)
            except OSError as error:
                # Without a connection, nothing was sent.
                request.problem = str(error)
                request.ended_at = time.monotonic()
                gevent.sleep(_RETRY_SECONDS)

    def _use_connection(
        self,
        machine: Machine,
        batches: Iterator[list[SentRequest]],
        *,
        is_kept: bool,
    ) -> None:
        with _connect(machine) as sock:
            connection = Connection(
                sock=sock, machine=machine, random=Random(0), is_slow=False
            )
            for batch in batches:
                self._requests.extend(batch)
                connection.exchange(batch)
                if not (is_kept and connection.is_open):
                    return


def _build_batches(
    machine: Machine,
    random: Random,
    until: float,
    run_ms: tuple[int, ...],
    depth: int,
) -> Iterator[list[SentRequest]]:
    """Yield requests that are sent without waiting, until a time."""
    while time.monotonic() < until:
        batch = [_build_request(machine, random, run_ms) for _ in range(depth)]
        for behind in batch[1:]:
            behind.is_behind = True
        yield batch


def _build_request(
    machine: Machine,
    random: Random,
    run_ms: tuple[int, ...],
    post_share: float = POST_SHARE,
) -> SentRequest:
    is_post = random.random() < post_share
    kind = random.choice(_PATHS) if is_post else 'reads'
    query = f'ms={random.choice(run_ms)}&bytes={ANSWER_BYTES}&answer='
    return SentRequest(
        attempt=random.randbytes(8).hex(),
        machine=machine.ip,
        form='length' if is_post else 'plain',
        path=f'/{kind}/x?{query}',
        kind=kind,
        method='POST' if is_post else 'GET',
        body=random.randbytes(BODY_BYTES) if is_post else b'',
        is_repeatable=not is_post,
    )


def _exchange(sock: Any, request: SentRequest, random: Random) -> None:
    """Send a request and read the answer until the daemon closes.

    Takes less time than `Connection`, which matters for thousands a second.
    """
    sock.settimeout(request.deadline_seconds + PATIENCE_SECONDS)
    _, encoded = encode_request(request, random)[0]
    request.started_at = time.monotonic()
    sock.sendall(encoded.replace(END_OF_HEAD, _CLOSE))
    request.sent_at = time.monotonic()
    received = b''
    while part := sock.recv(RECEIVE_BYTES):
        received += part
    request.ended_at = time.monotonic()
    head, _, answer = received.partition(END_OF_HEAD)
    request.head = head
    request.answer = answer
    if b'\r\nContent-Length: %d\r\n' % len(answer) in received:
        request.status = int(head.split(b' ', 2)[1])
    else:
        request.problem = 'the connection ended'


def _connect(machine: Machine) -> Any:
    host, _, port = machine.caller_address.partition(':')
    return socket.create_connection((host, int(port)))


def _fill_connections(machine: Machine, held: list[Any]) -> None:
    """Open connections with unfinished requests until one is refused."""
    while len(held) < MAX_HELD_CONNECTIONS:
        added = [_connect(machine) for _ in range(_CONNECTIONS_PER_PAUSE)]
        held += added
        for sock in added:
            sock.sendall(_UNFINISHED)
        gevent.sleep(_CONNECT_PAUSE_SECONDS)
        refused = [one for one in added if has_unread_input(one)]
        for answered in refused:
            held.remove(answered)
            answered.close()
        if refused:
            return
