"""Test the order in which an owner starts, keeps and evicts attempts."""

import unittest
from collections.abc import Callable
from typing import Any, Final, TypeAlias

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from briartack.core.calls.admission import AdmissionResult, AdmissionState
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.units import AttemptId

NEVER: Final = float('inf')
SLOTS: Final = 2
INTERVAL_SECONDS: Final = 0.1
LIMITS: Final = ServiceLimits(slots=SLOTS, connections=9, queue_length=4)
# Not interactive, awaited by no run, rank, late, number of the arrival.
ModelKey: TypeAlias = tuple[bool, bool, int, bool, int]


def make_request(name: str, **fields: Any) -> SlotRequest:
    """Make an interactive request with a deadline at 100 s."""
    return SlotRequest(
        attempt_id=AttemptId(name),
        **{'deadline': 100.0, 'interactive': True, **fields},
    )


def offer(
    admission: AdmissionState, request: SlotRequest, now: float = 0
) -> AdmissionResult:
    """Offer a request at an upstream with two slots."""
    return admission.offer(
        request,
        now,
        limit=SLOTS,
        limits=LIMITS,
        start_interval_seconds=INTERVAL_SECONDS,
    )


def fill(admission: AdmissionState, now: float) -> AdmissionResult:
    """Start what the free slots allow."""
    return admission.fill(
        now, limit=SLOTS, start_interval_seconds=INTERVAL_SECONDS
    )


def make_full_admission() -> AdmissionState:
    """Make an admission whose slots are all in use."""
    admission = AdmissionState()
    for name in ('first', 'second'):
        offer(admission, make_request(name))
    return admission


def drain(admission: AdmissionState, now: float) -> list[str]:
    """Free a slot after the other and return what starts."""
    started: list[str] = []
    while admission.queued:
        admission.release()
        started.extend(fill(admission, now).started)
    return started


class QueueOrderTest(unittest.TestCase):
    """Check single rules of the order."""

    # Guards against work of less use that is served first.
    @params(
        ({'interactive': False, 'is_awaited_by_run': True}, {'rank': 9}),
        ({'rank': 0}, {'rank': 9, 'is_awaited_by_run': True}),
        ({'rank': 1}, {'rank': 0}),
        ({'rank': 1}, {'rank': 0, 'is_late': True}),
        ({'is_late': True}, {}),
        ({'is_late': True}, {'useful_until': 50.0}),
    )
    def test_more_urgent_attempt_starts_first(
        self, earlier: dict[str, Any], later: dict[str, Any]
    ) -> None:
        """Check that the attempt which came later overtakes the other one."""
        admission = make_full_admission()
        offer(admission, make_request('earlier', **earlier))
        offer(admission, make_request('later', **later))
        self.assertEqual(drain(admission, 1), ['later', 'earlier'])

    def test_calls_of_runs_go_before_urgent_new_work(self) -> None:
        """Guard against runs that hold a slot while their calls wait."""
        admission = make_full_admission()
        offer(admission, make_request('new', rank=0))
        offer(admission, make_request('call', rank=9, is_awaited_by_run=True))
        self.assertEqual(drain(admission, 1), ['call', 'new'])

    def test_rank_counts_before_lateness(self) -> None:
        """Guard against urgent late work behind less urgent work in time."""
        admission = make_full_admission()
        offer(admission, make_request('in time', rank=1))
        offer(admission, make_request('late', is_late=True))
        self.assertEqual(drain(admission, 1), ['late', 'in time'])

    def test_first_come_goes_first_among_late_ones(self) -> None:
        """Guard against an attempt that loses its place as it becomes late."""
        admission = make_full_admission()
        offer(admission, make_request('a', useful_until=2, late_from=2))
        offer(admission, make_request('b', is_late=True))
        self.assertEqual(drain(admission, 3), ['a', 'b'])

    def test_attempt_becomes_late_while_it_waits(self) -> None:
        """Guard against a slot for an answer that misses its target.

        The other attempt came later and can still meet its target.
        """
        admission = make_full_admission()
        offer(admission, make_request('a', useful_until=1, late_from=1))
        offer(admission, make_request('b', useful_until=9, late_from=9))
        self.assertEqual(drain(admission, 2), ['b', 'a'])

    def test_late_attempt_waits_until_its_deadline(self) -> None:
        """Guard against the loss of calls whose target alone has passed."""
        admission = make_full_admission()
        late = make_request('a', is_late=True, useful_until=0, latest_start=9)
        self.assertEqual(offer(admission, late, 5), AdmissionResult())
        too_late = make_request('b', is_late=True, latest_start=5.1)
        self.assertEqual(offer(admission, too_late, 5).refused, ('b',))

    def test_queue_is_shortened_from_the_tail(self) -> None:
        """Guard against attempts that wait although they can't be served.

        A start takes 0.1 s, so the third and the fourth would start too late.
        """
        admission = make_full_admission()
        for name in 'abcd':
            offer(admission, make_request(name, latest_start=5.15))
        self.assertEqual(fill(admission, 5).refused, ('c', 'd'))

    def test_full_queue_evicts_the_last_in_the_order(self) -> None:
        """Guard against a late attempt that keeps one in time out."""
        admission = make_full_admission()
        offer(admission, make_request('late', is_late=True))
        for name in 'abc':
            offer(admission, make_request(name))
        self.assertEqual(offer(admission, make_request('d')).refused, ('late',))
        self.assertEqual(offer(admission, make_request('e')).refused, ('e',))

    def test_withdrawn_attempt_does_not_start(self) -> None:
        """Guard against a run for a caller that has gone."""
        admission = make_full_admission()
        for name in 'ab':
            offer(admission, make_request(name, late_from=1))
        admission.withdraw(AttemptId('a'))
        self.assertEqual(drain(admission, 2), ['b'])


