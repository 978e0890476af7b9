"""When a call would complete at an instance, as its sender expects it.

The estimate adds up the round trip, the waits for a slot and for the body, and
the run. It rests on what owners state in their answers.
"""

from typing import Final, final

import msgspec

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.call_table import Call
from briartack.core.calls.choice_types import AttemptNeeds
from briartack.core.calls.start_bucket import FULL_WAIT_SECONDS
from briartack.core.calls.stated_times import (
    NEWS_SECONDS,
    SLOWDOWN_HALF_LIFE_SECONDS,
    ServiceTimes,
    StatedTimes,
    TypicalStatement,
)
from briartack.core.identity import Identity
from briartack.core.messages import Answer, Hello
from briartack.core.units import InstanceId
from briartack.core.verdict import Verdict

MAX_ROUTES: Final = 256
MAX_SERVICES: Final = 4096
MAX_DATA_CENTRES: Final = 256
# The work of a route changes rarely, so the mean covers many runs.
WORK_WINDOW_RUNS: Final = 64
# Assumed until a dial or an answer has shown less: the latencies of the
# deployments are 1 ms at most within a region and 12 ms beyond.
REGION_ROUND_TRIP_SECONDS: Final = 0.002
FLEET_ROUND_TRIP_SECONDS: Final = 0.024
# A dial takes a round trip for the connection and one for the hellos.
DIAL_ROUND_TRIPS: Final = 2


@final
class RouteWork:
    """Hold the mean work of each route, in seconds at usual speed.

    The least recently updated of more than 256 routes is evicted.
    """

    __slots__ = ('_means',)

    def __init__(self) -> None:
        self._means: dict[tuple[str, str], tuple[float, int]] = {}

    def __len__(self) -> int:
        """Return the number of known routes."""
        return len(self._means)

    def get(self, route: str, service: str) -> float | None:
        """Return the mean work of a route at a service, or `None`."""
        known = self._means.get((route, service))
        return None if known is None else known[0]

    def update(self, route: str, service: str, seconds: float) -> None:
        """Add the work of one run to the mean."""
        mean, runs = self._means.pop((route, service), (0.0, 0))
        runs = min(runs + 1, WORK_WINDOW_RUNS)
        self._means[(route, service)] = mean + (seconds - mean) / runs, runs
        if len(self._means) > MAX_ROUTES:
            self._means.pop(next(iter(self._means)))


