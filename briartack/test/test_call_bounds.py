"""Tests the bounds and choices of the call path that need many steps."""

import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import cast

from nose2.tools import params

from briartack.core.calls import dedup, idempotency, reasons, retry, routing
from briartack.core.calls.call_context import Member
from briartack.core.calls.endpoints import (
    UNKNOWN_CLOCK,
    Endpoint,
    EndpointsState,
)
from briartack.core.calls.timers import Timers
from briartack.core.effects import Dispatch, SendAttempt
from briartack.core.messages import Answer, Attempt
from briartack.core.units import (
    AttemptId,
    BodyId,
    Incarnation,
    InstanceId,
)
from briartack.core.verdict import Verdict
from briartack.test.call_bench import (
    DIGEST,
    Bench,
    BenchMember,
    BenchSnapshot,
    member,
)

OWN = Incarnation('i1')


def _attempt(number: int, clock: float) -> Attempt:
    return Attempt(
        attempt_id=AttemptId(f'x{number}'),
        owner_incarnation=OWN,
        owner_clock=clock,
        remaining_ms=1000,
        service='s',
        method='GET',
        target='/',
        headers=(),
        body_bytes=0,
        body_digest=DIGEST,
        interactive=True,
    )


class ChoiceTest(unittest.TestCase):
    """Guards against far or loaded endpoints being preferred."""

    @params(
        ({'b': 0.5, 'c': 0.1, 'd': 0}, 'b'),
        ({'b': 1.0, 'c': 0.9, 'd': 0}, 'c'),
        ({'b': 1.5, 'c': 1.0, 'd': 0.2}, 'd'),
        ({'b': 2.0, 'c': 1.0, 'd': 1.0}, 'b'),
        ({'b': None, 'c': None, 'd': 3.0}, 'd'),
        ({'b': None, 'c': None, 'd': None}, None),
    )
    def test_scope(
        self,
        loads: dict[str, float | None],
        expected: str | None,
    ) -> None:
        scopes = tuple((cast(Member, member(name)),) for name in 'bcd')
        chosen = routing.choose_member(
            Random(1),
            scopes,
            lambda one: loads[one.instance],
        )
        self.assertEqual(chosen and chosen.instance, expected)

    def test_less_loaded_of_two(self) -> None:
        scope = _many(8)
        loads = {one.instance: index / 10 for index, one in enumerate(scope)}
        load_of: routing.LoadFunction = (  # noqa: E731
            lambda one: loads[one.instance]
        )
        random = Random(1)
        picks: Counter[str] = Counter()
        for _ in range(4000):
            chosen = routing.choose_member(random, (scope,), load_of)
            picks[chosen.instance if chosen else ''] += 1
        # Two independent picks choose the k-th best with (15 - 2k) / 64.
        for index, one in enumerate(scope):
            share = (15 - 2 * index) / 64
            self.assertAlmostEqual(picks[one.instance] / 4000, share, 1)

    def test_one_with_room_is_found(self) -> None:
        scope = _many(32)
        chosen = routing.choose_member(
            Random(1),
            (scope,),
            lambda one: 0.2 if one.instance == 'm31' else 1.2,
        )
        self.assertEqual(chosen, scope[31])

    def test_subset_is_bounded_and_stable(self) -> None:
        bench = Bench(setup={})
        context = bench.context
        everyone = _many(400)
        context.members.members = everyone  # type: ignore[attr-defined]
        state = routing.RoutingState()
        snapshot = context.snapshot
        assert snapshot is not None
        scopes = state.list_candidates(context, snapshot, 's', None)
        self.assertEqual([len(scope) for scope in scopes], [32, 0, 0])
        again = state.list_candidates(context, snapshot, 's', None)
        self.assertIs(again, scopes)
        gone = scopes[0][0]
        context.members.members = tuple(  # type: ignore[attr-defined]
            one for one in everyone if one is not gone
        )
        later = state.list_candidates(context, snapshot, 's', None)
        self.assertEqual(len(set(later[0]) & set(scopes[0])), 31)

    def test_report_fades(self) -> None:
        view = Endpoint(incarnation=OWN, clock=0, now=0)
        view.load = 2
        view.in_flight = 1
        loads = [view.estimate_load(now, 4) for now in (0, 5, 10, 90)]
        self.assertEqual(loads, [2.25, 1.25, 0.25, 0.25])


def _many(count: int) -> tuple[Member, ...]:
    return tuple(
        BenchMember(
            instance=InstanceId(f'm{number}'),
            data_centre='costa-1',
            region='costa',
        )
        for number in range(count)
    )


