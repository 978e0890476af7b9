"""Test how the bodies of requests are read from a connection."""

import io
import socket as plain_socket
import threading
import time
import unittest
from typing import Any
from unittest import mock

import gevent
from gevent import socket
from nose2.tools import params

from briartack.accepting import OperatorServer
from briartack.core import events
from briartack.request_body import (
    MAX_CHUNK_LINE_BYTES,
    MAX_TRAILER_BYTES,
    MAX_TRAILER_LINE_BYTES,
    BrokenBodyError,
    RequestBody,
)
from briartack.test.fake_reducer import LOCAL_HOST
from briartack.test.shell_fixture import ShellFixture, read_answer
from briartack.test.test_endless_input import (
    MAX_WAIT_SECONDS,
    READ_SECONDS,
    EndlessSender,
    Turns,
)

CHUNKED = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
LONGEST_EXTENSION = b'a' * (MAX_CHUNK_LINE_BYTES - len(b'1;\r\n'))
LONGEST_TRAILER = b'A:%b\r\n' % (b'b' * (MAX_TRAILER_LINE_BYTES - 4))
NEXT_REQUEST = b'GET / HTTP/1.1\r\n\r\n'


def answer_nothing(environ: dict[str, str], start_response: Any) -> list[bytes]:
    """Answer a request without reading its body."""
    start_response('200 OK', [('Content-Length', '0')])
    return [b'']


def read_all(sent: bytes, step: int) -> tuple[bytes, bytes]:
    """Return the body in chunks that was sent, and what follows it."""
    stream = io.BufferedReader(io.BytesIO(sent))
    body = RequestBody(stream, None, is_chunked=True)
    parts = []
    while part := body.read(step):
        parts.append(part)
    return b''.join(parts), stream.read()


