"""Test that one failed event or effect does not stop the event loop."""

import io
import logging
import time
import unittest
from collections.abc import Callable
from typing import TypeAlias

import gevent
from gevent import socket
from nose2.tools import params

from briartack.core.effects import Effects, Exit, WakeAt
from briartack.core.events import Event, StopRequested, Tick
from briartack.core.identity import Identity
from briartack.core.units import Incarnation, InstanceId
from briartack.event_loop import EventLoop
from briartack.recorder import Recorder, TraceHeader

IDENTITY = Identity(
    instance=InstanceId('a-1'),
    incarnation=Incarnation('i'),
    service='a/main',
    data_centre='north-1',
    region='north',
)

Loop: TypeAlias = EventLoop[list[type[Event]]]
START_SECONDS = 0.04
STANDSTILL_SECONDS = 0.4


def reduce(state: list[float], event: Event) -> Effects:
    """Raise at a negative time; return `WakeAt` and `Exit` for a stop."""
    if event.now < 0:
        raise ValueError(event.now)
    state.append(event.now)
    if isinstance(event, StopRequested):
        return [WakeAt(at=0), Exit(code=3)]
    return []


class EventLoopTest(unittest.TestCase):
    """Check that later events and effects are handled after a failure.

    Otherwise one bad event would stop the daemon.
    """

    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.trace = io.BytesIO()
        self.codes: list[int] = []
        self.loop = EventLoop(
            state=list[float](),
            reduce=reduce,
            clock=float,
            recorder=Recorder(
                trace=io.BufferedWriter(self.trace),
                header=TraceHeader(identity=IDENTITY, seed=1, drain_seconds=1),
            ),
        )
        self.loop.attach_handlers(
            {Exit: lambda effect: self.codes.append(effect.code)},
            after_event=lambda: None,
        )

    def test_event_after_failed_event_is_handled(self) -> None:
        for now in (1, -1, 2):
            self.loop.deliver(Tick(now=now))
        self.assertEqual(self.loop.state, [1, 2])

    def test_effect_after_failed_effect_is_executed(self) -> None:
        # No handler is connected for `WakeAt`, so its execution fails.
        self.loop.deliver(StopRequested(now=1))
        self.assertEqual(self.codes, [3])

    def test_flushed_trace_has_header_and_event(self) -> None:
        """Check that a flush writes all lines, which a kill would lose."""
        self.loop.deliver(Tick(now=1))
        self.loop.flush_trace()
        lines = self.trace.getvalue().splitlines()
        self.assertEqual(len(lines), 2)


class LateTickTest(unittest.TestCase):
    """Check what is handled first after the process stood still.

    A tick may end calls, although their answers have arrived meanwhile.
    """

    def setUp(self) -> None:
        self.loop = EventLoop(
            state=list[type[Event]](),
            reduce=record_type,
            clock=time.monotonic,
            recorder=None,
        )
        self.sockets = socket.socketpair()
        for sock in self.sockets:
            self.addCleanup(sock.close)

    @params(
        lambda loop: gevent.spawn(loop.tick_forever),
        lambda loop: loop.wake_at(time.monotonic() + START_SECONDS * 2),
    )
    def test_arrived_bytes_are_read_before_a_late_tick(
        self, start: Callable[[Loop], object]
    ) -> None:
        reader = gevent.spawn(self.read_and_deliver)
        ticker = start(self.loop)
        gevent.sleep(START_SECONDS)
        self.loop.state.clear()
        self.sockets[1].sendall(b'x')
        time.sleep(STANDSTILL_SECONDS)
        reader.join(STANDSTILL_SECONDS)
        gevent.sleep(START_SECONDS)
        if isinstance(ticker, gevent.Greenlet):
            ticker.kill()
        self.assertEqual(self.loop.state[:2], [StopRequested, Tick])

    def read_and_deliver(self) -> None:
        """Deliver an event once a byte has arrived."""
        self.sockets[0].recv(1)
        self.loop.deliver(StopRequested(now=time.monotonic()))


def record_type(state: list[type[Event]], event: Event) -> Effects:
    """Record the type of each event."""
    state.append(type(event))
    return []