class RouteMatchTest(unittest.TestCase):
    """Guards against calls that go to another route than the longest."""

    @params(
        ('GET', '/s/x', 't/short'),
        ('GET', '/s/long/x', 't/long'),
        ('POST', '/s/long/x', 't/short'),
        ('GET', '/s?/s/long/', None),
        ('GET', '/', None),
    )
    def test_match(self, method: str, target: str, expected: str) -> None:
        snapshot = Bench(setup={}).context.snapshot
        assert isinstance(snapshot, BenchSnapshot)
        short = replace(snapshot.routes[0], name='t/short')
        routes = (
            replace(
                short,
                name='t/long',
                path_prefix='/s/long/',
                methods=frozenset(('GET',)),
            ),
            short,
        )
        state = routing.RoutingState()
        route = state.match_route(
            replace(snapshot, routes=routes), method, target
        )
        self.assertEqual(route and route.name, expected)


class SentAttemptTest(unittest.TestCase):
    """Guards against attempts and dispatches that lack what was decided."""

    def test_attempt_binds_and_places(self) -> None:
        bench = Bench(setup={'members': 'b', 'home_regions': ['costa']})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b', 'clock': 7})
        bench.run({'at': 2, 'do': 'summary', 'clock': 8})
        stale = {'incarnation': 'j0', 'clock': 99}
        bench.run({'at': 2, 'do': 'summary', **stale})
        step = {
            'call': 'p',
            'deadline_ms': 400,
            'tenant': 'u',
            'headers': [('BRIARTACK-Priority', 'background'), ('k', 'v')],
        }
        sent = bench._arrive(3, step)[0]
        assert isinstance(sent, SendAttempt)
        attempt = sent.attempt
        self.assertEqual(attempt.owner_incarnation, 'j1')
        self.assertEqual(attempt.owner_clock, 8)
        self.assertAlmostEqual(attempt.remaining_ms, 400)
        self.assertEqual(attempt.home_regions, ('costa',))
        self.assertEqual(attempt.headers, (('k', 'v'), ('X-Tenant', 'u')))
        self.assertFalse(attempt.interactive)

    def test_pause_invalidates_clocks(self) -> None:
        bench = Bench(setup={'members': 'b'})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.run({'at': 4, 'do': 'gap'})
        sent = bench._arrive(4, {'call': 'p'})[0]
        assert isinstance(sent, SendAttempt)
        self.assertEqual(sent.attempt.owner_clock, UNKNOWN_CLOCK)

    @params('answer', 'leave', 'tick', 'gap')
    def test_ended_attempt_is_not_in_flight(self, end: str) -> None:
        bench = Bench(setup={'members': 'b'})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.run({'at': 1, 'do': 'arrive', 'call': 'p'})
        view = bench.state.endpoints.get(InstanceId('b'))
        assert view is not None
        self.assertEqual(view.in_flight, 1)
        step = {'at': 9, 'do': end, 'call': 'p', 'attempt': 'a.i1.1'}
        bench.run(step)
        self.assertEqual(view.in_flight, 0)

    def test_dispatch_carries_deadline(self) -> None:
        sent = Bench(setup={})._arrive(1, {'call': 'p', 'deadline_ms': 400})[0]
        assert isinstance(sent, Dispatch)
        self.assertAlmostEqual(sent.timeout_seconds, 0.4)
        self.assertIn(('Briartack-Attempt', 'a.i1.1'), sent.headers)
        self.assertIn(('Briartack-Priority', 'interactive'), sent.headers)


class RetryBudgetTest(unittest.TestCase):
    """Guards against retries that multiply an overload."""

    def test_budget_is_a_share_of_calls(self) -> None:
        state = retry.RetryState()
        retries = 0
        for _ in range(1000):
            state.add_tokens('s', 10)
            retries += state.take_token('s')
        self.assertLessEqual(retries, 110)
        self.assertGreaterEqual(retries, 100)
        self.assertTrue(state.take_token('other'))

    def test_burst_is_bounded(self) -> None:
        state = retry.RetryState()
        for _ in range(1000):
            state.add_tokens('s', 100)
        self.assertEqual(sum(state.take_token('s') for _ in range(50)), 10)

    def test_call_without_token_is_refused(self) -> None:
        bench = Bench(setup={'members': 'b', 'policy': {'retry_percent': 0}})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        seen: list[str] = []
        for number in range(11):
            bench.run({'at': 1, 'do': 'arrive', 'call': f'p{number}'})
            answer = {'attempt': f'a.i1.{number + 1}', 'verdict': 'not-run'}
            seen.extend(
                bench.run(
                    {'at': 1, 'do': 'answer', 'reason': 'overload', **answer},
                ),
            )
        self.assertEqual(seen.count('count retries'), 10)
        self.assertIn('answer p10 not-run 503 overload', seen)


