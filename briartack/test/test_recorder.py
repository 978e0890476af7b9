"""Tests of the recorder and the reader of event traces."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from nose2.tools import params

from briartack.core import events
from briartack.core.calls.endpoints import UNKNOWN_CLOCK
from briartack.core.entries import Definition, Entry
from briartack.core.units import (
    AttemptId,
    CallId,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.framing import compute_body_digest
from briartack.recorder import (
    Recorder,
    TraceError,
    TraceHeader,
    read_header,
)
from briartack.recorder import (
    read_events as read_trace,
)
from briartack.test.fake_reducer import make_identity
from briartack.test.test_framing import ANSWER, ATTEMPT

SAMPLE_ENTRY = Entry(
    key='teams/a',
    revision=Revision(4),
    value='{"é": 1}',
    definitions=(
        Definition(
            team='b',
            kind='services',
            name='s',
            revision=Revision(2),
            value='{}',
        ),
    ),
)
TICK_LINE = b'{"type":"Tick","data":{"now":1}}'
HEADER = TraceHeader(
    identity=make_identity('saldo-1'), seed=7, drain_seconds=30
)
SAMPLE_EVENTS: tuple[events.Event, ...] = (
    events.Started(now=1.25, incarnation=Incarnation('i1')),
    events.StoreRead(
        now=1.5,
        prefix='',
        revision=Revision(4),
        entries=(SAMPLE_ENTRY,),
    ),
    events.StoreFailed(
        now=2,
        operation=events.StoreOperation.WATCH,
        prefix='',
        reason='timeout',
        retry_after_seconds=0.5,
    ),
    events.PeerMessageReceived(
        now=3,
        peer=InstanceId('saldo-2'),
        message=ATTEMPT,
    ),
    events.PeerMessageReceived(
        now=3,
        peer=InstanceId('saldo-2'),
        message=ANSWER,
    ),
    # After a pause, a sender has no valid reading of the owner's clock.
    events.PeerMessageReceived(
        now=3,
        peer=InstanceId('saldo-2'),
        message=msgspec.structs.replace(ATTEMPT, owner_clock=UNKNOWN_CLOCK),
    ),
    events.CallArrived(
        now=4,
        call_id=CallId('c1'),
        method='GET',
        target='/',
        headers=(('A', '\xff'),),
        body_bytes=None,
    ),
    events.UpstreamAnswered(
        now=5,
        attempt_id=AttemptId('a1'),
        status=200,
        headers=(),
        body_bytes=1,
        body_digest=compute_body_digest(b'x'),
        elapsed_seconds=0.25,
    ),
    events.StopRequested(now=6),
)


class RecorderTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'trace'

    def test_recorded_trace_is_read_back_unchanged(self) -> None:
        """Guard against a replay with other events than the daemon's."""
        recorder = Recorder(trace=self.path.open('wb'), header=HEADER)
        for event in SAMPLE_EVENTS:
            recorder.write(event)
        recorder.close()
        self.assertEqual(tuple(read_trace(self.path)), SAMPLE_EVENTS)
        self.assertEqual(read_header(self.path), HEADER)

    @params(
        b'{"type":"Tick","data":{"now":1}',
        b'{"type":"Tock","data":{"now":1}}',
        b'{"type":"Tick","data":{"now":"later"}}',
        b'\xff',
    )
    def test_malformed_line_raises_with_its_number(self, line: bytes) -> None:
        """Guard against an error that does not state file and line."""
        self.path.write_bytes(b'\n'.join((TICK_LINE, line)))
        with self.assertRaisesRegex(TraceError, 'trace:2: '):
            list(read_trace(self.path))
