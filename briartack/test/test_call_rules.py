"""Test the rules that a platform sets for calls.

The rules limit retries, weighted shares, planned stops and admission.
"""

import unittest
from collections import Counter
from random import Random
from typing import Any, Final
from unittest.mock import Mock

from nose2.tools import params

from briartack.core.calls import reasons
from briartack.core.calls.admission import AdmissionState
from briartack.core.calls.call_handlers import on_call_arrived
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.calls_state import CallsState
from briartack.core.calls.drain import GOODBYE_LEAD_SECONDS, DrainState
from briartack.core.calls.reasons import Reason
from briartack.core.calls.retry import (
    RetryState,
    compute_shared_budget,
    is_free_refusal,
)
from briartack.core.calls.routing import RoutingState
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.effects import Effects, SendAttempt, WriteLog
from briartack.core.events import CallArrived
from briartack.core.messages import Attempt
from briartack.core.units import AttemptId, CallId
from briartack.core.verdict import Verdict
from briartack.test.call_path_bench import CallPathBench, FakeRoute, FakeShare

RULES: Final = CallRules(
    counts_refusals=False,
    retry_ratio=0.2,
    retry_burst=62,
)
DAEMONS: Final = 18
LIMITS: Final = ServiceLimits(slots=2, connections=9, queue_length=3)


class SharedRetryBudgetTest(unittest.TestCase):
    @params((0, DAEMONS), (50, DAEMONS), (500, DAEMONS), (500, 1))
    def test_daemons_together_stay_within_shared_budget(
        self,
        calls: int,
        daemons: int,
    ) -> None:
        """Check that all daemons together stay within the shared retry budget.

        The total is 0.2 of all calls plus 62; parts that are too large would
        exceed it once every daemon spends its own.
        """
        budget = compute_shared_budget(RULES, daemons)
        assert budget is not None
        spent = 0
        fleet = [RetryState() for _ in range(daemons)]
        for retries in fleet:
            retries.add_tokens('s', *budget)
            spent += _spend_all_tokens(retries)
            for _ in range(calls):
                retries.add_tokens('s', *budget)
                spent += _spend_all_tokens(retries)
        bound = 0.2 * (calls + 1) * daemons + 62
        self.assertLessEqual(spent, bound)
        self.assertGreater(spent, 0)

    def test_without_retry_ratio_no_budget_is_shared(self) -> None:
        self.assertIsNone(compute_shared_budget(CallRules(), 5))

    @params(
        (reasons.OVERLOAD, Verdict.NOT_RUN, 0, True),
        (reasons.OVERLOAD, Verdict.NOT_RUN, 4, False),
        (reasons.UPSTREAM_REFUSED, Verdict.NOT_RUN, 0, False),
        (reasons.CONNECTION_LOST, Verdict.UNKNOWN, 0, False),
        (reasons.NO_ROUTE, Verdict.NOT_RUN, 0, False),
    )
    def test_only_refusals_by_owners_are_free(
        self,
        reason: Reason,
        verdict: Verdict,
        tries: int,
        expected: bool,
    ) -> None:
        """Check that only a refusal by an owner, before its upstream, is free.

        A free retry after the request reached an upstream, or after the limit
        of free retries, would arrive there outside of any budget.
        """
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
        """Check that a call made by a running request gets its rank.

        Otherwise a less urgent request would make calls at the top rank, which
        go before urgent work. The rank ends with the request.
        """
        bench = CallPathBench(setup={'members': 'ab'})
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        run = {'attempt': 'x', 'request': 'r1', 'rank': 4}
        bench.apply_step({'at': 1, 'do': 'attempt', 'peer': 'b', **run})
        produced = self.deliver_call(bench, step)
        sent = _find_sent_attempt(produced)
        self.assertEqual(
            (sent.rank, sent.is_awaited_by_run), (rank, is_awaited_by_run)
        )
        self.assertIn(
            ('of_run', str(is_awaited_by_run)), _find_log_fields(produced)
        )
        self.assertIn(('rank', str(rank)), _find_log_fields(produced))
        bench.apply_step({'at': 2, 'do': 'upstream', 'attempt': 'x'})
        later = _find_sent_attempt(self.deliver_call(bench, step))
        self.assertFalse(later.is_awaited_by_run)

    def deliver_call(
        self, bench: CallPathBench, step: dict[str, str]
    ) -> Effects:
        """Deliver a call that a peer must run, as the local upstream leaves."""
        bench.update_setup({'leaving': 'a'})
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


