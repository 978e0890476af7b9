"""Let one worker answer one request with header lines that never end."""

import sys
import time
from pathlib import Path
from typing import Final, final

import gevent

from review.cases import run_program
from review.clients import MILLISECONDS, Reply, send_request
from review.site import HOST, Node, Site, build_route
from standins.http_server import BrokenResponse, Request, Response

RUN_SECONDS: Final = 15.0
PAUSE_SECONDS: Final = 0.25
TIMEOUT_MS: Final = 1200
SLACK_SECONDS: Final = 0.5
TROUBLE_PATH: Final = '/balance/trouble'
LINE: Final = b'X-Filler: 0123456789abcdef\r\n'
LINES_AT_ONCE: Final = 4096
KIBIBYTES: Final = 1024
FIRST: Final = build_route('balance', 'saldo', max_attempts=1)
SECOND: Final = build_route('tariff', 'compras', timeout_ms=TIMEOUT_MS)


@final
class EndlessWorker:
    """Answer requests for TROUBLE_PATH until the caller closes."""

    def __init__(self, site: Site, node: Node) -> None:
        """Take the place of the worker's application."""
        self._site = site
        self._node = node
        node.worker.server.replace_application(self._answer)

    def _answer(self, request: Request) -> Response | BrokenResponse:
        if request.path == TROUBLE_PATH:
            self._send_without_end(request)
        return self._node.worker.answer(request)

    def _send_without_end(self, request: Request) -> None:
        ip = self._node.ip
        self._site.note(f'{ip}: the worker begins a head that never ends')
        block = LINE * LINES_AT_ONCE
        sent_bytes = 0
        try:
            request.connection.sendall(b'HTTP/1.1 200 OK\r\n')
            while True:
                request.connection.sendall(block)
                sent_bytes += len(block)
        finally:
            sent_kb = sent_bytes // KIBIBYTES
            self._site.note(f'{ip}: the caller closed after {sent_kb} KB')


def send_and_record(site: Site, node: Node) -> tuple[Reply, float]:
    """Send a request to another service; return the answer and its time."""
    began = time.monotonic()
    reply = send_request(
        node.address('outbound'),
        '/tariff/1',
        HOST,
        deadline_ms=TIMEOUT_MS,
        wait_seconds=TIMEOUT_MS / MILLISECONDS + SLACK_SECONDS,
    )
    took = time.monotonic() - began
    site.note(
        f'{node.ip}: request {reply.attempt} to another service: '
        f'{reply.status} {reply.problem} after {took:.3f} s'
    )
    return reply, took


def send_steadily(site: Site, node: Node) -> list[tuple[Reply, float]]:
    """Send requests to another service; return the answers and times."""
    senders = []
    for _ in range(int(RUN_SECONDS / PAUSE_SECONDS)):
        senders.append(gevent.spawn(send_and_record, site, node))
        gevent.sleep(PAUSE_SECONDS)
    return [sender.get() for sender in senders]


def note_state(site: Site, node: Node) -> None:
    """Record what the platform sees of a daemon."""
    memory_mb = site.read_memory_kb(node) // KIBIBYTES
    site.note(
        f'{node.ip}: the daemon holds {memory_mb} MB; '
        f'it says that it is ready: {site.is_ready(node)}'
    )


def run_case(site: Site, has_trouble: bool) -> bool:
    """Return whether the rule held."""
    site.start(FIRST, SECOND)
    site.await_served('/tariff/0')
    node = site.find('costa-gye', 'saldo')
    for each in site.nodes:
        EndlessWorker(site, each)
    path = TROUBLE_PATH if has_trouble else '/balance/1'
    # The daemon prefers the worker of its own machine.
    gevent.spawn(send_request, node.address('outbound'), path, HOST)
    gevent.sleep(PAUSE_SECONDS)
    ends = send_steadily(site, node)
    timeout = TIMEOUT_MS / MILLISECONDS
    overdue = [reply for reply, took in ends if took > timeout]
    unanswered = sum(not reply.status for reply in overdue)
    note_state(site, node)
    site.note(
        f'of {len(ends)} requests, {len(overdue)} were unanswered at the '
        f'timeout of their route, {unanswered} of these 0.5 s later'
    )
    return unanswered * 2 <= len(overdue)


if __name__ == '__main__':
    sys.exit(run_program(run_case, Path(__file__).parent))