class ChunkedBodyTest(unittest.TestCase):
    # Guards against a proper body that is refused or read wrongly, and against
    # a next request that is taken for a part of it.
    @params(
        (b'0\r\n\r\n', b''),
        (b'3\r\nabc\r\n0\r\n\r\n', b'abc'),
        (b'1\r\na\r\n2\r\nbc\r\n000\r\n\r\n', b'abc'),
        (b'A;name="value;x"\r\n0011223344\r\n0;end\r\n\r\n', b'0011223344'),
        (b'1;%b\r\na\r\n0\r\n\r\n' % LONGEST_EXTENSION, b'a'),
        (b'1\r\na\r\n0\r\nA: b\r\nC:\r\n\r\n', b'a'),
        (b'1\r\na\r\n0\r\n%b\r\n' % (LONGEST_TRAILER * 8), b'a'),
    )
    def test_proper_body_is_whole(self, sent: bytes, expected: bytes) -> None:
        for step in (1, 2, 2048):
            self.assertEqual(
                read_all(sent + NEXT_REQUEST, step), (expected, NEXT_REQUEST)
            )

    # Guards against bodies that another server would read differently, and
    # against lines without an effective limit.
    @params(
        b'',
        b'3',
        b'3\r\nab',
        b'3\r\nabc',
        b'3\r\nabcd\r\n0\r\n\r\n',
        b'3\nabc\r\n0\r\n\r\n',
        b'3 \r\nabc\r\n0\r\n\r\n',
        b'3;a\nabc\r\n0\r\n\r\n',
        b'3;a\rb\r\nabc\r\n0\r\n\r\n',
        b';a\r\nabc\r\n0\r\n\r\n',
        b'-3\r\nabc\r\n0\r\n\r\n',
        b'0x3\r\nabc\r\n0\r\n\r\n',
        b'00000000000000003\r\nabc\r\n0\r\n\r\n',
        b'1;a%b\r\na\r\n0\r\n\r\n' % LONGEST_EXTENSION,
        b'0\r\n',
        b'0\r\nA: b\r\n',
        b'0\r\nno colon\r\n\r\n',
        b'0\r\n: b\r\n\r\n',
        b'0\r\nA: b\n\r\n',
        b'0\r\n%bB: c\r\n\r\n' % LONGEST_TRAILER.replace(b'A', b'AA'),
        b'0\r\n%b\r\n' % (LONGEST_TRAILER * 9),
        b'0\r\n%b\r\n' % (b'A: b\r\n' * (MAX_TRAILER_BYTES // 6 + 1)),
    )
    def test_broken_body_is_refused(self, sent: bytes) -> None:
        for step in (1, 2, 2048):
            with self.assertRaises(BrokenBodyError):
                read_all(sent, step)

    # Guards against one connection whose many lines let no other greenlet run.
    def test_lines_are_many_turns(self) -> None:
        turns: list[float] = []
        sent = b'1;%b\r\na\r\n' % (b'a' * 100) * 2000
        with mock.patch.object(gevent, 'sleep', turns.append):
            body, _ = read_all(b'%b0\r\n\r\n' % sent, 2048)
        self.assertEqual(len(body), 2000)
        self.assertGreaterEqual(len(turns), 3)

    # Guards against a caller that is left without an answer, and against what
    # it sent being read as a request.
    @params(
        b'1;%b\r\n' % (b'a' * MAX_CHUNK_LINE_BYTES),
        b'1;%b' % (b'a' * 2 * MAX_CHUNK_LINE_BYTES),
        b'0\r\n%b' % (b'X: %b' % (b'a' * 2 * MAX_TRAILER_LINE_BYTES)),
    )
    def test_long_line_is_refused_and_the_connection_closed(
        self, sent: bytes
    ) -> None:
        shell = ShellFixture()
        self.addCleanup(shell.stop)
        with shell.connect_caller() as caller:
            caller.sendall(CHUNKED + sent + NEXT_REQUEST)
            status, head, body = read_answer(caller)
            self.assertEqual(caller.recv(1), b'')
        self.assertEqual(status, 400)
        self.assertIn(b'Connection: close', head)
        self.assertIn(b'exceeds', body)
        arrived = shell.state.events_of(events.CallArrived)
        self.assertLessEqual(len(arrived), 1)


class OperatorBodyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.server = OperatorServer(
            (LOCAL_HOST, 0), answer_nothing, log=None, error_log=None
        )
        self.server.start()
        self.addCleanup(self.server.stop, timeout=0)
        self.address = LOCAL_HOST, self.server.server_port

    # Guards against a client of the operators' port whose body, which means
    # nothing, is read without end and without a turn of others.
    @params(
        (b'Content-Length: 99999999999\r\n\r\n', b'a'),
        (b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\na\r\n'),
        (b'Transfer-Encoding: chunked\r\n\r\n', b'1;%b\r\na\r\n' % bytes(8000)),
    )
    def test_endless_body_leaves_others_their_turn(
        self, framing: bytes, repeated: bytes
    ) -> None:
        sender = EndlessSender(b'POST / HTTP/1.1\r\n%b' % framing, repeated)
        self.addCleanup(sender.stop)
        # A socket of a thread, as for the other senders without end.
        sock = plain_socket.create_connection(self.address)
        turns = Turns()
        threading.Thread(target=sender.send, args=(sock,), daemon=True).start()
        gevent.sleep(READ_SECONDS)
        self.assertLess(turns.stop(), MAX_WAIT_SECONDS)
        until = time.monotonic() + READ_SECONDS
        while not sender.closed_by_reader and time.monotonic() < until:
            gevent.sleep(0.01)
        self.assertEqual(sender.closed_by_reader, 1)

    # Guards against operators that can't send a small body.
    def test_small_body_is_skipped(self) -> None:
        request = b'POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nabcde'
        with socket.create_connection(self.address) as operator:
            for _ in range(2):
                operator.sendall(request)
                self.assertEqual(read_answer(operator)[0], 200)
