"""Test which connections may hold many bytes that are yet to be read."""

import unittest

from gevent import socket
from nose2.tools import params

from briartack.memory_budget import MEGABYTE, MemoryBudget
from briartack.receive_windows import ReceiveWindow, ReceiveWindows

# Linux reports twice the size that was set.
SMALL_BYTES = 2 * 4096
LARGE_BYTES = 2 * 24_576


class ReceiveWindowsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = MemoryBudget(max_bytes=MEGABYTE)
        self.windows = ReceiveWindows(memory=self.memory)

    def open_window(self) -> tuple[ReceiveWindow, socket.socket]:
        """Return the window of a new connection with a small buffer."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BYTES // 2)
        return ReceiveWindow(sock=sock, windows=self.windows), sock

    # Guards against a small window for large bodies, and memory for others.
    @params(
        (0, SMALL_BYTES),
        (4096, SMALL_BYTES),
        (4097, LARGE_BYTES),
        (None, LARGE_BYTES),
    )
    def test_large_bodies_get_a_large_window(
        self, body_bytes: int | None, buffer_bytes: int
    ) -> None:
        window, sock = self.open_window()
        window.expect_body(body_bytes)
        self.assertEqual(read_buffer_bytes(sock), buffer_bytes)

    # Guards against a crowd whose connections all get the large buffer, and
    # against places that are lost or left twice.
    def test_number_of_large_windows_is_bounded(self) -> None:
        opened = [self.open_window() for _ in range(20)]
        for each, _ in opened:
            each.expect_body(None)
            each.expect_body(None)
        enlarged = [
            window
            for window, sock in opened
            if read_buffer_bytes(sock) == LARGE_BYTES
        ]
        # An eighth of the memory for requests, which is 2 MB.
        self.assertEqual(len(enlarged), 5)
        self.assertEqual(self.memory.held_bytes, 5 * 48_000 // 2)
        enlarged[0].close()
        enlarged[0].close()
        self.assertEqual(self.memory.held_bytes, 4 * 48_000 // 2)
        late, sock = self.open_window()
        late.expect_body(None)
        self.assertEqual(read_buffer_bytes(sock), LARGE_BYTES)


def read_buffer_bytes(sock: socket.socket) -> int:
    """Return the size of the receive buffer of a socket."""
    size: int = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
    return size
