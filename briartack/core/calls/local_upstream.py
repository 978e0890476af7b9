"""The owner's model of the local upstream: slots, slow start and health."""

from typing import Final, final

from briartack.core.calls.admission import (
    AdmissionResult,
    AdmissionState,
)
from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.calls.cold_start_limiter import (
    LIST_LAG_SECONDS,
    ColdStartLimiter,
)
from briartack.core.calls.drain import DrainState
from briartack.core.calls.run_times import RunTimeBound
from briartack.core.calls.service_times import ServiceTimes
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.calls.slow_start import SlowStartState
from briartack.core.calls.start_limits import StrictestLimiter
from briartack.core.calls.stated_limiter import StatedLimiter
from briartack.core.calls.upstream_health import UpstreamHealth
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import LoadReport, UpstreamProbed
from briartack.core.units import AttemptId

LOAD_REPORT_MAX_AGE_SECONDS: Final = 10.0
# Below 1, so that a report alone never makes an idle upstream look full.
LOAD_REPORT_WEIGHT: Final = 0.5
NOTHING_ADMITTED: Final = AdmissionResult()


@final
class LocalUpstream:
    """Hold the admission queue, slow start, load and health of the upstream."""

    __slots__ = (
        '_admission',
        '_ramp',
        '_cold_start_limiter',
        '_stated_limiter',
        '_start_limits',
        '_rules',
        '_limits',
        '_slots',
        'health',
        'run_bound',
        'times',
        '_reported_load',
        '_reported_at',
        '_drain',
    )

    def __init__(
        self,
        *,
        drain: DrainState,
        rules: CallRules = DEFAULT_RULES,
    ) -> None:
        """Start cold and healthy, until a probe or request says otherwise."""
        self._admission = AdmissionState()
        self._ramp = SlowStartState()
        self._cold_start_limiter = ColdStartLimiter()
        self._stated_limiter = StatedLimiter()
        self._start_limits = StrictestLimiter(
            limiters=(self._cold_start_limiter, self._stated_limiter),
        )
        self._rules = rules
        self._slots: int | None = None
        self.health: Final = UpstreamHealth(rules=rules)
        self._limits = ServiceLimits(slots=1, connections=1, queue_length=0)
        self.run_bound = RunTimeBound()
        self.times: Final = ServiceTimes()
        self._reported_load = float(0)
        self._reported_at = float('-inf')
        self._drain = drain

    @property
    def is_open(self) -> bool:
        """Return whether the upstream accepts new requests."""
        return self.health.is_open

    @property
    def generation(self) -> int:
        """Return the number of slow start restarts."""
        return self._ramp.generation

    @property
    def limit(self) -> int:
        """Return the largest number of requests in flight.

        A service with a rate for cold starts has no slow start: the rate
        bounds the starts instead.
        """
        limits = self._limits
        if limits.cold_per_second is None:
            return self._ramp.limit(limits)
        slots = limits.slots if self._slots is None else self._slots
        return min(slots, limits.connections)

    @property
    def mean_seconds(self) -> float:
        """Return the mean seconds of the latest answers, 0 if unknown."""
        return self._ramp.mean_seconds

    @property
    def running(self) -> int:
        """Return the number of requests in flight."""
        return self._admission.running

    def replace_rules(self, rules: CallRules) -> None:
        """Replace the call rules."""
        self._rules = rules
        self.health.replace_rules(rules)

    def configure(self, limits: ServiceLimits, slots: int | None) -> None:
        """Set the limits of the service and the slots of the instance list.

        `slots` is `None` if the list does not hold this instance or states no
        slots for it.
        """
        self._limits = limits
        self._slots = slots
        self._cold_start_limiter.configure(limits.cold_per_second, self._rules)
        self._stated_limiter.configure(self._rules)

    def assume_cold(self, now: float, listed_seconds: float = 0) -> None:
        """Assume a cold upstream for `ramp_seconds`, and request a probe.

        The probe reports how long the upstream remains cold. A list that says
        so (`listed_seconds`) may lag, and counts only if the time that it
        states ends later than the one that is known.
        """
        cold_from = now
        if listed_seconds:
            latest_end = now + listed_seconds - LIST_LAG_SECONDS
            if latest_end <= self._cold_start_limiter.cold_until:
                return
            cold_from = _find_cold_from(now, listed_seconds, self._limits)
            cold_from -= LIST_LAG_SECONDS
        self._cold_start_limiter.extend_cold_phase(
            now, cold_from, now + self._limits.ramp_seconds
        )
        self.health.request_probe()

    def load(self, now: float) -> float:
        """Return the share of the present limit that is in use.

        The load that the upstream reports can lag or mislead, so half of the
        difference is added where the report is higher. Reports older than
        `LOAD_REPORT_MAX_AGE_SECONDS` are ignored.
        """
        taken = self._admission.running + self._admission.queued
        own_load = max(
            taken / self.limit,
            self._start_limits.load(now, self._admission.queued),
        )
        if now - self._reported_at > LOAD_REPORT_MAX_AGE_SECONDS:
            return own_load
        reported_load = min(max(self._reported_load, 0), 1)
        return max(
            own_load, own_load + LOAD_REPORT_WEIGHT * (reported_load - own_load)
        )

    def run_seconds(self, now: float) -> float:
        """Return the mean seconds of the latest successes, 0 if unknown."""
        return self.times.recent.recent_mean(now) or 0

    def wait_seconds(self, now: float) -> float:
        """Return the expected wait of a new attempt for a slot.

        The queue takes the free slots before the new attempt.
        """
        free = self.limit - self._admission.running
        ahead = self._admission.queued - max(free, 0)
        mean_seconds = self.times.mean_seconds(now, self._ramp.mean_seconds)
        return max(ahead, 0) * mean_seconds / self.limit

    def offer(self, waiting: SlotRequest, now: float) -> AdmissionResult:
        """Start, queue or refuse an attempt."""
        admission = self._admission.offer(
            waiting,
            now,
            limit=self.limit,
            limits=self._limits,
            start_interval_seconds=max(
                self.times.mean_seconds(now, self._ramp.mean_seconds)
                / self.limit,
                self._start_limits.start_interval_seconds(now),
            ),
            available_starts=self._start_limits.count_available_starts(now),
            latest_start=self._drain.deadline - self._ramp.mean_seconds,
        )
        return _record_starts(self._start_limits, now, admission)

    def has_room(
        self, waiting: SlotRequest, now: float, *, expected: int
    ) -> bool:
        """Return whether an attempt would get a slot or a place in the queue.

        `expected` attempts were accepted before and have yet to request one.
        """
        return self._admission.has_room(
            waiting,
            now,
            limit=self.limit,
            limits=self._limits,
            start_interval_seconds=max(
                self.times.mean_seconds(now, self._ramp.mean_seconds)
                / self.limit,
                self._start_limits.start_interval_seconds(now),
            ),
            expected=expected,
            available_starts=self._start_limits.count_available_starts(now),
            latest_start=self._drain.deadline - self._ramp.mean_seconds,
        )

    def fill(self, now: float) -> AdmissionResult:
        """Start queued attempts in the free slots; refuse overdue ones.

        Nothing starts while the upstream is not verified: the attempts were
        admitted for an earlier one.
        """
        if not self._admission.queued or not self.health.may_start:
            return NOTHING_ADMITTED
        admission = self._admission.fill(
            now,
            limit=self.limit,
            available_starts=self._start_limits.count_available_starts(now),
            start_interval_seconds=max(
                self.times.mean_seconds(now, self._ramp.mean_seconds)
                / self.limit,
                self._start_limits.start_interval_seconds(now),
            ),
            latest_start=self._drain.deadline - self._ramp.mean_seconds,
        )
        return _record_starts(self._start_limits, now, admission)

    def next_start_at(self, now: float) -> float | None:
        """Return when the limits of starts allow the next one.

        Return `None` if nothing is queued or no limit is in force.
        """
        return (
            self._start_limits.next_start_at(now)
            if self._admission.queued
            else None
        )

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Remove an attempt from the queue."""
        self._admission.withdraw(attempt_id)

    def abort(self) -> None:
        """Free the slot of an aborted request."""
        self._admission.release()

    def update_stated_limit(self, per_second: float | None) -> bool:
        """Set the requests per second that the upstream says it takes.

        `None` ends the limit. Return whether the limit changed.
        """
        return self._stated_limiter.update(per_second)

    def handle_answer(
        self,
        now: float,
        elapsed_seconds: float,
        *,
        generation: int,
        is_success: bool,
        route: str = '',
        load_report: LoadReport | None = None,
    ) -> bool:
        """Free a slot and return whether the slow start restarted."""
        self._admission.release()
        self.run_bound.count_answer()
        self.times.record_report(now, load_report)
        if is_success:
            self.times.record_run(now, route, elapsed_seconds, load_report)
        return self._ramp.handle_answer(
            now,
            elapsed_seconds,
            self._limits,
            generation=generation,
            is_success=is_success,
        )

    def handle_failure(
        self,
        now: float,
        *,
        generation: int,
        is_reset: bool,
        is_down: bool = False,
    ) -> bool:
        """Free a slot and return whether the slow start restarted.

        Under rules that need an identity, an upstream that accepts no
        connection (`is_down`) is down until a probe reports otherwise.
        """
        self._admission.release()
        if is_reset:
            self.health.request_probe()
        if is_down and self._rules.requires_identity:
            self.health.mark_down()
        if not is_reset or generation != self._ramp.generation:
            return False
        self._ramp.restart(now)
        return True

    def handle_replacement(self, now: float, identity: str) -> bool:
        """Record the identity of an upstream that replaced the expected one.

        Return whether the slow start restarted.
        """
        self.assume_cold(now)
        self._stated_limiter.update(None)
        self.health.update_identity(identity)
        return self._ramp.update_identity(identity, now)

    def handle_probe(self, event: UpstreamProbed) -> bool:
        """Record the result of a probe; return whether slow start restarted."""
        was_healthy = self.health.is_healthy
        if event.identity not in {'', self.health.identity}:
            self._stated_limiter.update(None)
        if event.cold_seconds is not None:
            self._cold_start_limiter.record_cold_phase(
                event.now,
                _find_cold_from(event.now, event.cold_seconds, self._limits),
                event.now + event.cold_seconds,
            )
        self.health.handle_probe(event)
        self.times.record_report(event.now, event.load_report)
        if event.reported_load is not None:
            self._reported_load = event.reported_load
            self._reported_at = event.now
        if self._ramp.update_identity(event.identity, event.now):
            return True
        if was_healthy or not event.is_healthy or event.identity:
            return False
        self._ramp.restart(event.now)
        return True


def _record_starts(
    limits: StrictestLimiter, now: float, admission: AdmissionResult
) -> AdmissionResult:
    for _ in admission.started:
        limits.record_start(now)
    return admission


def _find_cold_from(
    now: float, left_seconds: float, limits: ServiceLimits
) -> float:
    """Return when an upstream became cold that stays so for some seconds."""
    return now - max(0.0, limits.ramp_seconds - left_seconds)
