"""Test limits and choices of the call path that take many steps to reach."""

import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from itertools import chain
from random import Random
from typing import Final, cast

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
from briartack.test.call_path_bench import (
    EMPTY_DIGEST,
    CallPathBench,
    FakeMember,
    FakeSnapshot,
    make_member,
)

OWN_INCARNATION = Incarnation('i1')


def _build_attempt(number: int, clock: float) -> Attempt:
    return Attempt(
        attempt_id=AttemptId(f'x{number}'),
        owner_incarnation=OWN_INCARNATION,
        owner_clock=clock,
        remaining_ms=1000,
        service='s',
        method='GET',
        target='/',
        headers=(),
        body_bytes=0,
        body_digest=EMPTY_DIGEST,
        interactive=True,
    )


class EndpointChoiceTest(unittest.TestCase):
    """Check that near endpoints with low load are chosen.

    A wrong choice sends calls to another data centre or region although a
    nearer instance has free slots, or piles them up at one instance.
    """

    @params(
        ({'b': 0.5, 'c': 0.1, 'd': 0}, 'b'),
        ({'b': 1.0, 'c': 0.9, 'd': 0}, 'c'),
        ({'b': 1.5, 'c': 1.0, 'd': 0.2}, 'd'),
        ({'b': 2.0, 'c': 1.0, 'd': 1.0}, 'b'),
        ({'b': None, 'c': None, 'd': 3.0}, 'd'),
        ({'b': None, 'c': None, 'd': None}, None),
    )
    def test_nearest_scope_below_full_load_is_chosen(
        self,
        loads: dict[str, float | None],
        expected: str | None,
    ) -> None:
        scopes = tuple((cast(Member, make_member(name)),) for name in 'bcd')
        chosen = routing.choose_member(
            Random(1),
            scopes,
            lambda candidate: loads[candidate.instance],
        )
        self.assertEqual(chosen and chosen.instance, expected)

    def test_less_loaded_of_two_random_picks_is_chosen(self) -> None:
        scope = _build_members(8)
        loads = {
            candidate.instance: index / 10
            for index, candidate in enumerate(scope)
        }
        load_of: routing.LoadFunction = (  # noqa: E731
            lambda one: loads[one.instance]
        )
        random = Random(1)
        picks: Counter[str] = Counter()
        for _ in range(4000):
            chosen = routing.choose_member(random, (scope,), load_of)
            picks[chosen.instance if chosen else ''] += 1
        # The better of two independent picks among 8 is the k-th best, counted
        # from 0, with a probability of (15 - 2k) / 64.
        for index, candidate in enumerate(scope):
            share = (15 - 2 * index) / 64
            self.assertAlmostEqual(picks[candidate.instance] / 4000, share, 1)

    def test_only_endpoint_below_full_load_is_found(self) -> None:
        scope = _build_members(32)
        chosen = routing.choose_member(
            Random(1),
            (scope,),
            lambda candidate: 0.2 if candidate.instance == 'm31' else 1.2,
        )
        self.assertEqual(chosen, scope[31])

    def test_subset_is_bounded_and_stable(self) -> None:
        bench = CallPathBench(setup={})
        context = bench.context
        everyone = _build_members(400)
        context.members.members = everyone  # type: ignore[attr-defined]
        state = routing.RoutingState()
        snapshot = context.snapshot
        assert snapshot is not None
        scopes = state.list_candidates(context, snapshot, 's', None)
        self.assertEqual([len(scope) for scope in scopes], [32, 0, 0])
        repeated = state.list_candidates(context, snapshot, 's', None)
        self.assertIs(repeated, scopes)
        removed = scopes[0][0]
        context.members.members = tuple(  # type: ignore[attr-defined]
            candidate for candidate in everyone if candidate is not removed
        )
        later = state.list_candidates(context, snapshot, 's', None)
        self.assertEqual(len(set(later[0]) & set(scopes[0])), 31)

    def test_reported_load_decays_to_attempts_in_flight(self) -> None:
        endpoint = Endpoint(incarnation=OWN_INCARNATION, clock=0, now=0)
        endpoint.load = 2
        endpoint.in_flight = 1
        loads = [endpoint.estimate_load(now, 4) for now in (0, 5, 10, 90)]
        self.assertEqual(loads, [2.25, 1.25, 0.25, 0.25])


def _build_members(count: int) -> tuple[Member, ...]:
    return tuple(
        FakeMember(
            instance=InstanceId(f'm{number}'),
            data_centre='costa-1',
            region='costa',
        )
        for number in range(count)
    )


