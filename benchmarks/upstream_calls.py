"""Calls that the runs of a site's upstreams make through their own daemons."""

import time
from collections import Counter
from functools import partial
from http import HTTPStatus
from random import Random
from typing import Final, final

from gevent import socket

from benchmarks.connection_load import SMALL_BODY_BYTES, Connection
from benchmarks.run_record import MS_PER_SECOND, SentRequest, WrapApplication
from standins.http_server import (
    Application,
    BrokenResponse,
    Request,
    Response,
)
from standins.platform_site import Machine

# Of 256 first bytes of ids, those of requests whose runs make a call. The ids
# decide, so that the random choices of a seed stay what they were.
CALLING_IDS: Final = 40
RUN_MS: Final = (1, 20, 100, 400)


@final
class UpstreamCalls:
    """Make calls within runs, and hold what became of them.

    A run whose call fails answers with 500, as the platform's workers do.
    """

    __slots__ = ('requests', '_counts')

    def __init__(self) -> None:
        self.requests: list[SentRequest] = []
        self._counts: Counter[str] = Counter()

    def wrap_for(self, machine: Machine) -> WrapApplication:
        """Return how the application of a machine's upstream is wrapped."""
        return partial(self._wrap, machine)

    def _wrap(self, machine: Machine, application: Application) -> Application:
        return partial(self._answer, machine, application)

    def _answer(
        self, machine: Machine, application: Application, request: Request
    ) -> Response | BrokenResponse:
        began_at = time.monotonic()
        response = application(request)
        attempt = request.header('X-Attempt-Id')
        has_run = (
            isinstance(response, Response) and response.status == HTTPStatus.OK
        )
        if not has_run or not _makes_call(attempt):
            return response
        deadline_ms = float(request.header('X-Deadline-Ms'))
        ends_at = began_at + deadline_ms / MS_PER_SECOND
        if self._call(machine, attempt, ends_at):
            return response
        return Response(
            status=HTTPStatus.INTERNAL_SERVER_ERROR,
            headers=(
                ('X-Attempt-Id', attempt),
                ('X-Server-Seal', f's-{attempt}'),
            ),
        )

    def _call(self, machine: Machine, parent: str, ends_at: float) -> bool:
        left_seconds = ends_at - time.monotonic()
        if left_seconds <= 0:
            return False
        self._counts[parent] += 1
        random = Random(f'{parent} {self._counts[parent]}')
        kind = random.choice(('reads', 'buys'))
        query = f'ms={random.choice(RUN_MS)}&bytes={SMALL_BODY_BYTES}&answer='
        call = SentRequest(
            attempt=f'{parent}.{self._counts[parent]}',
            machine=machine.ip,
            form='call',
            path=f'/{kind}/x?{query}',
            kind=kind,
            deadline_seconds=left_seconds,
        )
        host, _, port = machine.caller_address.partition(':')
        with socket.socket() as sock:
            try:
                sock.connect((host, int(port)))
            except OSError:
                return False  # the daemon is being restarted
            self.requests.append(call)
            connection = Connection(
                sock=sock, machine=machine, random=random, is_slow=False
            )
            connection.exchange([call])
        return call.status == HTTPStatus.OK


def _makes_call(attempt: str) -> bool:
    is_call = '.' in attempt
    return not is_call and int(attempt[:2] or 'ff', 16) < CALLING_IDS
