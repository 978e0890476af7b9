"""Test that broken answers of an upstream are never passed on as answers."""

import struct
import unittest
from typing import Any, Final

from gevent import socket
from gevent.server import StreamServer
from nose2.tools import params

from briartack.core import events
from briartack.test.fake_reducer import ScriptedServer
from briartack.test.shell_fixture import ShellFixture
from briartack.test.test_descriptor_limits import start_small_site
from briartack.test.test_platform_site import becomes_true
from briartack.test.test_upstream import dispatch_effect
from standins.platform_site import (
    Machine,
    PlatformSite,
    send_consumer_request,
)

# What the sockets between a daemon and its upstream hold is less.
UPLOAD: Final = bytes(8_000_000)
# The fault showed in 43 % of the answers.
ANSWERS: Final = 12
RECEIVED_BYTES: Final = 65_536
PROBE: Final = b'GET /health'
HEALTHY: Final = (
    'HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n'
)
SEALED: Final = 'X-Server-Seal: s\r\nX-Attempt-Id: %s\r\n'
LENGTHLESS: Final = {
    'closed': ('HTTP/1.1 200 OK\r\nConnection: close\r\n%s\r\n', 'part'),
    'HTTP/1.0': ('HTTP/1.0 200 OK\r\n%s\r\n', 'part'),
    'chunks': (
        'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n%s\r\n',
        '4\r\npart\r\n',
    ),
}


class BrokenWorker:
    """Answer each request at once, and reset its connection.

    `answer` and `is_reset` say how, once the head has arrived.
    """

    def __init__(self, machine: Machine) -> None:
        """Take the place of the worker of a machine."""
        self.answer = ''
        self.is_reset = True
        self.answered = 0
        self._identity = machine.worker.identity
        machine.worker.server.stop()
        host, _, port = machine.worker.server.address.rpartition(':')
        self.server = StreamServer((host, int(port)), self._handle)
        self.server.start()

    def _handle(self, sock: Any, address: Any) -> None:
        received: bytes = sock.recv(RECEIVED_BYTES)
        while received:
            if not received.startswith(PROBE):
                self._answer(sock, received)
                return
            sock.sendall((HEALTHY % self._identity).encode())
            received = sock.recv(RECEIVED_BYTES)

    def _answer(self, sock: Any, received: bytes) -> None:
        head = received.decode('latin-1').lower()
        attempt = head.partition('x-attempt-id: ')[2].partition('\r\n')[0]
        sock.sendall((self.answer % (SEALED % attempt)).encode())
        self.answered += 1
        if self.is_reset:
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()


class AnswerStatusTest(unittest.TestCase):
    # Guards against a status that no caller can interpret, passed on as the
    # answer of a request.
    @params('000', '099', '20', '2000', '+20', '0x2', '600', '999')
    def test_other_status_is_no_answer(self, status: str) -> None:
        shell = self.dispatch(status)
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertIs(failed.may_have_run, True)
        self.assertEqual(shell.state.events_of(events.UpstreamAnswered), [])

    # Guards against unusual answers that are lost.
    @params(200, 299, 399, 499, 599)
    def test_unusual_status_is_an_answer(self, status: int) -> None:
        shell = self.dispatch(str(status))
        answered = shell.state.wait_for(events.UpstreamAnswered)[0]
        self.assertEqual(answered.status, status)

    def dispatch(self, status: str) -> ShellFixture:
        """Return a shell whose upstream gives an answer with a status."""
        head = f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok'
        server = ScriptedServer(head.encode())
        self.addCleanup(server.stop)
        shell = ShellFixture(upstream=server.address)
        self.addCleanup(shell.stop)
        shell.upstream.dispatch(dispatch_effect(1))
        return shell


class BrokenWorkerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site: PlatformSite = start_small_site(self)
        self.worker = BrokenWorker(self.site.find_machine('east-1', 'buys'))
        self.addCleanup(self.worker.server.stop, timeout=0)

    # Guards against a part of an answer that is passed on as the whole, since
    # nothing in it says where it ends: the upload was still being written when
    # the connection broke. The owner and the sender of an attempt are different
    # daemons in one case.
    @params(
        *(
            (form, service)
            for form in LENGTHLESS
            for service in ('buys', 'reads')
        )
    )
    def test_upload_that_is_answered_and_reset_fails(
        self, form: str, service: str
    ) -> None:
        head, body = LENGTHLESS[form]
        self.worker.answer = head + body
        self.check_statuses(service, UPLOAD)

    # Guards against a status outside 100 to 599 that reaches callers.
    @params('600', '999')
    def test_other_status_gives_502(self, status: str) -> None:
        self.worker.answer = (
            f'HTTP/1.1 {status} X\r\n%sContent-Length: 0\r\n\r\n'
        )
        self.worker.is_reset = False
        self.check_statuses('reads', b'x')

    def check_statuses(self, service: str, body: bytes) -> None:
        """Check that callers get 502 for answers, and 503 without a worker."""
        machine = self.site.find_machine('east-1', service)
        statuses: set[int] = set()

        def send() -> bool:  # noqa: WPS430
            statuses.add(send_consumer_request(machine, '/buys/', body).status)
            return self.worker.answered >= ANSWERS

        self.assertTrue(becomes_true(send))
        self.assertIn(502, statuses)
        self.assertLessEqual(statuses, {502, 503})