class RouteMatchTest(unittest.TestCase):
    """Check that the longest prefix among the routes for the method wins.

    The query is not part of the path, so it must not match a prefix.
    """

    @params(
        ('GET', '/s/x', 't/short'),
        ('GET', '/s/long/x', 't/long'),
        ('POST', '/s/long/x', 't/short'),
        ('GET', '/s?/s/long/', None),
        ('GET', '/', None),
    )
    def test_longest_prefix_for_method_wins(
        self, method: str, target: str, expected: str
    ) -> None:
        snapshot = CallPathBench(setup={}).context.snapshot
        assert isinstance(snapshot, FakeSnapshot)
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
    """Check the content of attempts and dispatches and the count in flight.

    The owner refuses an attempt with an old reading of its clock as stale, and
    cannot apply a deadline, home regions, a tenant or a priority that are
    missing. An ended attempt that still counts makes its endpoint look loaded.
    """

    def test_attempt_carries_owner_clock_and_home_regions(self) -> None:
        bench = CallPathBench(setup={'members': 'b', 'home_regions': ['costa']})
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b', 'clock': 7})
        bench.apply_step({'at': 2, 'do': 'summary', 'clock': 8})
        stale = {'incarnation': 'j0', 'clock': 99}
        bench.apply_step({'at': 2, 'do': 'summary', **stale})
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

    def test_attempt_after_pause_has_no_clock(self) -> None:
        bench = CallPathBench(setup={'members': 'b'})
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.apply_step({'at': 4, 'do': 'gap'})
        sent = bench._arrive(4, {'call': 'p'})[0]
        assert isinstance(sent, SendAttempt)
        self.assertEqual(sent.attempt.owner_clock, UNKNOWN_CLOCK)

    @params('answer', 'leave', 'tick', 'gap')
    def test_ended_attempt_is_not_in_flight(self, end: str) -> None:
        bench = CallPathBench(setup={'members': 'b'})
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        endpoint = bench.state.endpoints.get(InstanceId('b'))
        assert endpoint is not None
        self.assertEqual(endpoint.in_flight, 1)
        step = {'at': 9, 'do': end, 'call': 'p', 'attempt': 'a.i1.1'}
        bench.apply_step(step)
        self.assertEqual(endpoint.in_flight, 0)

    def test_dispatch_carries_deadline(self) -> None:
        sent = CallPathBench(setup={})._arrive(
            1, {'call': 'p', 'deadline_ms': 400}
        )[0]
        assert isinstance(sent, Dispatch)
        self.assertAlmostEqual(sent.timeout_seconds, 0.4)
        self.assertIn(('Briartack-Attempt', 'a.i1.1'), sent.headers)
        self.assertIn(('Briartack-Priority', 'interactive'), sent.headers)


class RetryBudgetTest(unittest.TestCase):
    """Check that retries stay within the token budget of a service.

    Unbounded retries of refused calls would multiply an overload.
    """

    def test_retries_are_limited_to_percentage_of_calls(self) -> None:
        state = retry.RetryState()
        retries = 0
        for _ in range(1000):
            state.add_tokens('s', 10)
            retries += state.take_token('s')
        self.assertLessEqual(retries, 110)
        self.assertGreaterEqual(retries, 100)
        self.assertTrue(state.take_token('other'))

    def test_saved_tokens_are_limited_to_burst(self) -> None:
        state = retry.RetryState()
        for _ in range(1000):
            state.add_tokens('s', 100)
        self.assertEqual(sum(state.take_token('s') for _ in range(50)), 10)

    def test_refused_call_without_token_is_not_retried(self) -> None:
        bench = CallPathBench(
            setup={'members': 'b', 'policy': {'retry_percent': 0}}
        )
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        produced: list[str] = []
        for number in range(11):
            bench.apply_step({'at': 1, 'do': 'arrive', 'call': f'p{number}'})
            answer = {'attempt': f'a.i1.{number + 1}', 'verdict': 'not-run'}
            produced.extend(
                bench.apply_step(
                    {'at': 1, 'do': 'answer', 'reason': 'overload', **answer},
                ),
            )
        self.assertEqual(produced.count('count retries'), 10)
        self.assertIn('answer p10 not-run 503 overload', produced)


class PeerConnectionsTest(unittest.TestCase):
    """Check which peers are dialled, and that a pause resets clock and load.

    Calls to a service that was used lately would wait for a connection without
    a dial; a dial at every tick or for unused services wastes connections.
    """

    def test_peers_of_recently_used_services_are_dialled(self) -> None:
        bench = CallPathBench(setup={'members': 'bc'})
        bench.apply_step({'at': 1, 'do': 'connect', 'peer': 'b'})
        bench.apply_step({'at': 1, 'do': 'arrive', 'call': 'p'})
        dials = [
            self._tick_and_list_dials(bench, now) for now in (1.1, 2.2, 3.3)
        ]
        self.assertEqual(dials, [['connect c'], [], ['connect c']])
        self.assertEqual(self._tick_and_list_dials(bench, 62), [])

    def test_pause_resets_clock_and_load(self) -> None:
        state = EndpointsState()
        peer = InstanceId('b')
        state.connect(peer, OWN_INCARNATION, 5, 1)
        state.record_load(peer, 3, 0, 1)
        state.reset_readings(9)
        endpoint = state.get(peer)
        assert endpoint is not None
        self.assertEqual((endpoint.clock, endpoint.load), (UNKNOWN_CLOCK, 0))

    def _tick_and_list_dials(
        self, bench: CallPathBench, now: float
    ) -> list[str]:
        produced = bench.apply_step({'at': now, 'do': 'tick'})
        return [text for text in produced if text.startswith('connect')]


