"""Test that clients of the ports beside that of callers can't end a daemon.

A client that opens thousands of connections must take neither the memory nor
the descriptors of the daemon, and others must be served meanwhile.
"""

import os
import resource
import socket as plain_socket
import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any
from unittest import mock

import gevent
import msgpack
from gevent import socket
from nose2.tools import params

from briartack import accepting, peer_connections
from briartack.accepting import OperatorServer
from briartack.core import events
from briartack.memory_budget import MEGABYTE
from briartack.open_connections import ConnectionLimits
from briartack.shell_interfaces import LISTEN_BACKLOG
from briartack.socket_options import has_unread_input
from briartack.test.fake_reducer import LOCAL_HOST, wait_until
from briartack.test.shell_fixture import ShellFixture, read_answer
from briartack.test.test_descriptor_limits import (
    ask_ready,
    start_small_site,
)
from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    Machine,
    PlatformSite,
    send_consumer_request,
    send_request,
)

CONNECTIONS = 3000
MAX_GROWTH_MB = 20
# With the connections to the store, to peers and to the upstream.
MAX_DESCRIPTORS = 300
LONG_HEAD = b'GET /readyz HTTP/1.1\r\n%b' % (b'A: %b\r\n' % bytes(60_000) * 20)
HALF_HEAD = b'GET /readyz HTTP/1.1\r\nHost:'
QUESTION = b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n'
CALLERS = 300
ACCEPTED_CALLERS = 900
REST_OF_HEAD = b' x\r\n%b\r\n' % (b'X-Filler: 0123456789\r\n' * 120)
HALF_FRAME = b'\xc6\x00\x00\x0f\x00%b' % bytes(3000)


