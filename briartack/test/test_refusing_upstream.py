"""Test an owner whose upstream refuses all requests while its probes succeed.

Pattern: on a busy day most upstreams of a service refuse every request for
several seconds. Requests that reach them use up the attempts of their calls
and the shared retry budget, and runs that wait for those calls fail, although
the other upstreams of the service have free slots.
"""

import unittest

from nose2.tools import params

from briartack.core.calls.refusal_breaker import (
    MAX_PAUSE_SECONDS,
    MAX_REFUSALS_IN_ROW,
    MIN_PAUSE_SECONDS,
    RefusalBreaker,
)
from briartack.core.effects import Dispatch, Effects, SendAnswer
from briartack.test.call_path_bench import CallPathBench, Step

OPENED_AT = 1.0
PAUSED_AT = OPENED_AT + MIN_PAUSE_SECONDS / 2
TRIAL_AT = OPENED_AT + MIN_PAUSE_SECONDS


def describe_outcomes(effects: Effects) -> list[str]:
    """Return the reasons of all answers, and `dispatched` for a dispatch."""
    outcomes = []
    for effect in effects:
        if isinstance(effect, Dispatch):
            outcomes.append('dispatched')
        if isinstance(effect, SendAnswer):
            outcomes.append(effect.answer.reason)
    return outcomes


class RefusingUpstreamTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = CallPathBench(setup={'limits': {'slots': 1}})

    def send(self, at: float, attempt: str) -> list[str]:
        step = {'attempt': attempt, 'clock': at}
        return describe_outcomes(self.bench._attempt(at, step))

    def end(self, at: float, attempt: str, **fields: bool) -> list[str]:
        step: Step = {'attempt': attempt, 'may_have_run': False, **fields}
        return describe_outcomes(self.bench._fail(at, step))

    def refuse(self, count: int) -> None:
        for number in range(count):
            self.send(OPENED_AT, f'r{number}')
            self.end(OPENED_AT, f'r{number}', is_refusal=True)

    @params(
        (MAX_REFUSALS_IN_ROW - 1, PAUSED_AT, ['dispatched']),
        (MAX_REFUSALS_IN_ROW, PAUSED_AT, ['upstream-refusing']),
        (MAX_REFUSALS_IN_ROW, TRIAL_AT, ['dispatched']),
    )
    def test_upstream_gets_only_trials_after_refusals_in_row(
        self, refusals: int, at: float, expected: list[str]
    ) -> None:
        self.refuse(refusals)
        self.assertEqual(self.send(at, 'next'), expected)

    @params({'is_reset': True}, {'may_have_run': True})
    def test_other_failures_are_no_refusals(self, fields: Step) -> None:
        for number in range(MAX_REFUSALS_IN_ROW):
            self.send(OPENED_AT, f'r{number}')
            self.end(OPENED_AT, f'r{number}', **fields)
        self.assertEqual(self.send(PAUSED_AT, 'next'), ['dispatched'])

    def test_run_ends_refusals_in_row(self) -> None:
        self.refuse(MAX_REFUSALS_IN_ROW - 1)
        self.send(OPENED_AT, 'run')
        self.bench.apply_step(
            {
                'at': OPENED_AT,
                'do': 'upstream',
                'attempt': 'run',
            }
        )
        self.refuse(1)
        self.assertEqual(self.send(PAUSED_AT, 'next'), ['dispatched'])

    def test_one_trial_at_a_time_and_its_run_ends_the_pause(self) -> None:
        self.refuse(MAX_REFUSALS_IN_ROW)
        self.send(TRIAL_AT, 'trial')
        self.assertEqual(self.send(TRIAL_AT, 'x'), ['upstream-refusing'])
        run = {'at': TRIAL_AT, 'do': 'upstream', 'attempt': 'trial'}
        self.bench.apply_step(run)
        self.assertEqual(self.send(TRIAL_AT, 'y'), ['dispatched'])

    def test_queued_attempts_are_refused_at_once(self) -> None:
        """Check that queued attempts return to their senders for free."""
        self.refuse(MAX_REFUSALS_IN_ROW - 1)
        self.send(OPENED_AT, 'last')
        self.send(OPENED_AT, 'queued')
        outcomes = self.end(OPENED_AT, 'last', is_refusal=True)
        self.assertEqual(outcomes, ['upstream-refused', 'upstream-refusing'])

    def test_refusing_owner_looks_loaded(self) -> None:
        self.refuse(MAX_REFUSALS_IN_ROW)
        upstream = self.bench.state.owner.upstream
        self.assertGreater(upstream.load(PAUSED_AT), 1)
        self.assertTrue(upstream.breaker.is_paused(PAUSED_AT))


class RefusalBreakerTest(unittest.TestCase):
    def test_pauses_grow_up_to_the_maximum(self) -> None:
        breaker = RefusalBreaker()
        now = float(0)
        pauses = []
        for _ in range(MAX_REFUSALS_IN_ROW - 1):
            breaker.record_refusal(now)
        for _ in range(5):
            breaker.record_refusal(now)
            start = now
            while breaker.is_paused(now):
                now += 0.125
            pauses.append(now - start)
        self.assertEqual(pauses[0], MIN_PAUSE_SECONDS)
        self.assertEqual(pauses, sorted(pauses))
        self.assertEqual(pauses[-1], MAX_PAUSE_SECONDS)

    def test_refusals_during_a_pause_do_not_lengthen_the_pause(self) -> None:
        breaker = RefusalBreaker()
        for _ in range(MAX_REFUSALS_IN_ROW + 5):
            breaker.record_refusal(0)
        self.assertFalse(breaker.is_paused(MIN_PAUSE_SECONDS))