OUTCOME_BYTES: Final = idempotency.MAX_OUTCOME_BYTES


class BoundedStateTest(unittest.TestCase):
    """Check that bounded tables evict without running a request twice.

    A key whose outcome was evicted must not count as fresh, and an attempt id
    must not leave the deduplication window early.
    """

    def test_evicted_key_is_expired(self) -> None:
        state = idempotency.OutcomeStore()
        random = Random(1)
        keys = [
            idempotency.issue_key(
                random, InstanceId('a'), OWN_INCARNATION, number
            )
            for number in range(idempotency.MAX_OUTCOMES + 1)
        ]
        dropped = [state.store(key, _build_outcome(key)) for key in keys]
        self.assertEqual([one for one in dropped[:-1] if one], [])
        self.assertEqual(dropped[-1], [f'answer:{keys[0]}'])
        statuses = [state.status(key).name for key in keys[:2]]
        self.assertEqual(statuses, ['EXPIRED', 'STORED'])

    # Guards against stored bodies that fill the memory of the daemon for good,
    # and against requests that run again because their outcome was dropped.
    def test_bodies_of_outcomes_are_bounded(self) -> None:
        state = idempotency.OutcomeStore()
        kept_count = idempotency.MAX_STORED_BYTES // OUTCOME_BYTES
        keys = [f'key-{number}' for number in range(kept_count + 3)]
        dropped = [
            state.store(key, _build_outcome(key, OUTCOME_BYTES)) for key in keys
        ]
        self.assertEqual(
            list(chain.from_iterable(dropped)),
            [f'answer:{key}' for key in keys[:3]],
        )
        outcomes = [state.get_stored_outcome(key) for key in keys]
        bodies = [one for one in outcomes if one.body_id is not None]
        self.assertEqual(len(bodies), kept_count)
        self.assertEqual({state.status(key).name for key in keys}, {'STORED'})

    def test_attempt_with_evicted_key_does_not_run(self) -> None:
        bench = CallPathBench(setup={})
        keys = [
            idempotency.issue_key(
                Random(1), InstanceId('a'), OWN_INCARNATION, number
            )
            for number in range(idempotency.MAX_OUTCOMES + 1)
        ]
        for number, key in enumerate(keys):
            attempt = {'at': number, 'attempt': f'x{number}'}
            bench.apply_step({**attempt, 'do': 'attempt', 'key': key})
            bench.apply_step({**attempt, 'do': 'upstream'})
        step = {'do': 'attempt', 'attempt': 'y', 'key': keys[0]}
        self.assertEqual(
            bench.apply_step({'at': 2000, **step}),
            ['reply b y unknown key-expired', 'drop attempt:y'],
        )

    def test_full_window_refuses_instead_of_evicting(self) -> None:
        state = dedup.DedupState()
        for number in range(dedup.MAX_ATTEMPT_IDS):
            self.assertIsNone(
                state.register(_build_attempt(number, 1), OWN_INCARNATION, 1)
            )
        extra = _build_attempt(dedup.MAX_ATTEMPT_IDS, 31)
        self.assertIs(
            state.register(extra, OWN_INCARNATION, 30.9), reasons.STALE_CLOCK
        )
        young = _build_attempt(dedup.MAX_ATTEMPT_IDS, 2)
        self.assertIs(
            state.register(young, OWN_INCARNATION, 30.9), reasons.WINDOW_FULL
        )
        self.assertTrue(state.is_known(AttemptId('x0')))
        self.assertIsNone(state.register(young, OWN_INCARNATION, 31))
        self.assertFalse(state.is_known(AttemptId('x0')))

    def test_compaction_removes_timers_of_ended_calls(self) -> None:
        timers: Timers[int] = Timers()
        for number in range(1000):
            timers.add(number, number)
        is_live: Callable[[int], bool] = {7, 800}.__contains__
        timers.compact(2, is_live)
        self.assertEqual(list(timers.pop_due(2000)), [7, 800])

    def test_ended_calls_need_no_tick(self) -> None:
        """Check that timers of answered calls do not wake up the daemon."""
        timers: Timers[int] = Timers()
        timers.add(1, 1)
        timers.add(2, 2)
        timers.add(3, 3)
        self.assertEqual(timers.next_due_at({2, 3}.__contains__), 2)
        self.assertEqual(list(timers.pop_due(5)), [2, 3])
        self.assertIsNone(timers.next_due_at({2, 3}.__contains__))

    @params('a.i1', 'a.i1.short', 'a..0000000000010000000000000001', 'mine')
    def test_keys_chosen_by_callers_have_no_owner(self, key: str) -> None:
        self.assertIsNone(idempotency.parse_key(key))


def _build_outcome(key: str, body_bytes: int = 1) -> idempotency.StoredOutcome:
    answer = Answer(
        attempt_id=AttemptId(key),
        verdict=Verdict.RAN,
        status=200,
        reason='',
        headers=(),
        body_bytes=body_bytes,
        body_digest=EMPTY_DIGEST,
        load=0,
        owner_clock=0,
    )
    return idempotency.StoredOutcome(
        answer=answer,
        body_id=BodyId(f'answer:{key}'),
    )
