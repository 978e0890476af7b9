"""Records of requests to a platform site, as callers and upstreams saw them.

Each request has its own id, so that both ends can be compared.
"""

import hashlib
import math
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from http import HTTPStatus
from types import MappingProxyType
from typing import Final, TypeAlias, final

import gevent

from standins.http_server import (
    Application,
    BrokenResponse,
    Request,
    Response,
)
from standins.platform_site import Machine
from standins.platform_worker import HEALTH_PATH, PlatformWorker

WrapApplication: TypeAlias = Callable[[Application], Application]
MS_PER_SECOND: Final = 1000
DEADLINE_SECONDS: Final = 4.0
END_OF_HEAD: Final = b'\r\n\r\n'
_STATUSES: Final = MappingProxyType(
    {
        'no-content': HTTPStatus.NO_CONTENT,
        'not-modified': HTTPStatus.NOT_MODIFIED,
        'failed': HTTPStatus.INTERNAL_SERVER_ERROR,
    }
)
STATUSES_WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED)
)


@final
@dataclass(slots=True, kw_only=True)
class SentRequest:
    """Hold one request and what its caller saw; times are monotonic seconds.

    The request is owed an answer of its upstream until `limit_seconds`.
    `status` 0 means that no complete answer came, `head` is then that of a part
    of one. `sent_at` is the time of the last byte, infinite while part of the
    request is unsent.
    """

    attempt: str
    machine: str
    form: str
    path: str
    kind: str
    method: str = 'GET'
    body: bytes = b''
    is_repeatable: bool = False
    deadline_seconds: float = DEADLINE_SECONDS
    route_seconds: float = math.inf  # the shortest timeout of its route
    started_at: float = 0
    sent_at: float = math.inf
    ended_at: float = 0
    is_behind: bool = False  # sent behind another request
    status: int = 0
    head: bytes = b''
    answer: bytes = b''
    problem: str = ''

    @property
    def limit_seconds(self) -> float:
        """Return the time after which a daemon may end the request."""
        return min(self.deadline_seconds, self.route_seconds)


@final
@dataclass(slots=True, kw_only=True)
class Run:
    """Hold one run of a request at an upstream."""

    machine: str
    digest: str
    started_at: float
    ended_at: float = 0  # 0 while the run goes on
    status: int = 0
    body: bytes = b''
    is_broken: bool = False  # the answer was not sent as it should be


@final
@dataclass(slots=True, kw_only=True)
class RunRecord:
    """Record the runs of all upstreams of a site.

    `make_calls` makes the calls of a run: it gets the machine, the attempt and
    the names that the request states.
    """

    make_calls: Callable[[str, str, str], None] = field(
        default=lambda _machine, _attempt, _names: None
    )
    runs: dict[str, list[Run]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def attach(
        self, machine: Machine, wrap: WrapApplication | None = None
    ) -> None:
        """Replace the application of a machine's upstream.

        `wrap` may return another application around the one that records.
        """
        worker = machine.worker
        application: Application = partial(self._answer, machine.ip, worker)
        worker.server.replace_application(
            wrap(application) if wrap else application
        )

    def _answer(
        self, machine: str, worker: PlatformWorker, request: Request
    ) -> Response | BrokenResponse:
        if request.path == HEALTH_PATH:
            return worker.answer(request)
        if request.header('X-Expect-Instance') != worker.identity:
            return Response(status=HTTPStatus.MISDIRECTED_REQUEST)
        attempt = request.header('X-Attempt-Id')
        fields = dict(request.query)
        kind = fields.get('answer', '')
        run = Run(machine=machine, digest='', started_at=time.monotonic())
        self.runs[attempt].append(run)
        if kind != 'early':
            run.digest = hashlib.sha256(request.body()).hexdigest()
        names = fields.get('calls', '')
        if names:
            self.make_calls(machine, attempt, names)
        gevent.sleep(int(fields['ms']) / MS_PER_SECOND)
        run.body = build_body(attempt, int(fields['bytes']))
        run.status = _STATUSES.get(kind, HTTPStatus.OK)
        if run.status in STATUSES_WITHOUT_BODY or request.method == 'HEAD':
            run.body = b''
        run.ended_at = time.monotonic()
        return _build_response(run, attempt, kind)


def _build_response(
    run: Run, attempt: str, kind: str
) -> Response | BrokenResponse:
    headers = (('X-Attempt-Id', attempt), ('X-Server-Seal', f's-{attempt}'))
    if kind not in {'interim', 'open-ended'}:
        return Response(status=run.status, body=run.body, headers=headers)
    # The stand-in ends the connection after such an answer.
    lines = [f'HTTP/1.1 {run.status} OK', 'Connection: close']
    lines += [f'{name}: {text}' for name, text in headers]
    interim = b''
    if kind == 'interim':
        interim = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'
        lines.append(f'Content-Length: {len(run.body)}')
    head = '\r\n'.join(lines).encode() + END_OF_HEAD
    return BrokenResponse(sent=interim + head + run.body)


def build_body(attempt: str, size: int) -> bytes:
    """Build the body of the answer to a request."""
    seed = f'{attempt} '.encode()
    return (seed * (size // len(seed) + 1))[:size]
