"""Test that bytes without end neither stop a daemon nor fill its memory.

The sender is a thread, so it can always be faster than the reader: a sender in
the same event loop would give the others their turn with each write.
"""

import socket
import threading
import time
import unittest
from collections import deque
from typing import Any, Final
from unittest import mock

import gevent
from nose2.tools import params

from briartack.body_budget import BodyBudget
from briartack.http_exchange import Exchange, ExchangeError, KeepAlivePool
from briartack.http_response import CollectedResponse
from briartack.memory_budget import MemoryBudget
from briartack.peer_stream import PeerStream
from briartack.peer_traffic import PeerTraffic
from briartack.test.fake_reducer import LOCAL_HOST, CountingObserver
from briartack.test.shell_fixture import ShellFixture

# A sender whose reader never closes gives up after this time.
SEND_SECONDS: Final = 6.0
TIMEOUT_SECONDS: Final = 0.5
READ_SECONDS: Final = 1.0
# Without turns, a greenlet waits until the sender gives up.
MAX_WAIT_SECONDS: Final = SEND_SECONDS / 2
BLOCK_BYTES: Final = 262144
MAX_BODY_BYTES: Final = 1 << 24
OK: Final = b'HTTP/1.1 200 OK\r\n'
CHUNKED: Final = b'%bTransfer-Encoding: chunked\r\n\r\n' % OK
FOREIGN: Final = b'%bX-Id: other\r\nContent-Length: 2\r\n\r\nno' % OK


