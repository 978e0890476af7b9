"""Guards what a platform's rules bound: retries, shares, stops, admission."""

import unittest
from collections import Counter
from random import Random
from typing import Any, Final
from unittest.mock import Mock

from nose2.tools import params

from briartack.core.calls import reasons
from briartack.core.calls.admission import AdmissionState, SlotRequest
from briartack.core.calls.call_handlers import on_call_arrived
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.calls.drain import DrainState
from briartack.core.calls.reasons import Reason
from briartack.core.calls.retry import (
    RetryState,
    compute_shared_budget,
    is_free_refusal,
)
from briartack.core.calls.routing import RoutingState
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.effects import Effects, SendAttempt, WriteLog
from briartack.core.events import CallArrived
from briartack.core.messages import Attempt
from briartack.core.units import AttemptId, CallId
from briartack.core.verdict import Verdict
from briartack.test.call_bench import Bench, BenchRoute, BenchShare

RULES: Final = CallRules(
    counts_refusals=False,
    retry_ratio=0.2,
    retry_burst=62,
)
DAEMONS: Final = 18
LIMITS: Final = ServiceLimits(slots=2, connections=9, queue_length=3)


class RetryBudgetTest(unittest.TestCase):
    @params((0, DAEMONS), (50, DAEMONS), (500, DAEMONS), (500, 1))
    def test_all_daemons_together_keep_the_budget(
        self,
        calls: int,
        daemons: int,
    ) -> None:
        """Guards against shares that add up to more than the whole."""
        budget = compute_shared_budget(RULES, daemons)
        assert budget is not None
        spent = 0
        fleet = [RetryState() for _ in range(daemons)]
        for retries in fleet:
            retries.add_tokens('s', *budget)
            spent += _spend_all(retries)
            for _ in range(calls):
                retries.add_tokens('s', *budget)
                spent += _spend_all(retries)
        bound = 0.2 * (calls + 1) * daemons + 62
        self.assertLessEqual(spent, bound)
        self.assertGreater(spent, 0)

    def test_policies_bound_retries_without_a_shared_budget(self) -> None:
        self.assertIsNone(compute_shared_budget(CallRules(), 5))

    @params(
        (reasons.OVERLOAD, Verdict.NOT_RUN, 0, True),
        (reasons.OVERLOAD, Verdict.NOT_RUN, 4, False),
        (reasons.UPSTREAM_REFUSED, Verdict.NOT_RUN, 0, False),
        (reasons.CONNECTION_LOST, Verdict.UNKNOWN, 0, False),
        (reasons.NO_ROUTE, Verdict.NOT_RUN, 0, False),
    )
    def test_free_tries(
        self,
        reason: Reason,
        verdict: Verdict,
        tries: int,
        expected: bool,
    ) -> None:
        """Guards against arrivals at upstreams that no budget counts."""
        call: Any = Mock(free_refusals=tries)
        self.assertIs(is_free_refusal(RULES, call, verdict, reason), expected)
        self.assertFalse(is_free_refusal(CallRules(), call, verdict, reason))


class CallOfRunTest(unittest.TestCase):
    @params(
        ({'parent': 'r1'}, 4, True),
        ({'parent': 'r2'}, 0, False),
        ({}, 0, False),
    )
    def test_calls_are_as_urgent_as_their_run(
        self,
        step: dict[str, str],
        rank: int,
        is_awaited_by_run: bool,
    ) -> None:
        """Guards against urgent work behind calls of less urgent runs."""
        bench = Bench(setup={'members': 'ab'})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        run = {'attempt': 'x', 'request': 'r1', 'rank': 4}
        bench.run({'at': 1, 'do': 'attempt', 'peer': 'b', **run})
        made = self.arrive(bench, step)
        sent = _attempt_of(made)
        self.assertEqual(
            (sent.rank, sent.is_awaited_by_run), (rank, is_awaited_by_run)
        )
        self.assertIn(('of_run', str(is_awaited_by_run)), _fields_of(made))
        self.assertIn(('rank', str(rank)), _fields_of(made))
        bench.run({'at': 2, 'do': 'upstream', 'attempt': 'x'})
        later = _attempt_of(self.arrive(bench, step))
        self.assertFalse(later.is_awaited_by_run)

    def arrive(self, bench: Bench, step: dict[str, str]) -> Effects:
        """Let a call arrive while this daemon's own upstream is leaving."""
        bench.change({'leaving': 'a'})
        arrival = CallArrived(
            now=2,
            call_id=CallId(f'c{id(step)}'),
            method='GET',
            target='/s/x',
            headers=(),
            tenant='',
            idempotency_key='',
            deadline_ms=None,
            is_nested=False,
            body_bytes=0,
            parent_id=step.get('parent', ''),
        )
        return on_call_arrived(bench.state, bench.context, arrival)


class ShareTest(unittest.TestCase):
    @params((90, 10), (50, 50), (1, 0), (60, 40))
    def test_parts_follow_their_weights(self, *weights: int) -> None:
        """Guards against a part that is off by more than the tenth allowed."""
        route: Any = BenchRoute(
            shares=tuple(
                BenchShare(service=str(place), limits=LIMITS, weight=weight)
                for place, weight in enumerate(weights)
            ),
            policy=Mock(),
        )
        counts: Counter[str] = Counter()
        for seed in range(DAEMONS):
            routing = RoutingState()
            random = Random(seed)
            for _ in range(17):
                counts[routing.choose_share(random, route).service] += 1
        total = sum(counts.values())
        for place, weight in enumerate(weights):
            expected = weight / sum(weights)
            found = counts[str(place)] / total
            self.assertLess(abs(found - expected), 0.1)
            self.assertFalse(found and not weight)


