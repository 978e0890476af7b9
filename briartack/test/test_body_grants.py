"""Test in virtual time which bodies an owner grants, when, and what it refuses.

The link carries 625,000 bytes a second (5 Mbit/s), granted bodies one after
the other; 500,000 of them are expected for bodies.
"""

import heapq
import itertools
import unittest
from dataclasses import dataclass, field
from random import Random
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from briartack.core.calls.body_grants import (
    BODY_LINK_SHARE,
    IN_FLIGHT_SECONDS,
    OVERDUE_SECONDS,
    BodyGrants,
    BodyRequest,
    Urgency,
    compute_ungranted_body_bytes,
)
from briartack.core.units import AttemptId

RATE: Final = 625_000
TICK_SECONDS: Final = 0.1
ROUND_TRIP_SECONDS: Final = 0.002
NEVER: Final = float('inf')
OF_RUN: Final[Urgency] = (False, 0)
FIRST: Final[Urgency] = (True, 0)
SECOND: Final[Urgency] = (True, 1)
# Uploads a second that fill four fifths of the link with the sizes below.
USUAL_PER_SECOND: Final = RATE * BODY_LINK_SHARE / 60_000
BURST_FACTOR: Final = 2.6
TARGET_SECONDS: Final = 0.8
DEADLINE_SECONDS: Final = 2.4


@dataclass(slots=True, kw_only=True)
class Upload:
    """Hold one attempt; its times are those of its head and its limits."""

    name: str
    at: float
    size: int
    urgency: Urgency = FIRST
    useful_until: float | None = NEVER
    latest_arrival: float = NEVER
    granted_at: float | None = None
    refused_at: float | None = None
    arrived_at: float | None = None


@dataclass(slots=True, kw_only=True)
class Link:
    """Carry granted bodies to an owner, and advance its clock.

    `lines` holds each decision with its time in milliseconds.
    """

    grants: BodyGrants = field(
        default_factory=lambda: BodyGrants(link_bytes_per_second=RATE)
    )
    uploads: dict[str, Upload] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)
    lost: frozenset[str] = frozenset()  # bodies that never come
    now: float = 0.0
    _free_at: float = 0.0
    _queue: list[tuple[float, int, str]] = field(default_factory=list)
    _order: itertools.count = field(  # type: ignore[type-arg]
        default_factory=itertools.count
    )

    def run(self, *uploads: Upload, until: float) -> None:
        """Let uploads arrive and advance the clock."""
        for upload in uploads:
            self.uploads[upload.name] = upload
            self._schedule(upload.at, f'head {upload.name}')
        for tick in range(int(until / TICK_SECONDS) + 1):
            self._schedule(tick * TICK_SECONDS, 'tick')
        while self._queue and self._queue[0][0] <= until:
            at, step = self._pop()
            self.now = at
            kind, _, name = step.partition(' ')
            if kind == 'head':
                self._add(self.uploads[name])
            elif kind == 'body':
                self.uploads[name].arrived_at = self.now
                self.grants.end(AttemptId(name))
            self._advance()

    def _pop(self) -> tuple[float, str]:
        at, _, step = heapq.heappop(self._queue)
        return at, step

    def _schedule(self, at: float, step: str) -> None:
        heapq.heappush(self._queue, (at, next(self._order), step))

    def _add(self, upload: Upload) -> None:
        self.grants.add(
            BodyRequest(
                attempt_id=AttemptId(upload.name),
                size=upload.size,
                urgency=upload.urgency,
                useful_until=upload.useful_until,
                latest_arrival=upload.latest_arrival,
            ),
            self.now,
        )

    def _advance(self) -> None:
        result = self.grants.advance(self.now)
        for name in result.refused:
            self.uploads[name].refused_at = self.now
            self._write('refuse', name)
        for name in result.granted:
            upload = self.uploads[name]
            upload.granted_at = self.now
            self._write('grant', name)
            if name in self.lost:
                continue
            begins_at = max(self.now + ROUND_TRIP_SECONDS, self._free_at)
            self._free_at = begins_at + upload.size / RATE
            self._schedule(self._free_at, f'body {name}')

    def _write(self, verb: str, name: str) -> None:
        self.lines.append(f'{self.now * 1000:.0f} {verb} {name}')