class EndlessSender:
    """Send an opening and then the same bytes until the reader closes."""

    def __init__(self, opening: bytes, repeated: bytes) -> None:
        self.opening = opening
        self.block = repeated * max(1, BLOCK_BYTES // len(repeated))
        self.closed_by_reader = 0
        self._listener = socket.create_server((LOCAL_HOST, 0), backlog=64)
        self.address = LOCAL_HOST, int(self._listener.getsockname()[1])
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Accept no more connections."""
        self._listener.close()

    def send(self, sock: socket.socket) -> None:
        """Send until the reader closes or the time is over."""
        until = time.monotonic() + SEND_SECONDS
        with sock:
            try:
                sock.sendall(self.opening)
                while time.monotonic() < until:
                    sock.sendall(self.block)
            except OSError:
                self.closed_by_reader += 1

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            sock.recv(BLOCK_BYTES)
            threading.Thread(
                target=self.send, args=(sock,), daemon=True
            ).start()


class Turns:
    """Measure how long another greenlet waits for its turn."""

    def __init__(self) -> None:
        self.longest_seconds = 0.0
        self._last = time.monotonic()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> float:
        """Return the longest time without a turn, up to now."""
        self._note()
        self._greenlet.kill()
        return self.longest_seconds

    def _run(self) -> None:
        while True:
            self._note()
            gevent.sleep(0.001)

    def _note(self) -> None:
        now = time.monotonic()
        self.longest_seconds = max(self.longest_seconds, now - self._last)
        self._last = now


def make_exchange(
    pool: KeepAlivePool, budget: BodyBudget | None = None
) -> Exchange:
    """Return an unsent request whose answer names the id `own`."""
    return Exchange(
        pool,
        method='GET',
        request=b'GET / HTTP/1.1\r\n\r\n',
        max_body_bytes=MAX_BODY_BYTES,
        request_id='own',
        identify_response=lambda head: head.get_single_value('X-Id'),
        budget=budget,
    )


class EndlessAnswerTest(unittest.TestCase):
    def start_sender(self, opening: bytes, repeated: bytes) -> EndlessSender:
        """Return a running sender."""
        sender = EndlessSender(opening, repeated)
        self.addCleanup(sender.stop)
        return sender

    # Guards against one upstream that stops its daemon, which then answers
    # nobody, and whose answer outlives its deadline.
    @params(
        ('status', b'HTTP/1.1 200 ', b'O'),
        ('header name', OK, b'X'),
        ('header value', b'%bX-A: ' % OK, b'a'),
        ('header lines', OK, b'X-Filler: 0123456789abcdef\r\n'),
        ('short lines', OK, b'a:\r\n'),
        ('trailers', b'%b0\r\n' % CHUNKED, b'X-Filler: 0123456789\r\n'),
        ('chunk extension', b'%b1;' % CHUNKED, b'a'),
        ('chunk size', CHUNKED, b'0'),
        ('interim answers', b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        ('answers to others', b'', FOREIGN),
        ('small chunks', CHUNKED, b'1\r\na\r\n'),
        ('large chunks', CHUNKED, b'10000\r\n%b\r\n' % (b'a' * 65536)),
        ('body to the close', b'%b\r\n' % OK, b'a'),
        (
            'body with a length',
            b'%bContent-Length: 99999999999\r\n\r\n' % OK,
            b'a',
        ),
    )
    def test_endless_answer_ends_and_others_have_their_turn(
        self, name: str, opening: bytes, repeated: bytes
    ) -> None:
        sender = self.start_sender(opening, repeated)
        turns = Turns()
        pool = KeepAlivePool(sender.address, size=1)
        with self.assertRaisesRegex(ExchangeError, 'timeout|too large|malf'):
            make_exchange(pool).finish(TIMEOUT_SECONDS)
        self.assertLess(turns.stop(), MAX_WAIT_SECONDS, name)
        for _ in range(100):
            if sender.closed_by_reader:
                break
            gevent.sleep(0.01)
        self.assertEqual(sender.closed_by_reader, 1, name)

    # Guards against a head that is kept whole, without a limit.
    @params(
        (b'X-Filler: 0123456789abcdef\r\n', 200_000),
        (b'a:\r\n', 200_000),
        (b'HTTP/1.1 100 Continue\r\n\r\n', 200_000),
    )
    def test_long_head_is_too_large(self, line: bytes, size: int) -> None:
        answer = CollectedResponse(method='GET', max_body_bytes=10)
        answer.feed(b'HTTP/1.1 100 Continue\r\n' if b'1.1' not in line else b'')
        answer.feed(line * (size // len(line)))
        self.assertTrue(answer.is_oversize)

    # Guards against a proper answer that is taken for an endless one.
    @params(1, 7, 500, 65536)
    def test_chunked_answer_of_any_chunk_size_is_whole(
        self, chunk_bytes: int
    ) -> None:
        body = b'x' * 100_000
        answer = CollectedResponse(method='GET', max_body_bytes=len(body))
        answer.feed(CHUNKED)
        for start in range(0, len(body), chunk_bytes):
            part = body[start : start + chunk_bytes]
            answer.feed(b'%x\r\n%b\r\n' % (len(part), part))
            self.assertFalse(answer.is_oversize)
        answer.feed(b'0\r\n\r\n')
        self.assertEqual((answer.is_complete, answer.body), (True, body))

    # Guards against a daemon above its memory limit: the bodies of several
    # answers without end, each within the limit of one.
    def test_endless_bodies_share_one_limit(self) -> None:
        budget = BodyBudget(memory=MemoryBudget(max_bytes=3_000_000))
        sender = self.start_sender(b'%b\r\n' % OK, b'a')
        whole = b'%bX-Id: own\r\nContent-Length: 900000\r\n\r\n' % OK
        proper = self.start_sender(whole + b'b' * 900_000, b' ')
        pools = [
            KeepAlivePool(address, size=20)
            for address in (sender.address, proper.address)
        ]
        held: list[int] = []
        greenlets = [
            gevent.spawn(make_exchange(pools[0], budget).finish, 3)
            for _ in range(12)
        ]
        while not all(greenlet.ready() for greenlet in greenlets):
            answer = make_exchange(pools[1], budget).finish(3)
            self.assertEqual(answer.body, b'b' * 900_000)
            held.append(budget.held_bytes)
            gevent.sleep(0.01)
        self.assertLessEqual(max(held), 3_000_000)
        self.assertEqual(budget.held_bytes, 0)
        for greenlet in greenlets:
            self.assertIsInstance(greenlet.exception, ExchangeError)

    # Guards against a limit that grows with each body above its own limit.
    def test_oversized_body_is_counted_once(self) -> None:
        budget = BodyBudget(memory=MemoryBudget(max_bytes=1000))
        answer = CollectedResponse(
            method='GET', max_body_bytes=100, budget=budget
        )
        answer.feed(b'%bContent-Length: 400\r\n\r\n' % OK)
        for _ in range(4):
            answer.feed(b'a' * 90)
        self.assertTrue(answer.is_oversize)
        self.assertEqual(budget.held_bytes, 90)
        answer.release_budget()
        self.assertEqual(budget.held_bytes, 0)

    # Guards against the body of a skipped answer that stays counted.
    def test_skipped_body_is_not_counted(self) -> None:
        budget = BodyBudget(memory=MemoryBudget(max_bytes=1000))
        response = CollectedResponse(
            method='GET',
            max_body_bytes=100,
            request_id='own',
            identify_response=lambda head: head.get_single_value('X-Id'),
            budget=budget,
        )
        response.feed(FOREIGN * 3)
        self.assertEqual(budget.held_bytes, 2)
        response.feed(b'%bX-Id: own\r\nContent-Length: 3\r\n\r\nyes' % OK)
        self.assertEqual((budget.held_bytes, response.body), (3, b'yes'))


class EndlessSenderTest(unittest.TestCase):
    """Test that peers and callers that never pause do not stop the others."""

    def connect(self, address: Any, opening: bytes, repeated: bytes) -> None:
        """Send bytes without end to an address."""
        sender = EndlessSender(opening, repeated)
        self.addCleanup(sender.stop)
        sock = socket.create_connection(address)
        threading.Thread(target=sender.send, args=(sock,), daemon=True).start()

    def open_stream(self) -> tuple[PeerStream, Any]:
        """Return a stream and the socket of the peer."""
        listener = socket.create_server((LOCAL_HOST, 0))
        peer = socket.create_connection(listener.getsockname())
        self.addCleanup(peer.close)
        sock = gevent.socket.socket(fileno=listener.accept()[0].detach())
        listener.close()
        stream = PeerStream(
            memory=MemoryBudget(max_bytes=1_000_000),
            sock=sock,
            is_outgoing=False,
            traffic=PeerTraffic(CountingObserver()),
        )
        self.addCleanup(stream.close)
        return stream, peer

    # Guards against a caller whose rejected request never ends.
    def test_endless_request_leaves_others_their_turn(self) -> None:
        shell = ShellFixture()
        self.addCleanup(shell.stop)
        address = LOCAL_HOST, shell.caller_server.server_port
        turns = Turns()
        self.connect(address, b'x y z\r\n\r\n', b'a')
        gevent.sleep(READ_SECONDS)
        self.assertLess(turns.stop(), MAX_WAIT_SECONDS)

    # Guards against thousands of messages of one read that are one turn.
    def test_messages_of_one_read_are_many_turns(self) -> None:
        stream, right = self.open_stream()
        right.sendall(b'\x92\xa4pull\x01' * 1000)
        right.shutdown(socket.SHUT_WR)
        turns: list[int] = []
        with mock.patch.object(gevent, 'sleep', turns.append):
            self.assertEqual(len(list(stream.read_messages())), 1000)
        self.assertGreater(len(turns), 20)

    # Guards against messages of a stream that was closed meanwhile.
    def test_closed_stream_yields_no_more_messages(self) -> None:
        stream, right = self.open_stream()
        right.sendall(b'\x92\xa4pull\x01' * 3)
        seen = []
        for message in stream.read_messages():
            seen.append(message)
            stream.close()
        self.assertEqual(len(seen), 1)

    # Guards against a peer that sends messages faster than they are decoded.
    def test_endless_messages_leave_others_their_turn(self) -> None:
        sender = EndlessSender(b'', b'\x92\xa4pull\x01')
        self.addCleanup(sender.stop)
        sock = gevent.socket.create_connection(sender.address)
        sock.sendall(b'x')
        stream = PeerStream(
            memory=MemoryBudget(max_bytes=1_000_000),
            sock=sock,
            is_outgoing=False,
            traffic=PeerTraffic(CountingObserver()),
        )
        reader = gevent.spawn(deque, stream.read_messages(), 0)
        self.addCleanup(stream.close)
        self.addCleanup(reader.kill)
        turns = Turns()
        gevent.sleep(READ_SECONDS)
        self.assertLess(turns.stop(), MAX_WAIT_SECONDS)
