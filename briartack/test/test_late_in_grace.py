"""Tests of requests that come late in the grace time of a planned stop.

Callers on one machine keep their connections and send until the process is
gone, while its daemon is stopped in calm.
"""

import signal
import time
import unittest
import uuid
from collections import Counter
from typing import Any, Final

import gevent
from gevent import socket
from nose2.tools import params

from briartack.test.fake_reducer import read_message
from briartack.test.started_site import start_site
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    build_route,
)

CONNECTIONS: Final = 4
LONG_RUN_SECONDS: Final = 4.0
SHORT_RUN_SECONDS: Final = 0.3
GRACE_SECONDS: Final = 6.0
LATE_SECONDS: Final = 3.0
ROUTES: Final = (
    build_route('reads', '/reads/', 'reads', timeout_ms=6000),
    build_route(
        'buys', '/buys/', 'buys', kind='non_idempotent', timeout_ms=6000
    ),
    build_route('new', '/new/', 'buys'),
)
RECEIVE_SECONDS: Final = 8.0


class Sender:
    """Send requests one after the other until the process is gone.

    `statuses` holds the status of each answered request by id, `unanswered` the
    ids of the requests that were sent and got no answer.
    """

    def __init__(self, machine: Machine, path: str) -> None:
        self.statuses: dict[str, int] = {}
        self.unanswered: list[str] = []
        self._machine = machine
        self._path = path

    def run(self) -> None:
        """Send on one connection after the other."""
        while self._machine.daemon.is_running:
            try:
                sock = self._connect()
            except OSError:
                return
            with sock:
                self._use(sock)

    def _connect(self) -> Any:
        host, _, port = self._machine.caller_address.rpartition(':')
        sock = socket.create_connection((host, int(port)), timeout=1)
        sock.settimeout(RECEIVE_SECONDS)
        return sock

    def _use(self, sock: Any) -> None:
        is_open = True
        while is_open:
            request_id = uuid.uuid4().hex
            head = f'POST {self._path} HTTP/1.1\r\nHost: {HOST}\r\n'
            named = f'X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: 6000\r\n'
            try:
                sock.sendall(f'{head}{named}Content-Length: 0\r\n\r\n'.encode())
                answer = read_message(sock)
            except OSError:
                answer = b''
            if not answer:
                self.unanswered.append(request_id)
                return
            self.statuses[request_id] = int(answer.split(maxsplit=2)[1])
            is_open = b'connection: close' not in answer.lower()
            gevent.sleep(0.02)


class LateInGraceTest(unittest.TestCase):
    # Guards against requests that are taken late in the grace time, passed on
    # and then cut without an answer, some of which may not be repeated (LOST).
    @params('/buys/', '/reads/')
    def test_no_request_that_was_passed_on_is_cut(self, path: str) -> None:
        site = start_site(self, ROUTES)
        machine = site.find_machine('east-1', 'reads')
        senders = [Sender(machine, path) for _ in range(CONNECTIONS)]
        set_work_seconds(site, LONG_RUN_SECONDS)
        # These run until late in the grace time and keep the process.
        long_runs = gevent.spawn(Sender(machine, path).run)
        gevent.sleep(0.3)
        set_work_seconds(site, SHORT_RUN_SECONDS)
        running = [gevent.spawn(sender.run) for sender in senders]
        gevent.sleep(0.5)
        machine.daemon.send_signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        self.assertEqual(machine.daemon.wait(GRACE_SECONDS), 0)
        stop_seconds = time.monotonic() - stopped_at
        self.assertGreater(stop_seconds, LATE_SECONDS)
        gevent.joinall([*running, long_runs])
        passed_on = list_received(site)
        cut = {name for sender in senders for name in sender.unanswered}
        statuses = Counter(
            status for sender in senders for status in sender.statuses.values()
        )
        self.assertEqual(cut & passed_on, set())
        self.assertEqual(set(statuses) - {200, 503}, set(), statuses)
        refused = {
            name
            for sender in senders
            for name, status in sender.statuses.items()
            if status != 200
        }
        self.assertEqual(refused & passed_on, set())
        self.assertGreater(statuses[503], 0)


def set_work_seconds(site: PlatformSite, seconds: float) -> None:
    """Set how long each worker of a site runs a request."""
    for machine in site.machines:
        machine.worker.work_seconds = seconds


def list_received(site: PlatformSite) -> set[str]:
    """Return the ids of the requests that reached a worker."""
    return {
        request_id
        for machine in site.machines
        for request_id, _, _ in machine.worker.received_requests
    }