@final
class ExpectedParts(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the parts of an expected completion, in seconds.

    `wait` is the time until a slot is free, with the likely wait behind the
    attempts of other senders.
    """

    way: float
    wait: float
    body: float
    run: float


@final
class CompletionEstimator:
    """Estimate for one attempt when it would complete at an instance.

    All results are in seconds from now.
    """

    __slots__ = (
        '_now',
        '_identity',
        '_times',
        '_typical',
        '_needs',
        '_work_seconds',
        '_body_seconds',
        '_round_trips',
    )

    def __init__(
        self,
        *,
        now: float,
        identity: Identity,
        times: ServiceTimes,
        typical: TypicalStatement,
        needs: AttemptNeeds,
        work_seconds: float | None,
        body_seconds: float | None,
        round_trips: dict[str, float],
    ) -> None:
        """Set what is the same for all instances.

        `body_seconds` is the time that the body takes on this daemon's link, if
        it needs a grant, otherwise `None`.
        """
        self._now = now
        self._identity = identity
        self._times = times
        self._typical = typical
        self._needs = needs
        self._work_seconds = work_seconds
        self._body_seconds = body_seconds
        self._round_trips = round_trips

    def compute_seconds(self, member: Member) -> float:
        """Return when the attempt would complete at an instance."""
        stated = self._find_news(member)
        run_seconds = self._compute_run_seconds(stated)
        seconds = self._compute_likely_wait(member, stated) + run_seconds
        seconds += self.get_round_trip(member)
        if not self._needs_grant(member):
            return seconds
        return seconds + self._compute_body_seconds(stated)

    def compute_parts(self, member: Member) -> ExpectedParts:
        """Return the parts of what `compute_seconds` returns."""
        stated = self._find_news(member)
        is_granted = self._needs_grant(member)
        return ExpectedParts(
            way=self.get_round_trip(member),
            wait=self._compute_likely_wait(member, stated),
            body=self._compute_body_seconds(stated) if is_granted else 0,
            run=self._compute_run_seconds(stated),
        )

    def compute_wait_seconds(self, member: Member) -> float:
        """Return the wait for a slot of an instance."""
        return self._compute_wait_seconds(member, self._find_news(member))

    def get_round_trip(self, member: Member) -> float:
        """Return the round trip to an instance, 0 in this data centre."""
        return find_round_trip(self._round_trips, self._identity, member)

    def _find_news(self, member: Member) -> StatedTimes | None:
        """Return the recent statement of an instance, or `None`."""
        stated = self._times.get(member.instance)
        if stated is None or self._now - stated.stated_at > NEWS_SECONDS:
            return None
        return stated

    def _compute_run_seconds(self, stated: StatedTimes | None) -> float:
        typical = self._typical
        slowdown = typical.slowdown
        if stated is not None and stated.slowdown:
            half_lives = (
                self._now - stated.stated_at
            ) / SLOWDOWN_HALF_LIFE_SECONDS
            slowdown += (stated.slowdown - slowdown) * 0.5**half_lives
        if slowdown and self._work_seconds is not None:
            return self._work_seconds * slowdown
        return self._find_mean_run_seconds(stated)

    def _find_mean_run_seconds(self, stated: StatedTimes | None) -> float:
        if stated is None:
            return self._typical.run_seconds
        return stated.run_seconds or self._typical.run_seconds

    def _needs_grant(self, member: Member) -> bool:
        is_own = member.instance == self._identity.instance
        return self._body_seconds is not None and not is_own

    def _compute_likely_wait(
        self, member: Member, stated: StatedTimes | None
    ) -> float:
        """Return the wait, with that behind the attempts of other senders.

        The fuller an instance was, the less likely is a slot that is still
        free when the attempt arrives.
        """
        wait = self._compute_wait_seconds(member, stated)
        load = self._typical.load if stated is None else stated.load
        if load < 1:
            wait += load * self._find_mean_run_seconds(stated)
        return wait

    def _compute_wait_seconds(
        self, member: Member, stated: StatedTimes | None
    ) -> float:
        """Return the stated wait and that for the attempts sent since.

        A limit of the starts, as that of a cold upstream, shows in the load
        alone: a slot is free, but the load is high.
        """
        typical = self._typical
        if stated is None:
            wait = max(
                0, typical.wait_seconds - self._now + typical.computed_at
            )
            sent = self._times.get(member.instance)
        else:
            wait = max(0, stated.wait_seconds - self._now + stated.stated_at)
            sent = stated
            if not stated.wait_seconds and stated.load >= 1:
                is_limited = stated.load > 1 or member.cold_ms
                wait = FULL_WAIT_SECONDS * stated.load if is_limited else 0
        if sent is None or not sent.sent_at:
            return wait
        run_seconds = self._find_mean_run_seconds(stated)
        slots = member.slots or self._needs.limits.slots
        return wait + len(sent.sent_at) * run_seconds / slots

    def _compute_body_seconds(self, stated: StatedTimes | None) -> float:
        if stated is None:
            wait, stated_at = (
                self._typical.body_wait_seconds,
                self._typical.computed_at,
            )
        else:
            wait, stated_at = stated.body_wait_seconds, stated.stated_at
        body_seconds = self._body_seconds or 0
        return max(0, wait - self._now + stated_at) + body_seconds


@final
class ExpectedTimes:
    """Hold what owners stated, the work of routes and the round trips."""

    __slots__ = ('_services', '_work', '_round_trips')

    def __init__(self) -> None:
        self._services: dict[str, ServiceTimes] = {}
        self._work = RouteWork()
        self._round_trips: dict[str, float] = {}  # by data centre

    def get(self, service: str) -> ServiceTimes | None:
        """Return what is known of a service, or `None`."""
        return self._services.get(service)

    def list_services(self) -> list[tuple[str, ServiceTimes]]:
        """Return the known services with what is known of each."""
        return list(self._services.items())

    def knows_slowdowns(self, service: str, now: float) -> bool:
        """Return whether instances of a service state a slowdown."""
        times = self._services.get(service)
        typical = None if times is None else times.find_typical(now)
        return typical is not None and typical.slowdown > 0

    def prepare(
        self, context: CallContext, now: float, needs: AttemptNeeds
    ) -> CompletionEstimator | None:
        """Return the estimator for an attempt.

        Return `None` if it is chosen by load: if no instance has news, or none
        states a slowdown and the body needs no grant.
        """
        times = self._services.get(needs.service)
        if times is None:
            return None
        typical = times.find_typical_for(now, needs.body_bytes)
        if typical is None:
            return None
        return self._build(context, now, needs, times, typical)

    def preview(
        self, context: CallContext, now: float, needs: AttemptNeeds
    ) -> CompletionEstimator | None:
        """Return what `prepare` would return, without storing anything."""
        times = self._services.get(needs.service)
        if times is None:
            return None
        typical = times.peek_typical(now)
        if typical is None or not times.decides(typical, needs.body_bytes):
            return None
        return self._build(context, now, needs, times, typical)

    def record_hello(self, hello: Hello, dial_seconds: float | None) -> None:
        """Record which bodies a peer grants, and the round trip to it.

        `dial_seconds` is `None` if the peer dialled.
        """
        size = hello.ungranted_body_bytes
        times = self._services.get(hello.service)
        if times is None and size is not None:
            times = self._get_or_add(hello.service)
        if times is not None:
            times.record_ungranted(hello.instance, size)
        if dial_seconds is not None:
            self._record_round_trip(
                hello.data_centre, dial_seconds / DIAL_ROUND_TRIPS
            )

    def record_attempt_start(
        self, now: float, service: str, member: Member, slots: int
    ) -> bool:
        """Count an attempt; return whether it probably starts at once."""
        times = self._get_or_add(service)
        stated = times.get_or_add(member.instance)
        starts_at_once = stated.has_free_slot(now, member.slots or slots)
        stated.record_sent(now)
        times.in_flight += 1
        return starts_at_once

    def record_attempt_end(self, service: str) -> None:
        """Remove an ended attempt from the count in flight."""
        times = self._services.get(service)
        if times is not None and times.in_flight:
            times.in_flight -= 1

    def record_answer(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        answer: Answer,
        call: Call | None,
    ) -> None:
        """Record what an owner states, and the work of the call's route.

        `call` is `None` if the answer is late.
        """
        member = context.members.get(peer)
        if member is None:
            return
        if call is not None and member.data_centre != (
            context.identity.data_centre
        ):
            self._record_round_trip(member.data_centre, now - call.sent_at)
        round_trip = find_round_trip(
            self._round_trips, context.identity, member
        )
        stated = self._get_or_add(member.service).get_or_add(peer)
        stated.update(answer, now, round_trip)
        if call is not None and answer.verdict is Verdict.RAN:
            rate = context.rules.link_bytes_per_second
            is_own = peer == context.identity.instance
            if call.body_bytes and rate and not is_own:
                round_trip += call.body_bytes / rate
            self._learn_work(now - call.sent_at - round_trip, answer, call)

    def forget(self, peer: InstanceId) -> None:
        """Forget what a peer has stated, whose stream has ended."""
        for times in self._services.values():
            times.forget(peer)

    def _build(
        self,
        context: CallContext,
        now: float,
        needs: AttemptNeeds,
        times: ServiceTimes,
        typical: TypicalStatement,
    ) -> CompletionEstimator:
        body_seconds = None
        if times.is_granted(needs.body_bytes):
            rate = context.rules.link_bytes_per_second
            body_seconds = needs.body_bytes / rate if rate else 0
        return CompletionEstimator(
            now=now,
            identity=context.identity,
            times=times,
            typical=typical,
            needs=needs,
            work_seconds=self._work.get(needs.route, needs.service),
            body_seconds=body_seconds,
            round_trips=self._round_trips,
        )

    def _learn_work(self, seconds: float, answer: Answer, call: Call) -> None:
        """Add a run to the work of its route, unless it has waited."""
        if not answer.slowdown > 0 or seconds <= 0:
            return
        service = call.share.service
        has_waited = answer.wait_seconds > 0 or not call.starts_at_once
        route = call.route.name
        if has_waited and self._work.get(route, service) is not None:
            return
        self._work.update(route, service, seconds / answer.slowdown)

    def _get_or_add(self, service: str) -> ServiceTimes:
        times = self._services.get(service)
        if times is None:
            if len(self._services) >= MAX_SERVICES:
                self._services.clear()
            times = ServiceTimes()
            self._services[service] = times
        return times

    def _record_round_trip(self, data_centre: str, seconds: float) -> None:
        known = self._round_trips.get(data_centre)
        if known is None and len(self._round_trips) >= MAX_DATA_CENTRES:
            return
        if known is None or seconds < known:
            self._round_trips[data_centre] = seconds


def find_round_trip(
    round_trips: dict[str, float], identity: Identity, member: Member
) -> float:
    """Return the smallest known round trip to the data centre of an instance.

    It counts as 0 within the data centre of this daemon.
    """
    if member.data_centre == identity.data_centre:
        return 0
    known = round_trips.get(member.data_centre)
    if known is not None:
        return known
    if member.region == identity.region:
        return REGION_ROUND_TRIP_SECONDS
    return FLEET_ROUND_TRIP_SECONDS
