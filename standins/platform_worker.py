"""Simulate one worker of the platform, an upstream instance."""

import time
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, NoReturn, final

import gevent

from standins.http_server import BrokenResponse, HttpServer, Request, Response

MS_PER_SECOND: Final = 1000.0
HEALTH_PATH: Final = '/health'
ENDLESS_BLOCK_BYTES: Final = 65536
RECORDED_HEADERS: Final = (
    'X-Deadline-Ms',
    'X-Caller-Service',
    'X-Tenant',
    'X-Api-Key',
)
# The beginning of an answer without end, and the bytes that follow it.
ENDLESS_ANSWERS: Final[Mapping[str, tuple[bytes, bytes]]] = MappingProxyType(
    {
        'endless-head': (b'HTTP/1.1 200 OK\r\n', b'X-Filler: 01234567\r\n'),
        'endless-body': (b'HTTP/1.1 200 OK\r\n\r\n', b'0123456789abcdef'),
    }
)


@final
class PlatformWorker:
    """Run requests of one service under an identity, with faults on request."""

    __slots__ = (
        'identity',
        'is_draining',
        'cold_until',
        'active_fault',
        'work_seconds',
        'stated_limit',
        'is_leaving',
        'bodies_by_path',
        'deadly_path',
        'down_seconds',
        'register',
        'counts',
        'received_requests',
        '_server',
    )

    def __init__(self, *, address: str, identity: str) -> None:
        self.identity = identity
        self.is_draining = False
        self.cold_until = 0.0  # monotonic seconds
        # One of cut, head, unsealed, foreign, refuse and the keys of
        # ENDLESS_ANSWERS; empty for none.
        self.active_fault = ''
        self.work_seconds = 0.001
        self.stated_limit: float | None = None  # requests per second
        self.is_leaving = False  # named in answers, whatever the store says
        self.bodies_by_path: dict[str, bytes] = {}  # instead of an echo
        self.deadly_path = ''  # a request to it ends this worker
        self.down_seconds = 0.5  # until this worker starts again
        # Lists this worker in the store, as each start does.
        self.register: Callable[[], None] | None = None
        self.counts: Counter[str] = Counter()
        self.received_requests: list[tuple[str, str, dict[str, str]]] = []
        self._server = HttpServer(address=address, application=self.answer)

    @property
    def server(self) -> HttpServer:
        """Return the HTTP server of this worker."""
        return self._server

    def restart(self, identity: str) -> None:
        """Simulate a restart at the same address under a new identity."""
        self.identity = identity
        self.is_draining = False
        self.is_leaving = False

    def end(self) -> None:
        """Simulate the end of the process and its start after a time."""
        self.counts['ended'] += 1
        self._server.stop()
        gevent.sleep(self.down_seconds)
        self.restart(f'{self.identity}.{self.counts["ended"]}')
        self._server.start()
        if self.register is not None:
            self.register()

    def answer(self, request: Request) -> Response | BrokenResponse:
        """Answer a health probe or run a request."""
        if request.path == HEALTH_PATH:
            return self._answer_probe()
        body = request.body()
        expected = request.header('X-Expect-Instance')
        if expected and expected != self.identity:
            return Response(
                status=HTTPStatus.MISDIRECTED_REQUEST,
                headers=(('X-Instance-Id', self.identity),),
            )
        if self.active_fault == 'refuse':
            return Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE,
                headers=(('X-Not-Executed', '1'),),
            )
        return self._run(request, body)

    def _run(self, request: Request, body: bytes) -> Response | BrokenResponse:
        attempt_id = request.header('X-Attempt-Id')
        headers = {name: request.header(name) for name in RECORDED_HEADERS}
        self.counts['ran'] += 1
        self.received_requests.append((attempt_id, request.path, headers))
        try:
            self._work(request.path)
        except gevent.GreenletExit:
            # The server is stopping, and would answer with status 500.
            return BrokenResponse(is_reset=True)
        endless = ENDLESS_ANSWERS.get(self.active_fault)
        if endless is not None:
            _send_without_end(request, *endless)
        if self.active_fault == 'cut':
            return BrokenResponse(
                sent=b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab',
            )
        if self.active_fault == 'head':
            named = f'X-Attempt-Id: {attempt_id}\r\nX-Server-Seal: s\r\n'
            return BrokenResponse(sent=f'HTTP/1.1 200 OK\r\n{named}'.encode())
        if self.active_fault == 'foreign':
            attempt_id = 'another'
        seal = (
            () if self.active_fault == 'unsealed' else (('X-Server-Seal', 's'),)
        )
        echo = b' '.join((self.identity.encode(), body))
        return Response(
            body=self.bodies_by_path.get(request.path, echo),
            headers=(
                ('X-Attempt-Id', attempt_id),
                *seal,
                *self._build_statements(),
            ),
        )

    def _work(self, path: str) -> None:
        gevent.sleep(self.work_seconds)
        if path == self.deadly_path:
            gevent.spawn(self.end)
            # The end kills the greenlet of this request.
            gevent.sleep(self.down_seconds)

    def _build_statements(self) -> list[tuple[str, str]]:
        statements = []
        if self.stated_limit is not None:
            statements.append(('Server-Limit', f'{self.stated_limit:g}'))
        if self.is_leaving:
            statements.append(('Server-Leaving', '1'))
        return statements

    def _answer_probe(self) -> Response:
        self.counts['probes'] += 1
        status = HTTPStatus.OK
        if self.is_draining:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        headers = [('X-Instance-Id', self.identity)]
        cold_seconds = self.cold_until - time.monotonic()
        if cold_seconds > 0:
            cold_ms = f'{cold_seconds * MS_PER_SECOND:.0f}'
            headers.append(('X-Cold-Ms', cold_ms))
        return Response(status=status, headers=tuple(headers))


def _send_without_end(
    request: Request, opening: bytes, repeated: bytes
) -> NoReturn:
    """Send until the caller closes; raise OSError then."""
    block = repeated * (ENDLESS_BLOCK_BYTES // len(repeated))
    request.connection.sendall(opening)
    while True:
        request.connection.sendall(block)
        # The other greenlets of the stand-ins run in the same process.
        gevent.sleep(0)