@st.composite
def draw_request(draw: Callable[..., Any]) -> dict[str, Any]:
    """Draw the fields of a request, with times relative to its arrival."""
    target = draw(st.sampled_from((NEVER, 0.05, 0.3, 1.0)))
    return {
        'interactive': draw(st.booleans()),
        'rank': draw(st.integers(0, 2)),
        'is_awaited_by_run': draw(st.booleans()),
        'is_late': draw(st.booleans()),
        'deadline': draw(st.sampled_from((0.2, 1.0, 3.0))),
        'useful_until': target,
        'late_from': target,
    }


class QueueModel:
    """Check an admission against a list that is sorted for each decision."""

    def __init__(self, case: unittest.TestCase) -> None:
        self._case = case
        self._admission = AdmissionState()
        self._now = 0.0
        self._waiting: dict[str, tuple[int, SlotRequest]] = {}
        self._running = 0
        self._ended: set[str] = set()
        self._count = 0

    def offer(self, fields: dict[str, Any]) -> None:
        """Offer a request and check its answer, and who gives way."""
        self._count += 1
        name = f'r{self._count}'
        times = ('deadline', 'useful_until', 'late_from')
        absolute = {key: self._now + fields[key] for key in times}
        request = make_request(
            name,
            **{**fields, **absolute},
            latest_start=absolute['deadline'] - INTERVAL_SECONDS,
        )
        self._case.assertFalse(self._running < SLOTS and self._waiting)
        outcome = offer(self._admission, request, self._now)
        key = self._make_key(self._count, request)
        if self._running < SLOTS:
            self._case.assertEqual(outcome.started, (name,))
            self._running += 1
            return
        ahead = sum(
            self._make_key(*other) < key for other in self._waiting.values()
        )
        starts_at = self._now + (ahead + 1) * INTERVAL_SECONDS
        bound = (
            request.latest_start
            if request.is_late
            else min(request.useful_until, request.deadline)
        )
        self._waiting[name] = (self._count, request)
        expected: tuple[str, ...] = ()
        if starts_at > bound:
            expected = (name,)
        elif len(self._waiting) > LIMITS.queue_length:
            expected = (self._find_last(),)
        self._case.assertEqual(outcome.refused, expected)
        self._end(expected)

    def advance(self, seconds: float, released: int) -> None:
        """Let time pass, end some runs, and check who starts."""
        self._now += seconds
        for _ in range(min(released, self._running)):
            self._admission.release()
            self._running -= 1
        outcome = fill(self._admission, self._now)
        self._check_refusals(outcome.refused)
        for name in outcome.started:
            self._case.assertEqual(name, min(self._waiting, key=self._get_key))
            self._end((name,))
            self._running += 1
        self._case.assertLessEqual(self._running, SLOTS)
        # No slot is free beside a request that could use it.
        self._case.assertFalse(self._running < SLOTS and self._waiting)
        self._case.assertEqual(self._admission.queued, len(self._waiting))

    def finish(self) -> None:
        """End all runs and check that each request was answered once."""
        while self._waiting:
            self.advance(0.01, SLOTS)
        self._case.assertEqual(self._admission.queued, 0)

    def _check_refusals(self, refused: tuple[AttemptId, ...]) -> None:
        """Check that exactly those are refused that would start too late."""
        starts_at = self._now
        expected: list[str] = []
        in_order = sorted(
            self._waiting.values(), key=lambda other: self._make_key(*other)
        )
        for _, request in in_order:
            if starts_at > request.latest_start:
                expected.append(request.attempt_id)
            else:
                starts_at += INTERVAL_SECONDS
        self._case.assertEqual(list(refused), expected)
        self._end(refused)

    def _end(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._case.assertNotIn(name, self._ended)
            self._ended.add(name)
            self._waiting.pop(name)

    def _find_last(self) -> str:
        return max(self._waiting, key=self._get_key)

    def _get_key(self, name: str) -> ModelKey:
        return self._make_key(*self._waiting[name])

    def _make_key(self, number: int, request: SlotRequest) -> ModelKey:
        return (
            not request.interactive,
            not request.is_awaited_by_run,
            request.rank,
            request.is_late or request.late_from <= self._now,
            number,
        )


class QueuePropertyTest(unittest.TestCase):
    """Check the queue against a model under random loads."""

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(
        st.lists(
            st.one_of(
                draw_request(),
                st.tuples(
                    st.sampled_from((0.01, 0.06, 0.4)), st.integers(0, 2)
                ),
            ),
            max_size=40,
        ),
    )
    def test_queue_behaves_as_its_model(self, steps: list[Any]) -> None:
        """Guard against lost or false answers and a wrong order.

        The model checks that no slot stays free beside a request that could
        use it, that the most urgent starts and the least urgent gives way,
        that each is answered once, and that refusals are true.
        """
        model = QueueModel(self)
        for step in steps:
            if isinstance(step, dict):
                model.offer(step)
            else:
                model.advance(*step)
        model.finish()
