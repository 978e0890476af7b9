"""Tests of the expected completion, the choice by it and the return times."""

import unittest
from random import Random
from typing import Any, Final

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from briartack.core.calls.choice_types import AttemptNeeds, SelectionFailure
from briartack.core.calls.completion_choice import (
    KEPT_SHARE,
    RETURN_SHARE,
    CompletionChooser,
)
from briartack.core.calls.expected_times import (
    MAX_ROUTES,
    CompletionEstimator,
    ExpectedTimes,
    RouteWork,
)
from briartack.core.calls.stated_times import ServiceTimes, StatedTimes
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.identity import Identity
from briartack.core.messages import Answer
from briartack.core.units import AttemptId, Digest, Incarnation, InstanceId
from briartack.core.verdict import Verdict
from briartack.test.call_path_bench import FakeMember, make_member

LIMITS: Final = ServiceLimits(slots=4, connections=9, queue_length=2)
OWN: Final = Identity(
    instance=InstanceId('a'),
    incarnation=Incarnation('i1'),
    service='s',
    data_centre='costa-1',
    region='costa',
)


def make_answer(**stated: Any) -> Answer:
    """Make an answer with the given statements."""
    return Answer(
        **{
            'attempt_id': AttemptId('x'),
            'verdict': Verdict.RAN,
            'status': 200,
            'reason': '',
            'headers': (),
            'body_bytes': 0,
            'body_digest': Digest(b''),
            'load': 0,
            'owner_clock': 0,
            'run_seconds': 0.1,
            'slowdown': 1,
            **stated,
        }
    )


def make_estimator(
    times: ServiceTimes, now: float, **given: Any
) -> CompletionEstimator:
    """Make an estimator for the service."""
    typical = times.find_typical(now)
    assert typical is not None
    return CompletionEstimator(
        **{
            'now': now,
            'identity': OWN,
            'times': times,
            'typical': typical,
            'needs': AttemptNeeds(limits=LIMITS, service='s', route='r'),
            'work_seconds': 0.05,
            'body_seconds': None,
            'round_trips': {},
            **given,
        }
    )


class EstimateTest(unittest.TestCase):
    # Each row: statement of `b`, its age, attempts sent since, more inputs,
    # and the expected seconds.
    @params(
        ({}, 0, 0, {}, 0.05),
        ({'wait_seconds': 0.3}, 0, 0, {}, 0.35),
        # The stated wait passes with its age.
        ({'wait_seconds': 0.3}, 0.1, 0, {}, 0.25),
        ({'wait_seconds': 0.3}, 0.5, 0, {}, 0.05),
        # Four attempts take as long as a run at four slots.
        ({}, 0, 4, {}, 0.15),
        ({'slowdown': 2}, 0, 0, {}, 0.1),
        # Without known work, the mean run time of the instance counts.
        ({'run_seconds': 0.2}, 0, 0, {'work_seconds': None}, 0.2),
        ({'body_wait_seconds': 0.4}, 0.1, 0, {}, 0.05),
        ({'body_wait_seconds': 0.4}, 0.1, 0, {'body_seconds': 0.2}, 0.55),
        # A limit of the starts shows in the load alone.
        ({'load': 2}, 0, 0, {}, 0.25),
    )
    def test_estimate_adds_up(
        self,
        stated: dict[str, float],
        age: float,
        sent: int,
        given: dict[str, Any],
        expected: float,
    ) -> None:
        """Guard against a part of the time that is left out or added twice."""
        times = ServiceTimes()
        record = times.get_or_add(InstanceId('b'))
        record.update(make_answer(**stated), 100, 0)
        now = 100 + age
        for _ in range(sent):
            record.record_sent(now)
        estimator = make_estimator(times, now, **given)
        seconds = estimator.compute_seconds(make_member('b'))
        self.assertAlmostEqual(seconds, expected)
        parts = estimator.compute_parts(make_member('b'))
        total = parts.way + parts.wait + parts.body + parts.run
        self.assertAlmostEqual(total, expected)

    @params(('b', 0), ('c', 0.002), ('d', 0.024))
    def test_distance_costs_a_round_trip(self, name: str, cost: float) -> None:
        """Guard against a far instance that looks as near as a local one."""
        times = ServiceTimes()
        for instance in 'bcd':
            times.get_or_add(InstanceId(instance)).update(make_answer(), 100, 0)
        estimator = make_estimator(times, 100)
        self.assertAlmostEqual(
            estimator.compute_seconds(make_member(name)), 0.05 + cost
        )
        self.assertEqual(estimator.compute_parts(make_member(name)).way, cost)

    def test_old_news_count_as_typical(self) -> None:
        """Guard against an instance that is avoided for ever, or herded to."""
        times = ServiceTimes()
        old = times.get_or_add(InstanceId('b'))
        old.update(make_answer(wait_seconds=9, slowdown=9), 100, 0)
        times.get_or_add(InstanceId('c')).update(
            make_answer(slowdown=2), 102.1, 0
        )
        estimator = make_estimator(times, 102.1)
        self.assertAlmostEqual(estimator.compute_seconds(make_member('b')), 0.1)
        self.assertIsNone(times.find_typical(150))

    def test_attempts_under_way_outlast_a_statement(self) -> None:
        """Guard against an owner that looks idle as attempts reach it.

        A statement doesn't include attempts of the last round trip.
        """
        record = StatedTimes()
        for sent_at in (1.0, 1.01, 1.02):
            record.record_sent(sent_at)
        record.update(make_answer(), 1.025, 0.02)
        self.assertEqual(record.sent_at, [1.01, 1.02])

    def test_least_recent_route_is_evicted(self) -> None:
        """Guard against memory that grows with the number of routes."""
        work = RouteWork()
        for number in range(MAX_ROUTES):
            work.update(f'r{number}', 's', 1)
        work.update('r0', 's', 3)
        work.update('new', 's', 1)
        self.assertEqual(len(work), MAX_ROUTES)
        self.assertIsNone(work.get('r1', 's'))
        self.assertEqual(work.get('r0', 's'), 2)

    def test_without_slowdown_the_load_decides(self) -> None:
        """Guard against a changed choice for upstreams that state nothing."""
        times = ServiceTimes()
        times.get_or_add(InstanceId('b')).update(make_answer(slowdown=0), 1, 0)
        self.assertIsNone(times.find_typical_for(1, 50_000))
        times.ungranted_body_bytes = 20_000
        self.assertIsNone(times.find_typical_for(1, 10_000))
        self.assertIsNotNone(times.find_typical_for(1, 50_000))
        self.assertFalse(ExpectedTimes().knows_slowdowns('s', 1))


