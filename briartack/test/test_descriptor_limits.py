"""Test a daemon at the limit of its descriptors and of open connections.

Callers that hold connections must not keep the daemon from answering the
platform, its peers, its worker and the store.
"""

import tempfile
import time
import unittest
import uuid
from pathlib import Path

import gevent
from gevent import socket
from nose2.tools import params

from briartack.test.shell_fixture import read_answer
from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    SiteShape,
    send_consumer_request,
    send_request,
)

MAX_DESCRIPTORS = 500
CONNECTIONS = 600
QUESTIONS = 5
HOLD_SECONDS = 5.0
PATIENCE_SECONDS = 2.0
QUESTION_SECONDS = 1.0
REQUEST = (
    f'GET /reads/ HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: %s\r\n'
    'X-Deadline-Ms: 2000\r\n\r\n'
)


def start_small_site(
    case: unittest.TestCase, max_descriptors: int | None = None
) -> PlatformSite:
    """Start a site of two machines, and stop it after the test."""
    directory = tempfile.TemporaryDirectory()
    case.addCleanup(directory.cleanup)
    shape = SiteShape(
        regions_by_zone={'east-1': 'east'},
        services=('reads', 'buys'),
        slots=4,
        max_connections=50,
        max_descriptors=max_descriptors,
    )
    site = PlatformSite(directory=Path(directory.name), shape=shape)
    case.addCleanup(site.stop)
    site.start()
    machine = site.find_machine('east-1', 'buys')
    case.assertTrue(becomes_true(site.is_ready))
    case.assertTrue(
        becomes_true(
            lambda: send_consumer_request(machine, '/reads/').status == 200
        )
    )
    return site


def ask_ready(machine: Machine) -> int:
    """Return the status of the ready address; 0 if it does not answer."""
    return send_request(
        f'http://{machine.operator_address}/readyz',
        timeout_seconds=QUESTION_SECONDS,
    ).status


def hold_connection(machine: Machine, sent: str) -> int:
    """Send a request on a connection and keep the connection while allowed.

    Returns the status of the answer; 0 if nothing was sent or answered.
    """
    host, _, port = machine.caller_address.rpartition(':')
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        if not sent:
            gevent.sleep(HOLD_SECONDS)
            return 0
        caller.sendall((sent % uuid.uuid4().hex).encode())
        try:
            status, head, _ = read_answer(caller)
        except (OSError, EOFError):
            return 0
        if b'Connection: close' not in head:
            gevent.sleep(HOLD_SECONDS)
        return status


def send_patiently(machine: Machine, path: str) -> int:
    """Send a request, again as Retry-After says, until its time is over.

    Returns the status of the last answer.
    """
    until = time.monotonic() + PATIENCE_SECONDS
    answer = send_consumer_request(machine, path)
    while answer.status == 503 and time.monotonic() < until:
        gevent.sleep(float(answer.headers['retry-after']))
        answer = send_consumer_request(machine, path)
    return answer.status


class DescriptorLimitTest(unittest.TestCase):
    # Guards against callers whose connections take all descriptors: ready
    # unanswered, tracebacks without end, requests of others without an answer.
    @params(('', {0}), (REQUEST, {200, 503, 504}))
    def test_daemon_serves_while_callers_hold_connections(
        self, sent: str, allowed_statuses: set[int]
    ) -> None:
        site = start_small_site(self, MAX_DESCRIPTORS)
        machine = site.find_machine('east-1', 'buys')
        for one in site.machines:
            one.worker.work_seconds = 1
        callers = [
            gevent.spawn(hold_connection, machine, sent)
            for _ in range(CONNECTIONS)
        ]
        gevent.sleep(0.5)
        running = gevent.spawn(send_consumer_request, machine, '/reads/')
        answers = []
        for _ in range(QUESTIONS):
            gevent.sleep(QUESTION_SECONDS / 2)
            answers.append(ask_ready(machine))
        self.assertEqual(set(answers), {200})
        self.assertIn(running.get().status, {200, 503})
        for one in site.machines:
            one.worker.work_seconds = 0.001
        statuses = {
            send_patiently(machine, path)
            for path in ('/reads/', '/buys/', '/reads/')
        }
        self.assertEqual(statuses, {200})
        answered = {caller.get() for caller in callers}
        self.assertLessEqual(answered, allowed_statuses)
        logs = machine.daemon.stdout.read_text('utf-8')
        self.assertNotIn('Traceback', logs)
        self.assertIn('connections-full', logs)
        self.assertEqual(machine.daemon.read_error_tail(), '')