def make_load(
    factor: float, seconds: float, urgencies: tuple[Urgency, ...] = (FIRST,)
) -> list[Upload]:
    """Make random uploads of 20 KB to 360 KB with a mean of about 60 KB."""
    random = Random(7)
    uploads: list[Upload] = []
    at = 0.0
    while True:
        at += random.expovariate(USUAL_PER_SECOND * factor)
        if at > seconds:
            return uploads
        size = min(20_000 + int(random.expovariate(1 / 40_000)), 360_000)
        uploads.append(
            Upload(
                name=str(len(uploads)),
                at=at,
                size=size,
                urgency=urgencies[len(uploads) % len(urgencies)],
                useful_until=at + TARGET_SECONDS,
                latest_arrival=at + DEADLINE_SECONDS,
            )
        )


def count_share(uploads: list[Upload], urgency: Urgency) -> float:
    """Return the share of the uploads of an urgency that arrived in time."""
    ours = [upload for upload in uploads if upload.urgency == urgency]
    arrived = [
        upload
        for upload in ours
        if upload.arrived_at is not None
        and upload.arrived_at <= upload.at + TARGET_SECONDS
    ]
    return len(arrived) / len(ours)


class GrantTableTest(unittest.TestCase):
    # Guards against a size that delays small messages by more than 20 ms, and
    # against grants where no link rate is set.
    @params(
        (RATE, 12_500),
        (12_500_000, 250_000),
        (125_000_000, 2_500_000),
        (None, None),
    )
    def test_ungranted_bodies_take_twenty_milliseconds(
        self, rate: float | None, size: int | None
    ) -> None:
        self.assertEqual(compute_ungranted_body_bytes(rate), size)

    # Guards against a backlog on the link, an order other than that of urgency,
    # and refusals that are late or of bodies that could arrive in time.
    @params(
        # Bodies of 40 KB exceed the bound together, those of 30 KB don't.
        (
            (('a', 0, 40_000, FIRST, None), ('b', 0, 40_000, FIRST, None)),
            ['0 grant a', '66 grant b'],
        ),
        (
            (('a', 0, 30_000, FIRST, None), ('b', 0, 30_000, FIRST, None)),
            ['0 grant a', '0 grant b'],
        ),
        # One body may exceed the bound alone, and holds up smaller ones.
        (
            (('a', 0, 360_000, FIRST, None), ('b', 10, 20_000, FIRST, None)),
            ['0 grant a', '578 grant b'],
        ),
        # The calls of runs go first, then lower ranks, then first come.
        (
            (
                ('a', 0, 60_000, SECOND, None),
                ('b', 1, 60_000, SECOND, None),
                ('c', 2, 60_000, SECOND, None),
                ('d', 3, 60_000, FIRST, None),
                ('e', 4, 60_000, OF_RUN, None),
            ),
            ['0 grant a', '98 grant e', '196 grant d', '294 grant b']
            + ['392 grant c'],
        ),
        # A late body gives way to those that can meet their targets.
        (
            (
                ('a', 0, 60_000, FIRST, None),
                ('late', 1, 60_000, FIRST, 0),
                ('c', 2, 60_000, FIRST, 500),
            ),
            ['0 grant a', '98 grant c', '196 grant late'],
        ),
        # 120 ms for each body: the fourth one would need 480 ms.
        (
            (
                ('a', 0, 60_000, FIRST, 400),
                ('b', 0, 60_000, FIRST, 400),
                ('c', 0, 60_000, FIRST, 400),
                ('d', 0, 60_000, FIRST, 400),
            ),
            ['0 grant a', '0 refuse d', '98 grant b', '196 grant c'],
        ),
        # An urgent body pushes the tail beyond its target.
        (
            (
                ('a', 0, 60_000, SECOND, 400),
                ('b', 0, 60_000, SECOND, 400),
                ('c', 0, 60_000, SECOND, 400),
                ('d', 10, 60_000, FIRST, 400),
            ),
            ['0 grant a', '10 refuse c', '98 grant d', '196 grant b'],
        ),
        # A body that is too large for its target waits as a late one does.
        (
            (
                ('a', 0, 60_000, FIRST, 400),
                ('b', 1, 360_000, FIRST, 400),
                ('c', 2, 60_000, FIRST, 400),
            ),
            ['0 grant a', '98 grant c', '196 grant b'],
        ),
    )
    def test_grants_follow_the_table(
        self,
        rows: tuple[tuple[str, int, int, Urgency, int | None], ...],
        expected: list[str],
    ) -> None:
        link = Link()
        uploads = [
            Upload(
                name=name,
                at=at_ms / 1000,
                size=size,
                urgency=urgency,
                useful_until=NEVER if target_ms is None else target_ms / 1000,
            )
            for name, at_ms, size, urgency, target_ms in rows
        ]
        link.run(*uploads, until=3)
        self.assertEqual(link.lines, expected)

    # Guards against refusals at normal load, against a link that idles during
    # a burst, and against bodies that are carried although they come too late.
    @params(
        # (factor of the usual load, least and most share in time)
        (1.0, 0.93, 1.0),
        (BURST_FACTOR, 0.36, 0.75),
    )
    def test_load_is_carried_in_time_or_refused(
        self, factor: float, least: float, most: float
    ) -> None:
        uploads = make_load(factor, 20)
        link = Link()
        link.run(*uploads, until=25)
        share = count_share(uploads, FIRST)
        self.assertGreaterEqual(share, least)
        self.assertLessEqual(share, most)
        self.assertEqual(link.grants.waiting_count, 0)
        for upload in uploads:
            is_refused = upload.refused_at is not None
            self.assertNotEqual(is_refused, upload.arrived_at is not None)
            if is_refused:
                self.assertIsNone(upload.granted_at)
            else:
                assert upload.arrived_at is not None
                limit = TARGET_SECONDS
                if upload.size > TARGET_SECONDS * RATE * BODY_LINK_SHARE:
                    limit = DEADLINE_SECONDS
                self.assertLessEqual(upload.arrived_at - upload.at, limit)

    # Guards against urgent uploads that are refused with the others in a burst.
    def test_burst_refuses_the_less_urgent(self) -> None:
        uploads = make_load(BURST_FACTOR, 20, (FIRST, SECOND, SECOND))
        Link().run(*uploads, until=25)
        self.assertGreaterEqual(count_share(uploads, FIRST), 0.9)
        self.assertLess(count_share(uploads, SECOND), 0.6)

    # Guards against senders that never send a body and hold up all others.
    def test_body_that_never_comes_frees_its_place(self) -> None:
        link = Link(lost=frozenset('a'))
        link.run(
            Upload(name='a', at=0, size=60_000),
            Upload(name='b', at=0.01, size=60_000),
            until=2,
        )
        expected_ms = 60_000 / RATE / BODY_LINK_SHARE * 1000
        # The next tick finds that it is overdue.
        overdue_ms = expected_ms + OVERDUE_SECONDS * 1000
        granted_ms = int(link.lines[1].split()[0])
        self.assertEqual(link.lines[1].split()[1:], ['grant', 'b'])
        self.assertGreaterEqual(granted_ms, int(overdue_ms))
        self.assertLessEqual(granted_ms, overdue_ms + 101)

    # Guards against statements that hide the backlog from senders, and against
    # those that make an urgent call expect the wait of the others.
    @params(
        (OF_RUN, 0.12),
        (FIRST, 0.24),
        (SECOND, 0.48),
        ((True, 2), 0.48),
    )
    def test_stated_wait_is_that_of_the_bodies_ahead(
        self, urgency: Urgency, expected: float
    ) -> None:
        link = Link()
        link.run(
            Upload(name='a', at=0, size=60_000),
            Upload(name='b', at=0, size=60_000),
            Upload(name='c', at=0, size=60_000, urgency=SECOND),
            Upload(name='d', at=0, size=60_000, urgency=SECOND),
            Upload(
                name='e', at=0, size=60_000, urgency=SECOND, useful_until=None
            ),
            until=0,
        )
        stated = link.grants.wait_seconds(0, urgency)
        late = 0.12 if urgency == (True, 2) else 0
        self.assertAlmostEqual(stated, expected + late)

    # Guards against a body that is lost or overtaken while memory is short.
    def test_body_without_memory_keeps_its_place(self) -> None:
        link = Link(lost=frozenset('ab'))
        link.run(
            Upload(name='a', at=0, size=60_000),
            Upload(name='b', at=0, size=20_000),
            until=0,
        )
        link.grants.put_back(AttemptId('a'), 0)
        self.assertEqual(link.grants.advance(0).granted, ())
        retry_at = link.grants.retry_at
        assert retry_at is not None
        self.assertGreater(retry_at, 0)
        self.assertEqual(link.grants.advance(retry_at).granted, ('a',))