TIMEOUT_SECONDS: Final = 2.5
WAITS: Final = st.one_of(
    st.none(), st.sampled_from((0.0, 0.05, 0.2, 0.5, 1.0, 3.0))
)


class ChoiceTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        waits=st.lists(
            st.tuples(st.sampled_from('bcd'), WAITS), min_size=1, max_size=9
        ),
        target=st.sampled_from((-0.1, 0.1, 0.4, 2.0)),
        is_away=st.booleans(),
        has_met_overload=st.booleans(),
        tried=st.booleans(),
    )
    def test_choice_is_true_to_the_estimates(
        self,
        waits: list[tuple[str, float | None]],
        target: float,
        is_away: bool,
        has_met_overload: bool,
        tried: bool,
    ) -> None:
        """Guard against false refusals and choices that may not be made.

        `None` as the wait stands for an instance that is not available.
        """
        names = [f'{place}{number}' for number, (place, _) in enumerate(waits)]
        members = [make_numbered_member(name) for name in names]
        wait_by_name = {
            name: wait for name, (_, wait) in zip(names, waits, strict=True)
        }
        times = ServiceTimes()
        times.is_away = is_away
        for name in names:
            times.get_or_add(InstanceId(name)).update(
                make_answer(wait_seconds=wait_by_name[name] or 0), 100, 0
            )
        needs = AttemptNeeds(
            limits=LIMITS,
            service='s',
            route='r',
            target_at=100 + target,
            deadline=100 + TIMEOUT_SECONDS,
            tried_instances=(members[0].instance,) if tried else (),
            allows_tried=False,
            has_met_overload=has_met_overload,
        )
        estimator = make_estimator(times, 100, needs=needs)
        chooser = CompletionChooser(
            random=Random(1),
            now=100,
            estimator=estimator,
            is_available=lambda one: wait_by_name[one.instance] is not None,
            needs=needs,
        )
        scopes = tuple(
            tuple(one for one in members if one.instance[0] == near)
            for near in 'bcd'
        )
        choice = chooser.choose(scopes, times)
        seconds = {
            member.instance: estimator.compute_seconds(member)
            for member in members
            if wait_by_name[member.instance] is not None
            and member.instance not in needs.tried_instances
        }
        limit = target if has_met_overload and target > 0 else TIMEOUT_SECONDS
        if choice is None:
            self.assertEqual(seconds, {})
        elif isinstance(choice, SelectionFailure):
            self.assertGreater(min(seconds.values()), limit)
        else:
            self.check_chosen(needs, seconds, choice.instance, is_away)

    def check_chosen(
        self,
        needs: AttemptNeeds,
        seconds: dict[InstanceId, float],
        chosen: InstanceId,
        is_away: bool,
    ) -> None:
        """Check that the choice is usable, in time if possible, and near."""
        self.assertIn(chosen, seconds)
        target = needs.target_at - 100
        if min(seconds.values()) <= target and not needs.has_met_overload:
            self.assertLessEqual(seconds[chosen], target)
        near = [seconds[name] for name in seconds if name[0] == 'b']
        share = RETURN_SHARE if is_away else KEPT_SHARE
        if near and min(near) <= share * target:
            self.assertEqual(chosen[0], 'b')


def make_numbered_member(name: str) -> FakeMember:
    """Make an instance in the data centre of the first letter."""
    near = make_member(name[0])
    return FakeMember(
        instance=InstanceId(name),
        data_centre=near.data_centre,
        region=near.region,
    )
