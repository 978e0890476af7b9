"""Tests of the retry tokens that all daemons share.

They guard against retry storms, and against tokens that go to calls whose
callers could repeat them while runs fail for the lack of one.
"""

import unittest
from collections.abc import Callable
from typing import Any, Final
from unittest.mock import Mock, patch

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from briartack.core import events
from briartack.core.calls import call_handlers, reasons, retry
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.retry import RetryState, compute_shared_budget
from briartack.core.effects import SendAttempt
from briartack.core.messages import Attempt
from briartack.core.units import (
    AttemptId,
    CallId,
    Digest,
    Incarnation,
    InstanceId,
)
from briartack.core.verdict import Verdict
from briartack.test.call_path_bench import CallPathBench

RATIO: Final = 0.2
EXTRA: Final = 20.0
DAEMONS: Final = 5
RULES: Final = CallRules(
    counts_refusals=False, retry_ratio=RATIO, retry_burst=EXTRA
)
# Each step: seconds since the last, a daemon, and what happens there.
STEPS: Final = st.lists(
    st.tuples(
        st.sampled_from((0.0, 0.1, 1.0, 6.0)),
        st.integers(0, DAEMONS - 1),
        st.sampled_from(('calls', 'retries', 'repeat', 'restart')),
    ),
    max_size=80,
)
Step = tuple[float, int, str]


class Fleet:
    """Play a history of calls, retries and restarts over some daemons."""

    def __init__(self) -> None:
        self.now = 100.0
        self.states = [RetryState() for _ in range(DAEMONS)]
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.worst_debt = 0.0

    def play(self, steps: list[Step], *, has_repeats: bool) -> None:
        """Apply the steps; calls of retried runs may be left out."""
        for seconds, daemon, action in steps:
            self.now += seconds
            if has_repeats or action != 'repeat':
                getattr(self, f'_{action}')(daemon)
            self._check_debt()

    def find_excess(self) -> float:
        """Return by how much a window of 10 s exceeds the budget."""
        return max(
            (self._compute_excess(end) for end in self.retries), default=0
        )

    def _restart(self, daemon: int) -> None:
        self.states[daemon] = RetryState()

    def _calls(self, daemon: int) -> None:
        for _ in range(10):
            self._call(daemon, is_from_repeat=False)

    def _retries(self, daemon: int) -> None:
        self._call(daemon, is_from_repeat=False)
        while self.states[daemon].take_token('s'):
            self.retries.append(self.now)

    def _repeat(self, daemon: int) -> None:
        self._call(daemon, is_from_repeat=True)
        self.retries.append(self.now)

    def _compute_excess(self, end: float) -> float:
        begin = end - 10
        retries = sum(begin <= at <= end for at in self.retries)
        requests = sum(begin <= at <= end for at in self.requests)
        return retries - RATIO * requests - EXTRA

    def _call(self, daemon: int, *, is_from_repeat: bool) -> None:
        call: Any = Mock(is_from_repeat=is_from_repeat)
        call.share.service = 's'
        context: Any = Mock(rules=RULES)
        context.members.instance_count = DAEMONS
        self.requests.append(self.now)
        self.states[daemon].count_call(context, self.now, call)

    def _check_debt(self) -> None:
        debts = 0.0
        for state in self.states:
            balance = state._balances.get('s')
            if balance is not None:
                debts += max(0, -balance.tokens)
        self.worst_debt = max(self.worst_debt, debts)


def find_excess_of_restarts() -> float:
    """Return the excess of a fleet whose daemons restart in turn."""
    fleet = Fleet()
    every = range(DAEMONS)
    steps: list[Step] = [(0, daemon, 'calls') for daemon in every]
    steps.append((11, 0, 'calls'))
    steps.extend((0, daemon, 'retries') for daemon in every)
    steps.extend((0.1, daemon, 'restart') for daemon in every)
    steps.extend((0.1, daemon, 'retries') for daemon in every)
    fleet.play(steps, has_repeats=False)
    return fleet.find_excess()


class SharedBoundTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(steps=STEPS)
    def test_retries_stay_within_the_budget(self, steps: list[Step]) -> None:
        """Guard against restarts and uneven load that add to the budget."""
        fleet = Fleet()
        fleet.play(steps, has_repeats=False)
        self.assertLessEqual(fleet.find_excess(), 0)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(steps=STEPS)
    def test_calls_of_retried_runs_count(self, steps: list[Step]) -> None:
        """Guard against calls of retried runs outside of any budget.

        They may exceed it by no more than what the daemons owe.
        """
        fleet = Fleet()
        steps = [step for step in steps if step[2] != 'restart']
        fleet.play(steps, has_repeats=True)
        self.assertLessEqual(fleet.find_excess(), fleet.worst_debt)

    def test_burst_after_each_start_exceeds_the_budget(self) -> None:
        """Check the bound against a mutant that grants the burst at once."""
        self.assertLessEqual(find_excess_of_restarts(), 0)
        with patch.object(retry, 'WINDOW_SECONDS', -1):
            self.assertGreater(find_excess_of_restarts(), 0)

    def test_mutant_without_tokens_of_retried_runs_is_found(self) -> None:
        """Check the count against a mutant that forgets whose call it is."""
        fleet = Fleet()
        original: Callable[..., None] = RetryState.count_call

        def forget(state: RetryState, *given: Any) -> None:  # noqa: WPS430
            given[-1].is_from_repeat = False
            original(state, *given)

        steps: list[Step] = [(0.1, 0, 'repeat') for _ in range(60)]
        with patch.object(RetryState, 'count_call', forget):
            fleet.play(steps, has_repeats=True)
        self.assertGreater(fleet.find_excess(), fleet.worst_debt)