@dataclass(slots=True, kw_only=True, frozen=True)
class RandomUpload:
    """Describe one attempt of a random history, with times in milliseconds."""

    at_ms: int
    size: int
    urgency: Urgency
    target_ms: int | None  # negative if it has passed
    is_lost: bool  # the body never comes
    cancelled_after_ms: int | None

    def build_request(self, name: str) -> BodyRequest:
        """Return the request of the owner."""
        useful_until = None
        if self.target_ms is not None and self.target_ms > 0:
            useful_until = (self.at_ms + self.target_ms) / 1000
        return BodyRequest(
            attempt_id=AttemptId(name),
            size=self.size,
            urgency=self.urgency,
            useful_until=useful_until,
            latest_arrival=self.at_ms / 1000 + DEADLINE_SECONDS,
        )


UPLOADS = st.lists(
    st.builds(
        RandomUpload,
        at_ms=st.integers(0, 1500),
        size=st.integers(12_501, 360_000),
        urgency=st.sampled_from((OF_RUN, FIRST, SECOND)),
        target_ms=st.one_of(st.none(), st.integers(-100, 1500)),
        is_lost=st.booleans(),
        cancelled_after_ms=st.one_of(st.none(), st.integers(1, 900)),
    ),
    max_size=25,
)


class RandomHistory:
    """Play random uploads; hold which wait, which arrive and which ended."""

    def __init__(self, uploads: list[RandomUpload]) -> None:
        self.grants = BodyGrants(link_bytes_per_second=RATE)
        self.uploads = {
            str(number): upload for number, upload in enumerate(uploads)
        }
        self.waiting: set[str] = set()
        # How each wait ended: granted, refused or withdrawn.
        self.ended: list[str] = []
        self._arriving: dict[str, float] = {}

    def list_steps(self) -> list[tuple[float, str]]:
        """Return the times of heads, cancels and ticks, in order."""
        steps = [(tick / 50, '') for tick in range(400)]
        for name, upload in self.uploads.items():
            steps.append((upload.at_ms / 1000, f'head {name}'))
            if upload.cancelled_after_ms is not None:
                cancelled_ms = upload.at_ms + upload.cancelled_after_ms
                steps.append((cancelled_ms / 1000, f'cancel {name}'))
        return sorted(steps)

    def apply(self, now: float, step: str) -> tuple[str, ...]:
        """Apply one step and return what is granted."""
        kind, _, name = step.partition(' ')
        if kind == 'head':
            self.grants.add(self.uploads[name].build_request(name), now)
            self.waiting.add(name)
        elif kind == 'cancel':
            self._end(name)
        for arrived, at in tuple(self._arriving.items()):
            if at <= now:
                self._end(arrived)
        result = self.grants.advance(now)
        for ended in (*result.refused, *result.granted):
            self.waiting.remove(ended)
            self.ended.append(ended)
        for granted in result.granted:
            if not self.uploads[granted].is_lost:
                seconds = self.uploads[granted].size / RATE
                self._arriving[granted] = now + seconds
        return result.granted

    def _end(self, name: str) -> None:
        self._arriving.pop(name, None)
        self.grants.end(AttemptId(name))
        if name in self.waiting:
            self.waiting.remove(name)
            self.ended.append(name)


class GrantPropertyTest(unittest.TestCase):
    # Guards against a backlog on the link, attempts that are forgotten or
    # answered twice, and urgent bodies that wait behind later ones.
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(uploads=UPLOADS)
    def test_random_uploads(self, uploads: list[RandomUpload]) -> None:
        history = RandomHistory(uploads)
        grants = history.grants
        for now, step in history.list_steps():
            granted = history.apply(now, step)
            self.assertEqual(grants.waiting_count, len(history.waiting))
            if grants.in_flight_count > 1:
                bound = RATE * IN_FLIGHT_SECONDS
                self.assertLessEqual(grants.in_flight_bytes, bound)
            most_urgent = min(
                (history.uploads[name].urgency for name in history.waiting),
                default=SECOND,
            )
            for name in granted:
                urgency = history.uploads[name].urgency
                self.assertLessEqual(urgency, most_urgent)
        self.assertEqual(sorted(history.ended), sorted(history.uploads))
