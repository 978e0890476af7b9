"""Test how many turns of a busy reader others wait for theirs."""

import resource
import time
import unittest
from typing import Final

import gevent
from gevent import socket
from nose2.tools import params

from briartack.turns import TURN_BYTES, TurnLimit

MOST_TURNS: Final = 2000
# One turn in which the loop looks at timers and sockets, one that is under way.
MOST_TURNS_OF_A_READER: Final = 2
STANDSTILL_SECONDS: Final = 0.002


class TurnLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sockets = socket.socketpair()
        for sock in self.sockets:
            self.addCleanup(sock.close)
        self.turns = 0
        self.is_served = False

    # Guards against timers and sockets that wait for dozens of turns, which
    # take seconds under a stream of small chunks on a busy machine.
    @params(
        ('timer', 1),
        ('timer', 3),
        ('socket', 1),
        ('socket', 3),
        ('callback', 3),
    )
    def test_others_are_served_after_a_turn_of_each_reader(
        self, kind: str, readers: int
    ) -> None:
        """Each row states what another waits for, and how many read."""
        waiting = gevent.spawn(getattr(self, f'wait_for_{kind}'))
        gevent.sleep(0)
        self.sockets[1].sendall(b'x')
        # The timer is due and the byte has arrived before the first turn.
        time.sleep(STANDSTILL_SECONDS)
        reading = [gevent.spawn(self.read) for _ in range(readers)]
        gevent.joinall([waiting, *reading])
        self.assertLessEqual(self.turns, readers * MOST_TURNS_OF_A_READER)

    # Guards against a reader that waits for the clock at the end of a turn,
    # which would limit large bodies to 64 KiB a millisecond.
    def test_turn_of_the_only_greenlet_ends_without_a_wait(self) -> None:
        limit = TurnLimit()
        before = resource.getrusage(resource.RUSAGE_THREAD)
        for _ in range(MOST_TURNS):
            limit.count_read(TURN_BYTES)
        after = resource.getrusage(resource.RUSAGE_THREAD)
        # The kernel counts each wait as a voluntary switch.
        waits = after.ru_nvcsw - before.ru_nvcsw
        self.assertLess(waits, MOST_TURNS / 10)

    def read(self) -> None:
        """Read without a pause until the other greenlet was served."""
        limit = TurnLimit()
        while not self.is_served and self.turns < MOST_TURNS:
            self.turns += 1
            limit.count_read(TURN_BYTES)

    def wait_for_timer(self) -> None:
        """Wait for a timer that is due after less than the standstill."""
        gevent.sleep(STANDSTILL_SECONDS / 2)
        self.is_served = True

    def wait_for_socket(self) -> None:
        """Wait for a byte."""
        self.sockets[0].recv(1)
        self.is_served = True

    def wait_for_callback(self) -> None:
        """Wait for the next turn of the loop."""
        gevent.sleep(0)
        self.is_served = True
