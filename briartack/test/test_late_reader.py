"""Test a long request to a server that reads the body late."""

import unittest
from typing import Any, Final

import gevent
from gevent import socket
from nose2.tools import params

from briartack.http_exchange import KeepAlivePool, exchange
from briartack.socket_options import DEFAULT_SILENCE_SECONDS
from briartack.test.fake_reducer import LOCAL_HOST

REQUEST_HEAD: Final = (
    b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n'
)
ANSWER: Final = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
SMALL_BUFFER_BYTES: Final = 4096


class LateReaderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = socket.socket()
        self.addCleanup(self.listener.close)
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
        self.listener.bind((LOCAL_HOST, 0))
        self.listener.listen()

    def serve(self, body_bytes: int) -> None:
        sock, _ = self.listener.accept()
        with sock:
            gevent.sleep(DEFAULT_SILENCE_SECONDS + 1)
            left = len(REQUEST_HEAD % body_bytes) + body_bytes
            while left:
                part = sock.recv(left)
                if not part:
                    return
                left -= len(part)
            sock.sendall(ANSWER)

    # Guards against an attempt that fails, though its upstream lives, because
    # the upstream takes no bytes for longer than a silent connection may last.
    # The first size fits into the send buffer, the second does not.
    @params(200_000, 16_000_000)
    def test_late_reader_gets_the_whole_request(self, body_bytes: int) -> None:
        server = gevent.spawn(self.serve, body_bytes)
        self.addCleanup(server.kill)
        address: Any = self.listener.getsockname()
        response = exchange(
            KeepAlivePool(address, size=1),
            method='POST',
            request=REQUEST_HEAD % body_bytes + bytes(body_bytes),
            max_body_bytes=100,
            timeout_seconds=10,
        )
        self.assertEqual(response.body, b'ok')