@contextmanager
def raised_descriptor_limit() -> Iterator[None]:
    """Let this process open as many connections as it may."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def connect(address: str) -> Any:
    """Return a socket that is connected to an address."""
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), timeout=10)


def find_address(machine: Machine, option: str) -> str:
    """Return the address that a daemon was started with."""
    command = Path(f'/proc/{machine.daemon.pid}/cmdline').read_text('utf-8')
    words = command.split('\0')
    return words[words.index(option) + 1]


class PortLimitsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site: PlatformSite = start_small_site(self)
        self.machine = self.site.find_machine('east-1', 'buys')

    # Guards against clients that end a daemon by its memory or descriptors:
    # with connections that send nothing, a part of a head or of a message, and
    # with heads of 1.2 MB.
    @params(
        ('--operator-address', b'', CONNECTIONS),
        ('--operator-address', HALF_HEAD, CONNECTIONS),
        ('--operator-address', LONG_HEAD, 100),
        ('--peer-address', b'', CONNECTIONS),
        ('--peer-address', HALF_FRAME, CONNECTIONS),
    )
    def test_daemon_serves_while_a_client_holds_connections(
        self, option: str, sent: bytes, count: int
    ) -> None:
        address = find_address(self.machine, option)
        before_kb = self.machine.daemon.read_peak_memory_kb()
        held = []
        with raised_descriptor_limit():
            for number in range(count):
                client = connect(address)
                self.addCleanup(client.close)
                held.append(gevent.spawn(send_ignoring_errors, client, sent))
                if number % 100 == 0:
                    gevent.sleep(0.01)
            gevent.joinall(held)
            self.assertTrue(
                becomes_true(
                    lambda: count_descriptors(self.machine) < MAX_DESCRIPTORS
                )
            )
        self.assertEqual(ask_ready(self.machine), 200)
        self.assertEqual(
            send_consumer_request(self.machine, '/reads/').status, 200
        )
        grown_kb = self.machine.daemon.read_peak_memory_kb() - before_kb
        self.assertLess(grown_kb * 1024 / MEGABYTE, MAX_GROWTH_MB)


def send_ignoring_errors(client: Any, sent: bytes) -> None:
    """Send bytes to a daemon that may have closed the connection."""
    try:
        client.sendall(sent)
    except OSError:
        return


def count_descriptors(machine: Machine) -> int:
    """Return the number of descriptors of a daemon."""
    return len(os.listdir(f'/proc/{machine.daemon.pid}/fd'))


class OperatorConnectionsTest(unittest.TestCase):
    # Guards against the connection of the platform giving way to idle ones.
    def test_connection_in_use_is_the_last_to_give_way(self) -> None:
        site = start_small_site(self)
        machine = site.find_machine('east-1', 'buys')
        asking = connect(machine.operator_address)
        self.addCleanup(asking.close)
        for _ in range(3):
            for _ in range(accepting.MAX_OPERATOR_CONNECTIONS - 1):
                self.addCleanup(connect(machine.operator_address).close)
            gevent.sleep(0.1)
            asking.sendall(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            self.assertEqual(read_answer(asking)[0], 200)

    # Guards against a head that takes 6 MB.
    def test_long_head_is_refused(self) -> None:
        site = start_small_site(self)
        machine = site.find_machine('east-1', 'buys')
        status = send_request(
            f'http://{machine.operator_address}/readyz',
            headers={'A': 'x' * 20_000},
        ).status
        self.assertEqual(status, 400)


class OperatorTurnTest(unittest.TestCase):
    """Test that the platform's question does not wait for other clients.

    The clients connect before the servers run, in the order that is shown.
    """

    def setUp(self) -> None:
        self.server = OperatorServer(
            (LOCAL_HOST, 0),
            answer_ready,
            log=None,
            error_log=None,
            backlog=LISTEN_BACKLOG,
        )
        self.server.init_socket()

    def connect(self, port: int, sent: bytes) -> plain_socket.socket:
        """Connect and send without a turn of the servers."""
        client = plain_socket.create_connection((LOCAL_HOST, port))
        self.addCleanup(client.close)
        client.sendall(sent)
        return client

    def start(self) -> None:
        """Start to serve operators."""
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)

    # Guards against a question whose task waits behind those of all callers
    # that connect at the same time, for 3 s with 1,500 callers.
    def test_question_goes_before_callers_that_connect(self) -> None:
        shell = ShellFixture(
            connection_limits=ConnectionLimits(max_served=1000, max_refused=10)
        )
        self.addCleanup(shell.stop)
        for _ in range(CALLERS):
            self.connect(shell.caller_server.server_port, HALF_HEAD)
        asking = self.connect(self.server.server_port, QUESTION)
        self.start()
        wait_until(lambda: has_unread_input(asking))
        self.assertLess(shell.callers.open_connections, CALLERS / 5)
        self.assertEqual(read_answer(asking)[0], 200)

    # Guards against a question that waits until the input of all callers has
    # been read, for 0.9 s with 1,500 callers.
    def test_question_goes_before_input_that_arrives_at_once(self) -> None:
        shell = ShellFixture(
            connection_limits=ConnectionLimits(max_served=1000, max_refused=10)
        )
        self.addCleanup(shell.stop)
        with raised_descriptor_limit():
            callers = [
                self.connect(shell.caller_server.server_port, HALF_HEAD)
                for _ in range(ACCEPTED_CALLERS)
            ]
            wait_until(
                lambda: shell.callers.open_connections == ACCEPTED_CALLERS
            )
            gevent.sleep(0.1)
        self.start()
        for caller in callers:
            caller.sendall(REST_OF_HEAD)
        asking = self.connect(self.server.server_port, QUESTION)
        wait_until(lambda: has_unread_input(asking))
        self.assertLess(
            len(shell.state.events_of(events.CallArrived)), ACCEPTED_CALLERS / 2
        )
        self.assertEqual(read_answer(asking)[0], 200)
        shell.state.wait_for(events.CallArrived, ACCEPTED_CALLERS)

    # Guards against a question that is closed unread, and against one that
    # waits until each of the connections without a request has been served.
    @params((0, 200), (100, 100), (200, 0))
    def test_question_is_answered_among_idle_connections(
        self, before: int, behind: int
    ) -> None:
        port = self.server.server_port
        for _ in range(before):
            self.connect(port, HALF_HEAD)
        asking = self.connect(port, QUESTION)
        for _ in range(behind):
            self.connect(port, HALF_HEAD)
        self.start()
        wait_until(lambda: has_unread_input(asking))
        self.assertEqual(read_answer(asking)[0], 200)


def answer_ready(environ: dict[str, str], start_response: Any) -> list[bytes]:
    """Answer the platform's question."""
    start_response('200 OK', [('Content-Length', '0')])
    return [b'']


class PeerLimitTest(unittest.TestCase):
    # Guards against a client that introduces itself by thousands of names.
    def test_peers_beyond_the_limit_are_refused(self) -> None:
        with mock.patch.object(peer_connections, 'MAX_PEERS', 3):
            shell = ShellFixture('a')
            self.addCleanup(shell.stop)
            # A peer that is known may come again, on a new stream.
            answers = [
                self.introduce(shell, name)
                for name in ('raw-0', 'raw-1', 'raw-2', 'raw-3', 'raw-0')
            ]
        self.assertEqual(
            [bool(answer) for answer in answers],
            [True, True, True, False, True],
        )
        self.assertEqual(len(shell.state.events_of(events.PeerConnected)), 4)

    def introduce(self, shell: ShellFixture, name: str) -> bytes:
        """Open a stream of a peer, and return what the daemon answers."""
        client = connect(shell.peer_address)
        self.addCleanup(client.close)
        hello = ['hello', 1, name, 'i1', 'saldo', 'costa-1', 'costa', 1.0]
        client.sendall(msgpack.packb(hello))
        answer: bytes = client.recv(65536)
        return answer