class PriorityTest(unittest.TestCase):
    # Each row: what is known of the call, and the retries that it may take of
    # four tokens.
    @params(
        ({}, Verdict.NOT_RUN, 2),
        ({'is_from_local_run': True}, Verdict.NOT_RUN, 4),
        # The caller would get no 503, so it could not repeat the call.
        ({}, Verdict.UNKNOWN, 4),
        ({'may_have_run': True}, Verdict.NOT_RUN, 4),
    )
    def test_last_tokens_are_for_calls_that_would_be_lost(
        self, known: dict[str, bool], verdict: Verdict, expected: int
    ) -> None:
        """Guard against tokens that go to calls their callers can repeat."""
        state = RetryState()
        state.add_tokens('s', 0, 4)
        call: Any = Mock(attempts=1, is_from_local_run=False)
        call.configure_mock(**{'may_have_run': False, **known})
        call.event.is_nested = False
        call.route.policy.max_attempts = 9
        call.share.service = 's'
        taken = sum(
            state.reserve_retry(RULES, call, verdict, reasons.UPSTREAM_FAILED)
            for _ in range(9)
        )
        self.assertEqual(taken, expected)

    def test_small_bursts_add_up(self) -> None:
        """Guard against large fleets in which no call is ever retried."""
        budget = compute_shared_budget(RULES, 200)
        assert budget is not None
        state = RetryState()
        taken = []
        for number in range(16):
            state.add_tokens('s', *budget, shared_at=100.0 + number / 10)
            taken.append(state.take_token('s'))
        # 0.19 of each call adds up to a token with every sixth one.
        self.assertEqual(
            [place for place, one in enumerate(taken) if one], [5, 11]
        )


def make_bench() -> CallPathBench:
    """Make a sender whose only owner is `b`."""
    bench = CallPathBench(
        setup={
            'members': 'b',
            'rules': {
                'counts_refusals': False,
                'retry_ratio': RATIO,
                'retry_burst': EXTRA,
            },
        }
    )
    bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
    return bench


def call_from(bench: CallPathBench, now: float, parent: str) -> Attempt:
    """Make a call and return its attempt."""
    event = events.CallArrived(
        now=now,
        call_id=CallId(f'c{now}'),
        method='GET',
        target='/s/x',
        headers=(),
        parent_id=parent,
    )
    produced = call_handlers.on_call_arrived(bench.state, bench.context, event)
    return next(one for one in produced if isinstance(one, SendAttempt)).attempt


class RepeatMarkTest(unittest.TestCase):
    @params(
        ('upstream-refused', 'not-run', True),
        ('upstream-failed', 'unknown', True),
        # No byte of the request reached the upstream.
        ('upstream-failed', 'not-run', False),
    )
    def test_retry_is_marked_once_an_upstream_was_reached(
        self, reason: str, verdict: str, is_repeat: bool
    ) -> None:
        """Guard against retries that their owner takes for first attempts."""
        bench = make_bench()
        bench.update_setup(
            {
                'policy': {'repeatable': True, 'max_attempts': 3},
                'rules': {'retry_ratio': RATIO, 'retry_burst': EXTRA},
            }
        )
        # The burst is granted once the daemon has run for some time.
        call_from(bench, 1, '')
        first = call_from(bench, 20, '')
        self.assertFalse(first.is_repeat)
        bench.apply_step(
            {
                'at': 20,
                'do': 'answer',
                'peer': 'b',
                'attempt': first.attempt_id,
                'verdict': verdict,
                'reason': reason,
            }
        )
        sent = call_handlers.on_tick(
            bench.state, bench.context, events.Tick(now=20.3)
        )
        retried = [one.attempt for one in sent if isinstance(one, SendAttempt)]
        self.assertEqual([one.is_repeat for one in retried], [is_repeat])

    @params(False, True)
    def test_calls_of_a_retried_run_are_retries(self, is_repeat: bool) -> None:
        """Guard against calls of retried runs that no daemon counts."""
        bench = make_bench()
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.update_setup({'members': 'ab'})
        attempt = Attempt(
            attempt_id=AttemptId('x'),
            owner_incarnation=Incarnation('i1'),
            owner_clock=1,
            remaining_ms=1000,
            service='s',
            method='GET',
            target='/s/x',
            headers=(),
            body_bytes=0,
            body_digest=Digest(b''),
            interactive=True,
            request_id='r1',
            is_repeat=is_repeat,
        )
        event = events.PeerMessageReceived(
            now=1, peer=InstanceId('b'), message=attempt
        )
        call_handlers.on_attempt(bench.state, bench.context, event, attempt)
        bench.update_setup({'members': 'b'})
        self.assertIs(call_from(bench, 1.1, 'r1').is_repeat, is_repeat)
        balance = bench.state.sender._retry._balances['s']
        self.assertEqual(balance.tokens, -1 if is_repeat else 0.19)