class RouteShareTest(unittest.TestCase):
    @params((90, 10), (50, 50), (1, 0), (60, 40))
    def test_calls_follow_weights_of_shares(self, *weights: int) -> None:
        """Check that each share differs from its weight by less than 0.1.

        Each of 18 daemons makes only 17 choices; independent random choices
        could miss the weights. A share of weight 0 gets no call.
        """
        route: Any = FakeRoute(
            shares=tuple(
                FakeShare(service=str(place), limits=LIMITS, weight=weight)
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

    # Guards against a call for a share of weight 0, which the random credits
    # at the start or a new snapshot let win.
    @params((1, 1, 0), (1, 0, 1), (0, 1, 1), (1, 1, 0, 9), (0, 0, 1))
    def test_share_of_weight_zero_gets_no_call(self, *weights: int) -> None:
        route: Any = FakeRoute(
            shares=tuple(
                FakeShare(service=str(place), limits=LIMITS, weight=weight)
                for place, weight in enumerate(weights)
            ),
            policy=Mock(),
        )
        for seed in range(200):
            routing = RoutingState()
            random = Random(seed)
            chosen = [routing.choose_share(random, route) for _ in range(20)]
            self.assertTrue(all(share.weight for share in chosen), seed)


class DrainStateTest(unittest.TestCase):
    """Check that callers are served for the linger time of a planned stop.

    Callers learn of the stop only after a while; refusing them at once would
    fail their calls.
    """

    @params((0, 0, True), (2.2, 2.1, False), (2.2, 2.3, True))
    def test_refuses_only_after_linger_time(
        self,
        linger_seconds: float,
        seconds: float,
        is_refusing: bool,
    ) -> None:
        drain = DrainState(drain_seconds=5, linger_seconds=linger_seconds)
        self.assertFalse(drain.is_refusing)
        drain.begin(10)
        drain.advance(10 + linger_seconds - GOODBYE_LEAD_SECONDS)
        drain.advance(10 + seconds)
        self.assertIs(drain.is_refusing, is_refusing)
        self.assertFalse(drain.advance(10 + seconds))
        self.assertTrue(drain.is_draining)

    @params((2.3, 2.65, False), (2.3, 2.75, True), (4.9, 5.1, True))
    def test_late_goodbye_keeps_its_lead(
        self, woken: float, seconds: float, is_refusing: bool
    ) -> None:
        """Guard against an exit before what peers sent has been read.

        A process that stood still reaches the times of the goodbye and of the
        exit at once. The time limit of the stop holds all the same.
        """
        drain = DrainState(drain_seconds=5, linger_seconds=2.2)
        drain.begin(10)
        self.assertTrue(drain.advance(10 + woken))
        self.assertFalse(drain.is_refusing)
        drain.advance(10 + seconds)
        self.assertIs(drain.is_refusing, is_refusing)


class GoodbyeTest(unittest.TestCase):
    """Check the order of a planned stop: callers first, then peers, then exit.

    An owner that refuses peers or exits while callers still use this daemon
    takes the upstream out of service for longer at each restart.
    """

    def make_bench(self, linger_seconds: float) -> CallPathBench:
        rules = CallRules(linger_seconds=linger_seconds)
        bench = CallPathBench(
            setup={'members': 'ab'},
            state=CallsState(drain_seconds=5, rules=rules),
        )
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        return bench

    @params((0, ['goodbye b', 'exit 0']), (2.2, []))
    def test_goodbye_waits_for_linger_time(
        self,
        linger_seconds: float,
        expected: list[str],
    ) -> None:
        bench = self.make_bench(linger_seconds)
        self.assertEqual(bench.apply_step({'at': 1, 'do': 'stop'}), expected)

    def test_lingering_owner_serves_its_peers(self) -> None:
        """Check that attempts are run until the goodbye and refused after it.

        An owner that refuses peers from the start of the stop would waste an
        upstream that can still run requests.
        """
        bench = self.make_bench(2.2)
        bench.apply_step({'at': 1, 'do': 'stop'})
        attempt = {'at': 2, 'do': 'attempt', 'peer': 'b'}
        self.assertEqual(
            bench.apply_step({**attempt, 'attempt': 'x'}),
            ['dispatch x'],
        )
        bench.apply_step({'at': 2.1, 'do': 'upstream', 'attempt': 'x'})
        self.assertEqual(bench.apply_step({'at': 2.7, 'do': 'tick'}), [])
        self.assertEqual(
            bench.apply_step({'at': 2.85, 'do': 'tick'}), ['goodbye b']
        )
        self.assertEqual(
            bench.apply_step({**attempt, 'at': 2.9, 'attempt': 'y'}),
            ['reply b y not-run stopping', 'drop attempt:y'],
        )
        # Attempts sent before the goodbye arrived still get their answers.
        self.assertEqual(bench.apply_step({'at': 3.1, 'do': 'tick'}), [])
        self.assertEqual(
            bench.apply_step({'at': 3.3, 'do': 'tick'}), ['exit 0']
        )

    def test_owner_that_stood_still_refuses_what_peers_sent(self) -> None:
        """Guard against attempts that end with 502 though none of them ran.

        Peers sent them to an owner that stood still past its goodbye.
        """
        bench = self.make_bench(2.2)
        bench.apply_step({'at': 1, 'do': 'stop'})
        self.assertEqual(
            bench.apply_step({'at': 3.5, 'do': 'tick'}), ['goodbye b']
        )
        attempt = {'at': 3.5, 'do': 'attempt', 'peer': 'b', 'attempt': 'x'}
        self.assertEqual(
            bench.apply_step(attempt),
            ['reply b x not-run stopping', 'drop attempt:x'],
        )
        self.assertEqual(
            bench.apply_step({'at': 3.95, 'do': 'tick'}), ['exit 0']
        )


class AdmissionTest(unittest.TestCase):
    def offer_attempt(
        self,
        admission: AdmissionState,
        name: str,
        *,
        rank: int = 0,
        is_awaited_by_run: bool = False,
        useful_until: float = float('inf'),
        available_starts: int | None = None,
    ) -> str:
        """Offer an attempt; return `started`, `queued` or the refused id."""
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

    def test_urgent_attempt_starts_first_and_displaces_last(self) -> None:
        """Check that the lowest rank starts first and the highest is dropped.

        Otherwise less urgent work would be served before urgent work, or would
        keep its place in a full queue.
        """
        admission = AdmissionState()
        outcomes = [
            self.offer_attempt(admission, f'{one}', rank=2) for one in 'abcde'
        ]
        self.assertEqual(outcomes, [*('started',) * 2, *('queued',) * 3])
        self.assertEqual(
            self.offer_attempt(admission, 'x', rank=1), 'refused e'
        )
        self.assertEqual(
            self.offer_attempt(admission, 'y', rank=2), 'refused y'
        )
        admission.release()
        self.assertEqual(admission.fill(0, limit=2).started, ('x',))

    def test_calls_of_runs_go_before_new_work_of_any_rank(self) -> None:
        """Check that calls of running requests precede new work.

        Otherwise a running request would fail, and hold its slot meanwhile,
        because its own calls wait behind requests that have not begun.
        """
        admission = AdmissionState()
        for name in 'abcde':
            self.offer_attempt(admission, name, rank=1)
        found = self.offer_attempt(
            admission, 'x', rank=1, is_awaited_by_run=True
        )
        self.assertEqual(found, 'refused e')
        found = self.offer_attempt(
            admission, 'y', rank=2, is_awaited_by_run=True
        )
        self.assertEqual(found, 'refused d')
        self.assertEqual(
            self.offer_attempt(admission, 'z', rank=0), 'refused c'
        )
        started: list[AttemptId] = []
        for _ in range(3):
            admission.release()
            started.extend(admission.fill(0, limit=2).started)
        self.assertEqual(started, ['x', 'y', 'z'])

    @params((0.15, 'refused c'), (0.25, 'queued'))
    def test_attempt_that_would_start_too_late_is_refused(
        self,
        useful_until: float,
        outcome: str,
    ) -> None:
        """Check that an attempt is refused if it starts after `useful_until`.

        Behind one queued attempt and with a free slot each 0.1 s, it would
        start at 0.2 s and take a slot for an answer that comes too late.
        """
        admission = AdmissionState()
        for name in 'ab':
            self.offer_attempt(admission, name)
        self.offer_attempt(admission, 'between')
        found = self.offer_attempt(admission, 'c', useful_until=useful_until)
        self.assertEqual(found, outcome)

    def test_attempt_without_cold_capacity_is_queued(self) -> None:
        """Check that a cold upstream with free slots obeys its rate limit."""
        admission = AdmissionState()
        self.assertEqual(
            self.offer_attempt(admission, 'a', available_starts=0), 'queued'
        )
        filled = admission.fill(0, limit=2, available_starts=1)
        self.assertEqual(filled.started, ('a',))


def _find_sent_attempt(produced: Effects) -> Attempt:
    return next(
        effect.attempt for effect in produced if isinstance(effect, SendAttempt)
    )


def _find_log_fields(produced: Effects) -> tuple[tuple[str, str], ...]:
    return next(
        effect.fields for effect in produced if isinstance(effect, WriteLog)
    )


def _spend_all_tokens(retries: RetryState) -> int:
    spent = 0
    while retries.take_token('s'):
        spent += 1
    return spent
