"""Guards against one bad event or effect that stops a daemon."""

import io
import logging
import unittest

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


def reduce(state: list[float], event: Event) -> Effects:
    """Fail at ticks with a negative time; ask to exit at a stop."""
    if event.now < 0:
        raise ValueError(event.now)
    state.append(event.now)
    if isinstance(event, StopRequested):
        return [WakeAt(at=0), Exit(code=3)]
    return []


class EventLoopTest(unittest.TestCase):
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

    def test_failed_event_is_passed_over(self) -> None:
        for now in (1, -1, 2):
            self.loop.deliver(Tick(now=now))
        self.assertEqual(self.loop.state, [1, 2])

    def test_failed_effect_is_passed_over(self) -> None:
        # WakeAt has no handler here.
        self.loop.deliver(StopRequested(now=1))
        self.assertEqual(self.codes, [3])

    def test_flushed_trace_survives_a_kill(self) -> None:
        self.loop.deliver(Tick(now=1))
        self.loop.flush_trace()
        lines = self.trace.getvalue().splitlines()
        self.assertEqual(len(lines), 2)