class StreamsTest(unittest.TestCase):
    """Guards against lost or too many dials."""

    def test_streams_of_recent_services_are_kept(self) -> None:
        bench = Bench(setup={'members': 'bc'})
        bench.run({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.run({'at': 1, 'do': 'arrive', 'call': 'p'})
        dials = [self._dials(bench, now) for now in (1.1, 2.2, 3.3)]
        self.assertEqual(dials, [['connect c'], [], ['connect c']])
        self.assertEqual(self._dials(bench, 62), [])

    def test_pause_drops_clock(self) -> None:
        state = EndpointsState()
        peer = InstanceId('b')
        state.connect(peer, OWN, 5, 1)
        state.record_load(peer, 3, 0, 1)
        state.reset_readings(9)
        view = state.get(peer)
        assert view is not None
        self.assertEqual((view.clock, view.load), (UNKNOWN_CLOCK, 0))

    def _dials(self, bench: Bench, now: float) -> list[str]:
        seen = bench.run({'at': now, 'do': 'tick'})
        return [text for text in seen if text.startswith('connect')]


class BoundedStateTest(unittest.TestCase):
    """Guards against unbounded state, and against what its bound forgets."""

    def test_forgotten_key_is_not_fresh(self) -> None:
        state = idempotency.OutcomeStore()
        random = Random(1)
        keys = [
            idempotency.issue_key(random, InstanceId('a'), OWN, number)
            for number in range(idempotency.MAX_OUTCOMES + 1)
        ]
        dropped = [state.store(key, _outcome(key)) for key in keys]
        self.assertEqual(set(dropped[:-1]), {None})
        self.assertEqual(dropped[-1], f'answer:{keys[0]}')
        statuses = [state.status(key).name for key in keys[:2]]
        self.assertEqual(statuses, ['EXPIRED', 'STORED'])

    def test_forgotten_key_does_not_run(self) -> None:
        bench = Bench(setup={})
        keys = [
            idempotency.issue_key(Random(1), InstanceId('a'), OWN, number)
            for number in range(idempotency.MAX_OUTCOMES + 1)
        ]
        for number, key in enumerate(keys):
            attempt = {'at': number, 'attempt': f'x{number}'}
            bench.run({**attempt, 'do': 'attempt', 'key': key})
            bench.run({**attempt, 'do': 'upstream'})
        step = {'do': 'attempt', 'attempt': 'y', 'key': keys[0]}
        self.assertEqual(
            bench.run({'at': 2000, **step}),
            ['reply b y unknown key-expired', 'drop attempt:y'],
        )

    def test_window_refuses_rather_than_forgets(self) -> None:
        state = dedup.DedupState()
        for number in range(dedup.MAX_ATTEMPT_IDS):
            self.assertIsNone(state.register(_attempt(number, 1), OWN, 1))
        extra = _attempt(dedup.MAX_ATTEMPT_IDS, 31)
        self.assertIs(state.register(extra, OWN, 30.9), reasons.STALE_CLOCK)
        young = _attempt(dedup.MAX_ATTEMPT_IDS, 2)
        self.assertIs(state.register(young, OWN, 30.9), reasons.WINDOW_FULL)
        self.assertTrue(state.is_known(AttemptId('x0')))
        self.assertIsNone(state.register(young, OWN, 31))
        self.assertFalse(state.is_known(AttemptId('x0')))

    def test_timers_of_ended_calls_are_removed(self) -> None:
        timers: Timers[int] = Timers()
        for number in range(1000):
            timers.add(number, number)
        is_live: Callable[[int], bool] = {7, 800}.__contains__
        timers.compact(2, is_live)
        self.assertEqual(list(timers.pop_due(2000)), [7, 800])

    def test_ended_calls_need_no_tick(self) -> None:
        """Guards against a wake-up at the deadline of each answered call."""
        timers: Timers[int] = Timers()
        timers.add(1, 1)
        timers.add(2, 2)
        timers.add(3, 3)
        self.assertEqual(timers.next_due_at({2, 3}.__contains__), 2)
        self.assertEqual(list(timers.pop_due(5)), [2, 3])
        self.assertIsNone(timers.next_due_at({2, 3}.__contains__))

    @params('a.i1', 'a.i1.short', 'a..0000000000010000000000000001', 'mine')
    def test_own_keys_of_callers_name_no_owner(self, key: str) -> None:
        self.assertIsNone(idempotency.parse_key(key))


def _outcome(key: str) -> idempotency.StoredOutcome:
    answer = Answer(
        attempt_id=AttemptId(key),
        verdict=Verdict.RAN,
        status=200,
        reason='',
        headers=(),
        body_bytes=1,
        body_digest=DIGEST,
        load=0,
        owner_clock=0,
    )
    return idempotency.StoredOutcome(
        answer=answer,
        body_id=BodyId(f'answer:{key}'),
    )