class DrainTest(unittest.TestCase):
    @params((0, 0, True), (2.2, 2.1, False), (2.2, 2.3, True))
    def test_lingers_until_callers_have_turned_away(
        self,
        linger_seconds: float,
        seconds: float,
        is_refusing: bool,
    ) -> None:
        drain = DrainState(drain_seconds=5, linger_seconds=linger_seconds)
        self.assertFalse(drain.is_refusing)
        drain.begin(10)
        drain.advance(10 + seconds)
        self.assertIs(drain.is_refusing, is_refusing)
        self.assertFalse(drain.advance(10 + seconds))
        self.assertTrue(drain.is_draining)


class GoodbyeTest(unittest.TestCase):
    """Without these, each restart takes its upstream out for longer."""

    def stopping(self, linger_seconds: float) -> Bench:
        rules = CallRules(linger_seconds=linger_seconds)
        bench = Bench(
            setup={'members': 'ab'},
            state=CallsState(drain_seconds=5, rules=rules),
        )
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        return bench

    @params((0, ['goodbye b', 'exit 0']), (2.2, []))
    def test_peers_are_told_when_callers_have_had_time(
        self,
        linger_seconds: float,
        expected: list[str],
    ) -> None:
        bench = self.stopping(linger_seconds)
        self.assertEqual(bench.run({'at': 1, 'do': 'stop'}), expected)

    def test_lingering_owner_serves_its_peers(self) -> None:
        """Guards against refusals while the upstream could still run."""
        bench = self.stopping(2.2)
        bench.run({'at': 1, 'do': 'stop'})
        attempt = {'at': 2, 'do': 'attempt', 'peer': 'b'}
        self.assertEqual(
            bench.run({**attempt, 'attempt': 'x'}),
            ['dispatch x'],
        )
        bench.run({'at': 2.1, 'do': 'upstream', 'attempt': 'x'})
        self.assertEqual(bench.run({'at': 2.7, 'do': 'tick'}), [])
        self.assertEqual(bench.run({'at': 2.85, 'do': 'tick'}), ['goodbye b'])
        self.assertEqual(
            bench.run({**attempt, 'at': 2.9, 'attempt': 'y'}),
            ['reply b y not-run stopping', 'drop attempt:y'],
        )
        # What was sent before the goodbye arrived still gets its answer.
        self.assertEqual(bench.run({'at': 3.1, 'do': 'tick'}), [])
        self.assertEqual(bench.run({'at': 3.3, 'do': 'tick'}), ['exit 0'])


class AdmissionTest(unittest.TestCase):
    def offer(
        self,
        admission: AdmissionState,
        name: str,
        *,
        rank: int = 0,
        is_awaited_by_run: bool = False,
        useful_until: float = float('inf'),
        available_starts: int | None = None,
    ) -> str:
        waiting = SlotRequest(
            attempt_id=AttemptId(name),
            deadline=100,
            interactive=True,
            rank=rank,
            is_awaited_by_run=is_awaited_by_run,
            useful_until=useful_until,
        )
        outcome = admission.offer(
            waiting,
            0,
            limit=2,
            limits=LIMITS,
            start_interval_seconds=0.1,
            available_starts=available_starts,
        )
        if outcome.started:
            return 'started'
        return f'refused {outcome.refused[0]}' if outcome.refused else 'queued'

    def test_urgent_goes_first_and_displaces_the_last(self) -> None:
        """Guards against a less urgent kind that is served better."""
        admission = AdmissionState()
        outcomes = [self.offer(admission, f'{one}', rank=2) for one in 'abcde']
        self.assertEqual(outcomes, [*('started',) * 2, *('queued',) * 3])
        self.assertEqual(self.offer(admission, 'x', rank=1), 'refused e')
        self.assertEqual(self.offer(admission, 'y', rank=2), 'refused y')
        admission.release()
        self.assertEqual(admission.fill(0, limit=2).started, ('x',))

    def test_calls_of_runs_go_first_among_equals(self) -> None:
        """Guards against runs that fail for calls behind new work."""
        admission = AdmissionState()
        for name in 'abcde':
            self.offer(admission, name, rank=1)
        found = self.offer(admission, 'x', rank=1, is_awaited_by_run=True)
        self.assertEqual(found, 'refused e')
        found = self.offer(admission, 'y', rank=2, is_awaited_by_run=True)
        self.assertEqual(found, 'refused y')
        admission.release()
        self.assertEqual(admission.fill(0, limit=2).started, ('x',))

    @params((0.15, 'refused c'), (0.25, 'queued'))
    def test_too_late_to_be_useful(
        self,
        useful_until: float,
        outcome: str,
    ) -> None:
        admission = AdmissionState()
        for name in 'ab':
            self.offer(admission, name)
        self.offer(admission, 'between')
        found = self.offer(admission, 'c', useful_until=useful_until)
        self.assertEqual(found, outcome)

    def test_no_room_at_a_cold_upstream(self) -> None:
        admission = AdmissionState()
        self.assertEqual(
            self.offer(admission, 'a', available_starts=0), 'queued'
        )
        filled = admission.fill(0, limit=2, available_starts=1)
        self.assertEqual(filled.started, ('a',))


def _attempt_of(made: Effects) -> Attempt:
    return next(
        effect.attempt for effect in made if isinstance(effect, SendAttempt)
    )


def _fields_of(made: Effects) -> tuple[tuple[str, str], ...]:
    return next(
        effect.fields for effect in made if isinstance(effect, WriteLog)
    )


def _spend_all(retries: RetryState) -> int:
    spent = 0
    while retries.take_token('s'):
        spent += 1
    return spent
