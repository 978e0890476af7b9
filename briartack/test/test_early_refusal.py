"""Tests of the sender where its owners state waits.

They guard against calls that are sent where they can't be answered in time, and
against callers that are told to return all at once.
"""

import itertools
import unittest
from typing import Any

from nose2.tools import params

from briartack.core import events
from briartack.core.calls import call_handlers
from briartack.core.calls.call_checks import route_call
from briartack.core.calls.call_table import Call
from briartack.core.calls.return_times import ReturnTimes
from briartack.core.effects import AnswerCall
from briartack.core.messages import PROTOCOL_VERSION, Hello
from briartack.core.units import (
    AttemptId,
    CallId,
    Incarnation,
    InstanceId,
)
from briartack.core.verdict import Verdict
from briartack.test.call_path_bench import CallPathBench
from briartack.test.effect_lines import format_effect
from briartack.test.test_expected_times import make_answer

FULL_EVERYWHERE = 'answer p not-run 503 overload'


def state_times(
    bench: CallPathBench,
    now: float,
    peer: str,
    stated: dict[str, float],
    **more: Any,
) -> list[str]:
    """Let an owner answer with a statement."""
    answer = make_answer(**{'run_seconds': 0.04, **stated, **more})
    event = events.PeerMessageReceived(
        now=now, peer=InstanceId(peer), message=answer
    )
    produced = call_handlers.on_answer(
        bench.state, bench.context, event, answer
    )
    return [text for text in map(format_effect, produced) if text]


def make_bench(
    near: dict[str, float], far: dict[str, float], **setup: Any
) -> CallPathBench:
    """Make a sender with a near owner `b` and a far one `d`."""
    bench = CallPathBench(
        setup={
            'members': 'bd',
            'policy': {'target_ms': 400, 'timeout_ms': 2000},
            'rules': {'counts_refusals': False},
            **setup,
        }
    )
    for peer, stated in (('b', near), ('d', far)):
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': peer})
        state_times(bench, 1, peer, stated)
    return bench


def make_call(bench: CallPathBench) -> Call:
    """Make a call of the only route of the bench."""
    event = events.CallArrived(
        now=1, call_id=CallId('q'), method='GET', target='/s/x', headers=()
    )
    call = route_call(
        bench.context, event, bench.state.routing, is_parent_running=False
    )
    assert isinstance(call, Call)
    return call


