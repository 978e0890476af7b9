"""The local upstream as its owner sees it: slots, slow start, health."""

from typing import Final, final

from briartack.core.calls.admission import Admission, AdmissionState, Waiting
from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.calls.cold_gate import ColdGate
from briartack.core.calls.ramp import RampState
from briartack.core.calls.run_times import RunTime
from briartack.core.calls.upstream_health import UpstreamHealth
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import UpstreamProbed
from briartack.core.units import AttemptId

REPORT_SECONDS: Final = 10.0
# A report alone never makes an idle upstream look full.
REPORT_WEIGHT: Final = 0.5
NOTHING_ADMITTED: Final = Admission()


@final
class LocalUpstream:
    """Own the admission, the slow start and the health of the upstream."""

    __slots__ = (
        '_admission',
        '_ramp',
        '_cold',
        '_rules',
        '_limits',
        '_slots',
        '_health',
        '_run_time',
        '_reported_load',
        '_reported_at',
    )

    def __init__(self, *, rules: CallRules = DEFAULT_RULES) -> None:
        """Start cold; the first probe or request tells its health."""
        self._admission = AdmissionState()
        self._ramp = RampState()
        self._cold = ColdGate()
        self._rules = rules
        self._slots: int | None = None
        self._health = UpstreamHealth()
        self._limits = ServiceLimits(slots=1, connections=1, queue_length=0)
        self._run_time = RunTime()
        self._reported_load = float(0)
        self._reported_at = float('-inf')

    @property
    def is_open(self) -> bool:
        """Tell whether it takes new requests."""
        return self._health.is_open(self._rules)

    @property
    def health(self) -> UpstreamHealth:
        """Return what probes and failures say of it."""
        return self._health

    @property
    def generation(self) -> int:
        """Number the slow starts."""
        return self._ramp.generation

    @property
    def limit(self) -> int:
        """Bound the requests in flight."""
        limits = self._limits
        if limits.cold_per_second is None:
            return self._ramp.limit(limits)
        slots = limits.slots if self._slots is None else self._slots
        return min(slots, limits.connections)

    @property
    def mean_seconds(self) -> float:
        """Return how long a request takes lately, 0 if unknown."""
        return self._ramp.mean_seconds

    @property
    def running(self) -> int:
        """Count the requests in flight."""
        return self._admission.running

    def adopt(self, rules: CallRules) -> None:
        """Follow other rules from now on."""
        self._rules = rules

    def configure(self, limits: ServiceLimits, slots: int | None) -> None:
        """Take the limits of the present configuration and of the list."""
        self._limits = limits
        self._slots = slots
        self._cold.configure(limits.cold_per_second, self._rules)

    def presume_cold(self, now: float) -> None:
        """Take the upstream for cold until a probe says how long it is."""
        self._cold.presume(now + self._limits.ramp_seconds)
        self._health.doubt()

    def load(self, now: float) -> float:
        """Return the share of the present limit that is taken.

        The upstream's report can lag or mislead, so it only moves the load
        towards itself by half.
        """
        taken = self._admission.running + self._admission.queued
        own = max(
            taken / self.limit, self._cold.load(now, self._admission.queued)
        )
        if now - self._reported_at > REPORT_SECONDS:
            return own
        hint = min(max(self._reported_load, 0), 1)
        return max(own, own + REPORT_WEIGHT * (hint - own))

    def run_seconds(self, now: float) -> float:
        """Return the mean time of its latest answers, 0 if unknown."""
        return self._run_time.recent(now) or 0

    def offer(self, waiting: Waiting, now: float) -> Admission:
        """Start, queue or refuse an attempt."""
        admission = self._admission.offer(
            waiting,
            now,
            limit=self.limit,
            limits=self._limits,
            step_seconds=max(
                self._ramp.mean_seconds / self.limit,
                self._cold.step_seconds(now),
            ),
            room=self._cold.room(now),
        )
        return self._count(now, admission)

    def fill(self, now: float) -> Admission:
        """Give free slots to the queue."""
        if not self._admission.queued:
            return NOTHING_ADMITTED
        admission = self._admission.fill(
            now,
            limit=self.limit,
            room=self._cold.room(now),
        )
        return self._count(now, admission)

    def next_start_at(self, now: float) -> float | None:
        """Return when a cold upstream may be given what waits."""
        return self._cold.next_start_at(now) if self._admission.queued else None

    def withdraw(self, attempt_id: AttemptId) -> None:
        """Take an attempt out of the queue."""
        self._admission.withdraw(attempt_id)

    def abort(self) -> None:
        """Free the slot of a request that was given up."""
        self._admission.release()

    def answered(
        self,
        now: float,
        elapsed_seconds: float,
        *,
        generation: int,
        is_success: bool,
    ) -> bool:
        """Free a slot; return whether the slow start began again."""
        self._admission.release()
        if is_success:
            self._run_time.note(now, elapsed_seconds)
        return self._ramp.answered(
            now,
            elapsed_seconds,
            self._limits,
            generation=generation,
            is_success=is_success,
        )

    def failed(
        self,
        now: float,
        *,
        generation: int,
        is_reset: bool,
        is_down: bool = False,
    ) -> bool:
        """Free a slot; return whether the slow start began again.

        An upstream that takes no connection is down until a probe says
        otherwise.
        """
        self._admission.release()
        if is_reset:
            self._health.doubt()
        if is_down and self._rules.needs_identity:
            self._health.lose()
        if not is_reset or generation != self._ramp.generation:
            return False
        self._ramp.restart(now)
        return True

    def replaced(self, now: float, identity: str) -> bool:
        """Take the identity that refused a request meant for another one."""
        self.presume_cold(now)
        self._health.replace(identity)
        return self._ramp.identify(identity, now)

    def probed(self, event: UpstreamProbed) -> bool:
        """Take a probe; return whether the slow start began again."""
        was_healthy = self._health.is_healthy
        if event.cold_seconds is not None:
            self._cold.set(event.now + event.cold_seconds)
        self._health.probed(event)
        if event.reported_load is not None:
            self._reported_load = event.reported_load
            self._reported_at = event.now
        if self._ramp.identify(event.identity, event.now):
            return True
        if was_healthy or not event.is_healthy or event.identity:
            return False
        self._ramp.restart(event.now)
        return True

    def _count(self, now: float, admission: Admission) -> Admission:
        for _ in admission.started:
            self._cold.started(now)
        return admission
