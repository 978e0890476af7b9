"""The local upstream as its owner sees it: slots, slow start, health."""

from typing import Final, final

from briartack.core.calls.admission import Admission, AdmissionState, Waiting
from briartack.core.calls.ramp import RampState
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import UpstreamProbed
from briartack.core.units import AttemptId

REPORT_SECONDS: Final = 10.0
# A report alone never makes an idle upstream look full.
REPORT_WEIGHT: Final = 0.5


@final
class LocalUpstream:
    """Own the admission, the slow start and the health of the upstream."""

    __slots__ = (
        '_admission',
        '_ramp',
        '_limits',
        '_is_healthy',
        '_is_draining',
        '_reported_load',
        '_reported_at',
    )

    def __init__(self) -> None:
        """Start cold; the first probe or request tells its health."""
        self._admission = AdmissionState()
        self._ramp = RampState()
        self._limits = ServiceLimits(slots=1, connections=1, queue_length=0)
        self._is_healthy = True
        self._is_draining = False
        self._reported_load = float(0)
        self._reported_at = float('-inf')

    @property
    def is_open(self) -> bool:
        """Tell whether it takes new requests."""
        return self._is_healthy and not self._is_draining

    @property
    def generation(self) -> int:
        """Number the slow starts."""
        return self._ramp.generation

    @property
    def limit(self) -> int:
        """Bound the requests in flight."""
        return self._ramp.limit(self._limits)

    @property
    def running(self) -> int:
        """Count the requests in flight."""
        return self._admission.running

    def configure(self, limits: ServiceLimits) -> None:
        """Take the limits of the present configuration."""
        self._limits = limits

    def load(self, now: float) -> float:
        """Return the share of the present limit that is taken.

        The upstream's report can lag or mislead, so it only moves the load
        towards itself by half.
        """
        taken = self._admission.running + self._admission.queued
        own = taken / self.limit
        if now - self._reported_at > REPORT_SECONDS:
            return own
        hint = min(max(self._reported_load, 0), 1)
        return max(own, own + REPORT_WEIGHT * (hint - own))

    def offer(self, waiting: Waiting, now: float) -> Admission:
        """Start, queue or refuse an attempt."""
        return self._admission.offer(
            waiting,
            now,
            limit=self.limit,
            limits=self._limits,
            mean_seconds=self._ramp.mean_seconds,
        )

    def fill(self, now: float) -> Admission:
        """Give free slots to the queue."""
        return self._admission.fill(now, limit=self.limit)

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
        return self._ramp.answered(
            now,
            elapsed_seconds,
            self._limits,
            generation=generation,
            is_success=is_success,
        )

    def failed(self, now: float, *, generation: int, is_reset: bool) -> bool:
        """Free a slot; return whether the slow start began again."""
        self._admission.release()
        if not is_reset or generation != self._ramp.generation:
            return False
        self._ramp.restart(now)
        return True

    def probed(self, event: UpstreamProbed) -> bool:
        """Take a probe; return whether the slow start began again."""
        was_healthy = self._is_healthy
        self._is_healthy = event.is_healthy
        self._is_draining = event.is_draining
        if event.reported_load is not None:
            self._reported_load = event.reported_load
            self._reported_at = event.now
        if self._ramp.identify(event.identity, event.now):
            return True
        if was_healthy or not event.is_healthy or event.identity:
            return False
        self._ramp.restart(event.now)
        return True