class EarlyRefusalTest(unittest.TestCase):
    # Each row: waits stated by the near and the far owner, and the result. If
    # none is in time for the target, the call stays near.
    @params(
        (0, 0, 'send b'),
        (0.15, 0, 'send b'),
        (0.3, 0, 'send d'),
        (0.3, 0.28, 'send b'),
        (1.0, 0.9, 'send b'),
        (1.0, 0.3, 'send d'),
        (2.5, 2.4, FULL_EVERYWHERE),
    )
    def test_call_goes_where_it_completes(
        self, near_wait: float, far_wait: float, expected: str
    ) -> None:
        """Guard against calls sent where they can't be answered in time."""
        bench = make_bench(
            {'wait_seconds': near_wait}, {'wait_seconds': far_wait}
        )
        effects = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn(expected, ' '.join(effects))

    def test_home_regions_bind_the_choice(self) -> None:
        """Guard against a call that spills out of its home regions."""
        bench = make_bench({'wait_seconds': 1.0}, {}, home_regions=['costa'])
        effects = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn('send b', ' '.join(effects))

    # Each row: what makes `b` unusable, or full although it states no wait.
    @params(
        [{'do': 'change', 'setup': {'leaving': 'b'}}],
        [{'do': 'goodbye', 'peer': 'b', 'at': 1}],
        [{'do': 'disconnect', 'peer': 'b', 'at': 1}],
        [
            {'do': 'arrive', 'call': 'x', 'at': 1},
            {
                'do': 'answer',
                'at': 1,
                'peer': 'b',
                'attempt': 'a.i1.1',
                'verdict': 'not-run',
                'reason': 'upstream-down',
            },
        ],
    )
    def test_unusable_instances_are_passed_over(
        self, steps: list[dict[str, Any]]
    ) -> None:
        """Guard against calls at instances that leave, are gone or avoided."""
        bench = make_bench({}, {})
        for step in steps:
            bench.apply_step(step)
        effects = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn('send d', ' '.join(effects))

    @params((0, 'send d'), (5000, 'send b'))
    def test_cold_instance_is_asked_last(
        self, wait_ms: int, expected: str
    ) -> None:
        """Guard against calls that fill a cold upstream with free slots."""
        bench = make_bench(
            {'load': 2.0}, {'wait_seconds': wait_ms / 1000}, cold_ms=2000
        )
        effects = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn(expected, ' '.join(effects))

    @params((9_000, 'send b'), (40_000, 'send d'))
    def test_large_body_waits_for_no_grant_beyond_its_target(
        self, body_bytes: int, expected: str
    ) -> None:
        """Guard against uploads at a link that is full.

        The near owner states a wait of 0.5 s for bodies above 12.5 KB.
        """
        bench = make_bench(
            {'body_wait_seconds': 0.5, 'slowdown': 0},
            {'slowdown': 0},
            rules={
                'counts_refusals': False,
                'link_bytes_per_second': 625_000,
                'large_body_full_load': 4.0,
            },
        )
        times = bench.state.sender.chooser.expected_times
        times.record_hello(
            Hello(
                protocol_version=PROTOCOL_VERSION,
                instance=InstanceId('b'),
                incarnation=Incarnation('j1'),
                service='s',
                data_centre='costa-1',
                region='costa',
                clock=1,
                ungranted_body_bytes=12_500,
            ),
            None,
        )
        bench.apply_step(
            {'at': 1, 'do': 'arrive', 'call': 'p', 'bytes': body_bytes}
        )
        effects = bench.apply_step(
            {'at': 1, 'do': 'body', 'call': 'p', 'bytes': body_bytes}
        )
        self.assertIn(expected, ' '.join(effects))

    @params((0.1, 'send d'), (0.6, FULL_EVERYWHERE))
    def test_refused_call_asks_no_hopeless_owner(
        self, far_wait: float, expected: str
    ) -> None:
        """Guard against refusals by one owner after another."""
        bench = make_bench({}, {'wait_seconds': far_wait})
        sent = bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        self.assertIn('send b a.i1.1', ' '.join(sent))
        effects = state_times(
            bench,
            1,
            'b',
            {'wait_seconds': 0.8},
            attempt_id=AttemptId('a.i1.1'),
            verdict=Verdict.NOT_RUN,
            reason='overload',
        )
        self.assertIn(expected, ' '.join(effects))

    def test_owner_that_was_just_asked_does_not_look_idle(self) -> None:
        """Guard against a burst that goes to one owner until it answers.

        The near one gets as many as its four slots end within half of the
        target of 0.4 s: (0.2 - 0.04) / 0.01.
        """
        bench = make_bench({}, {})
        arrivals = [
            bench.apply_step({'at': 1, 'do': 'arrive', 'call': f'p{number}'})
            for number in range(20)
        ]
        near = [
            number
            for number, effects in enumerate(arrivals)
            if 'send b' in ' '.join(effects)
        ]
        self.assertEqual(near[:16], list(range(16)))
        self.assertLess(len(near), 20)

    def test_service_returns_home_below_a_lower_bound(self) -> None:
        """Guard against calls that change their scope with each answer."""
        bench = make_bench({'wait_seconds': 0.3}, {})
        found = ''
        for step, wait in enumerate((0.3, 0.14, 0.14, 0.1, 0.14)):
            now = 1 + step / 1000
            state_times(bench, now, 'b', {'wait_seconds': wait})
            state_times(bench, now, 'd', {})
            effects = bench.apply_step(
                {'at': now, 'do': 'arrive', 'call': f'p{step}'}
            )
            found += 'b' if 'send b' in ' '.join(effects) else 'd'
        self.assertEqual(found, 'dddbb')

    def test_late_calls_do_not_move_the_service(self) -> None:
        """Guard against late calls that send all others beyond their scope."""
        bench = make_bench({'wait_seconds': 1.5}, {}, policy={'target_ms': 1})
        times = bench.state.sender.chooser.expected_times.get('s')
        assert times is not None
        bench.apply_step({'at': 1.02, 'do': 'arrive', 'call': 'q', 'bytes': 9})
        effects = bench.apply_step({'at': 1.1, 'do': 'body', 'call': 'q'})
        self.assertIn('send d', ' '.join(effects))
        self.assertFalse(times.is_away)


class ReturnTimesTest(unittest.TestCase):
    def test_a_third_of_the_time_left_wins(self) -> None:
        """Guard against callers that are told to return too late."""
        stated = {'wait_seconds': 1.6, 'load': 4.0}
        bench = make_bench(
            stated, stated, policy={'target_ms': 400, 'timeout_ms': 1500}
        )
        event = events.CallArrived(
            now=1, call_id=CallId('p'), method='GET', target='/s/x', headers=()
        )
        produced = call_handlers.on_call_arrived(
            bench.state, bench.context, event
        )
        answers = [one for one in produced if isinstance(one, AnswerCall)]
        self.assertEqual([one.retry_after_seconds for one in answers], [0.5])

    def test_returns_are_spaced_by_the_capacity(self) -> None:
        """Guard against returns faster than slots become free.

        Eight slots with runs of 0.04 s free one slot in 5 ms, of which half are
        for this one of two daemons without calls in flight.
        """
        stated = {'wait_seconds': 0.1, 'load': 4.0}
        bench = make_bench(stated, stated)
        call = make_call(bench)
        times = bench.state.sender.chooser.expected_times
        schedule = ReturnTimes(expected_times=times)
        returns = [
            schedule.draw_seconds(bench.context, 1, call) or 0
            for _ in range(30)
        ]
        self.assertGreaterEqual(returns[0], 0.1)
        gaps = [
            later - earlier for earlier, later in itertools.pairwise(returns)
        ]
        self.assertGreaterEqual(min(gaps), 0.0099)
        self.assertLess(returns[-1], 0.66)
