"""Test faults of the call path that were found in a review."""

import unittest
from typing import Any, Final
from unittest.mock import Mock

from nose2.tools import params

from briartack.core import events
from briartack.core.calls import call_handlers
from briartack.core.calls.expected_times import (
    ExpectedTimes,
    find_round_trip,
)
from briartack.core.messages import PROTOCOL_VERSION, Hello
from briartack.core.units import Incarnation
from briartack.peer_connections import PeerConnections
from briartack.test.call_path_bench import CallPathBench, make_member

KEY: Final = 'made-by-the-caller'
BODY_BYTES: Final = 50_000
LINK_RATE: Final = 625_000


def make_owner() -> CallPathBench:
    """Make an owner whose link takes 0.1 s for a body."""
    bench = CallPathBench(setup={'members': 'ab', 'link': LINK_RATE})
    bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
    bench.apply_step({'at': 1, 'do': 'tick'})
    return bench


def send_head(
    bench: CallPathBench, at: float, attempt: str, **fields: Any
) -> list[str]:
    """Let the head of an attempt arrive at an owner."""
    step = {'at': at, 'do': 'attempt', 'attempt': attempt, **fields}
    return bench.apply_step(step)


class RefusedHeadTest(unittest.TestCase):
    @params(False, True)
    def test_refused_head_whose_key_has_run_is_not_called_not_run(
        self, has_run: bool
    ) -> None:
        """Guard against 503 for a request that runs by another attempt.

        The head of the first attempt waits behind a body that never comes.
        Meanwhile a repeat with the same key begins, and the head is refused.
        """
        bench = make_owner()
        upload = {'awaits_grant': True, 'bytes': BODY_BYTES}
        send_head(bench, 1, 'in-flight', **upload)
        send_head(bench, 1, 'head', key=KEY, remaining_ms=300, **upload)
        started = send_head(bench, 1.01, 'repeat', key=KEY, bytes=BODY_BYTES)
        started += bench.apply_step(
            {'at': 1.02, 'do': 'attempt_body', 'attempt': 'repeat'}
        )
        self.assertIn('repeat', ' '.join(started))
        if has_run:
            bench.apply_step(
                {'at': 1.03, 'do': 'upstream', 'attempt': 'repeat'}
            )
        produced = []
        for step in range(10):
            at = 1.05 + step * 0.05
            produced += bench.apply_step({'at': at, 'do': 'tick'})
        answers = [line for line in produced if 'head' in line]
        self.assertTrue(answers)
        self.assertNotIn('not-run', ' '.join(answers))
        self.assertIn('unknown', ' '.join(answers))

    def test_refused_head_of_a_key_that_is_not_used_has_not_run(self) -> None:
        """Guard against 502 for each upload with a key in a backlog."""
        bench = make_owner()
        upload = {'awaits_grant': True, 'bytes': BODY_BYTES}
        send_head(bench, 1, 'in-flight', **upload)
        produced = send_head(
            bench, 1, 'head', key=KEY, remaining_ms=150, **upload
        )
        produced += bench.apply_step({'at': 1.2, 'do': 'tick'})
        answers = [line for line in produced if 'head' in line]
        self.assertIn('not-run', ' '.join(answers))


def make_hello(name: str, ungranted_bytes: int | None = None) -> Hello:
    """Make the hello of an instance."""
    peer = make_member(name)
    return Hello(
        protocol_version=PROTOCOL_VERSION,
        instance=peer.instance,
        incarnation=Incarnation('j1'),
        service='s',
        data_centre=peer.data_centre,
        region=peer.region,
        clock=1,
        ungranted_body_bytes=ungranted_bytes,
    )


class CrossedDialTest(unittest.TestCase):
    @params((True, 0.02), (False, 0.024))
    def test_hello_of_a_peer_that_dialled_is_no_round_trip(
        self, is_outgoing: bool, round_trip: float
    ) -> None:
        """Guard against a round trip of almost 0 after crossed dials.

        The smallest round trip to a data centre is kept for ever, and 24 ms
        count while none is known. The dial of the daemon takes 40 ms.
        """
        bench = CallPathBench(setup={'members': 'ad'})
        hello = make_hello('d')
        bench.state.endpoints.reserve_dial(hello.instance, 1)
        event = events.PeerConnected(
            now=1.04,
            peer=hello.instance,
            hello=hello,
            is_outgoing=is_outgoing,
        )
        call_handlers.on_peer_connected(bench.state, bench.context, event)
        times = bench.state.sender.chooser.expected_times
        known = find_round_trip(
            times._round_trips, bench.context.identity, make_member('d')
        )
        self.assertAlmostEqual(known, round_trip)

    @params(False, True)
    def test_event_says_who_dialled(self, is_outgoing: bool) -> None:
        """Guard against an event that says that this daemon dialled."""
        delivered: list[Any] = []
        bench = CallPathBench(setup={'members': 'ad'})
        connections = PeerConnections(
            identity=bench.context.identity,
            memory=Mock(max_request_bytes=0),
            inbox=Mock(),
            deliver=delivered.append,
            clock=lambda: 1.0,
            observer=Mock(),
            link_bytes_per_second=None,
        )
        stream: Any = Mock(is_outgoing=is_outgoing, last_frame_bytes=1)
        connections._handle_hello(stream, make_hello('d'))
        self.assertEqual([one.is_outgoing for one in delivered], [is_outgoing])


class RepeatedRunTest(unittest.TestCase):
    @params('first', 'repeat')
    def test_run_beside_a_repeat_of_its_request_stays_known(
        self, ended: str
    ) -> None:
        """Guard against nested calls of a run that count as calls of callers.

        The stream of the first attempt was lost while it ran, and its sender
        repeats the request at the same owner. One of the two runs ends.
        """
        bench = make_owner()
        for number in range(9):
            # The slow start allows a second run after some answers.
            send_head(bench, 1, f'warm-{number}')
            bench.apply_step(
                {'at': 1, 'do': 'upstream', 'attempt': f'warm-{number}'}
            )
        for attempt in ('first', 'repeat'):
            send_head(bench, 1, attempt, request='r1')
        self.assertEqual(bench.state.owner.upstream.running, 2)
        left = {'first': 'repeat', 'repeat': 'first'}[ended]
        bench.apply_step({'at': 1.1, 'do': 'upstream', 'attempt': ended})
        run = bench.state.owner.find_running('r1')
        self.assertEqual(run and run.attempt_id, left)
        bench.apply_step({'at': 1.2, 'do': 'upstream', 'attempt': left})
        self.assertIsNone(bench.state.owner.find_running('r1'))


class GrantSizeTest(unittest.TestCase):
    @params('disconnect', 'hello')
    def test_size_of_a_peer_that_grants_no_more_is_forgotten(
        self, how: str
    ) -> None:
        """Guard against a choice for grants that no instance asks for.

        Instances whose link rate was taken out of the settings need none.
        """
        times = ExpectedTimes()
        times.record_hello(make_hello('b', 12_500), None)
        times.record_hello(make_hello('c', 2_500_000), None)
        service = times.get('s')
        assert service is not None
        self.assertTrue(service.is_granted(BODY_BYTES))
        if how == 'disconnect':
            times.forget(make_member('b').instance)
        else:
            times.record_hello(make_hello('b'), None)
        self.assertFalse(service.is_granted(BODY_BYTES))
        self.assertTrue(service.is_granted(3_000_000))
