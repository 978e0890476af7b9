"""Test how readers of callers' connections share the passes of the loop."""

import io
import time
import unittest
from typing import Any

import gevent
from gevent import socket
from nose2.tools import params

from briartack.buffered_input import has_buffered_input
from briartack.read_turns import PASS_SECONDS, ReadTurns, TurnInput

READERS = 50
WORK_SECONDS = PASS_SECONDS / 2


def work() -> None:
    """Take the time of a large head without a switch to others."""
    until = time.monotonic() + WORK_SECONDS
    while time.monotonic() < until:
        hash(until)


class ReadTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = ReadTurns()
        self.order: list[int] = []
        self.writers: list[Any] = []

    def open_stream(self) -> tuple[Any, Any]:
        """Return a stream, and the socket of the other side."""
        left, right = socket.socketpair()
        raw = left.makefile('rb', buffering=0)
        stream = io.BufferedReader(TurnInput(left, raw, self.turns))
        for one in (right, stream, left):
            self.addCleanup(one.close)
        return stream, right

    def start_readers(self) -> list[Any]:
        """Return readers of streams whose bytes arrive in one pass."""
        readers = []
        for number in range(READERS):
            stream, writer = self.open_stream()
            self.writers.append(writer)
            readers.append(gevent.spawn(self.read, stream, number))
        gevent.sleep(0.01)
        for writer in self.writers:
            writer.send(b'ab\n')
        return readers

    def read(self, stream: Any, number: int) -> bytes:
        line: bytes = stream.readline()
        self.order.append(number)
        work()
        return line

    # Guards against readers that hold up the loop together, and against some
    # that never continue.
    def test_readers_of_one_pass_continue_in_several(self) -> None:
        readers = self.start_readers()
        passes = 0
        while not all(reader.ready() for reader in readers):
            passes += 1
            gevent.sleep(1e-9)
        self.assertGreater(passes, READERS / 4)
        self.assertEqual(sorted(self.order), list(range(READERS)))
        self.assertEqual({reader.get() for reader in readers}, {b'ab\n'})

    # Guards against a reader that is resumed after its end, and against others
    # that are not resumed since then.
    def test_killed_reader_loses_its_turn(self) -> None:
        readers = self.start_readers()
        gevent.sleep(WORK_SECONDS)
        killed = [one for one in readers[1::2] if not one.ready()]
        gevent.killall(killed)
        gevent.joinall(readers, timeout=10, raise_error=True)
        self.assertTrue(killed)
        self.assertEqual(len(self.order), READERS - len(killed))

    # Guards against bytes that are lost when a look at the input ends early.
    @params(0, 1)
    def test_timeout_loses_no_byte(self, seconds: float) -> None:
        stream, writer = self.open_stream()
        self.assertFalse(has_buffered_input(stream))
        writer.send(b'ab\ncd\n')
        with gevent.Timeout(seconds, exception=False):
            stream.peek(1)
        self.assertEqual(
            [stream.readline(), stream.readline()], [b'ab\n', b'cd\n']
        )

    # Guards against an end of the input that is not seen.
    def test_end_of_input_is_read(self) -> None:
        stream, writer = self.open_stream()
        reader = gevent.spawn(stream.readline)
        gevent.sleep(0.01)
        writer.close()
        self.assertEqual(reader.get(timeout=5), b'')
