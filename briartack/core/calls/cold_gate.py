"""The rate at which a cold upstream is given requests."""

from typing import Final, final

from briartack.core.calls.call_rules import CallRules

# Starts that the upstream may count into another second than this daemon.
MARGIN_STARTS: Final = 2.0
# A cold upstream counts as full once a request waits so long.
FULL_WAIT_SECONDS: Final = 0.1


@final
class ColdGate:
    """Own how long the upstream stays cold, and a bucket of starts.

    Within any second at most the rate and the burst together may start.
    """

    __slots__ = (
        '_cold_until',
        '_is_bounding',
        '_rate',
        '_burst',
        '_tokens',
        '_filled_at',
    )

    def __init__(self) -> None:
        """Start warm, with an empty bucket."""
        self._cold_until = float('-inf')
        self._is_bounding = False
        self._rate = 1.0
        self._burst = 1.0
        self._tokens = 0.0
        self._filled_at: float | None = None

    def configure(
        self,
        per_second: float | None,
        rules: CallRules,
    ) -> None:
        """Bound the starts within any second; without a rate, bound none."""
        self._is_bounding = per_second is not None
        rate = (per_second or 0) * rules.cold_overage
        self._rate = max(1.0, rate - MARGIN_STARTS)
        self._burst = max(1.0, rules.cold_slack)

    def is_cold(self, now: float) -> bool:
        """Tell whether the rate bounds what may start."""
        return self._is_bounding and now < self._cold_until

    def set(self, until: float) -> None:
        """Take what the upstream says of itself."""
        self._cold_until = until

    def presume(self, until: float) -> None:
        """Take the upstream for cold until it says otherwise."""
        self._cold_until = max(self._cold_until, until)

    def started(self, now: float) -> None:
        """Count a request, also of a warm upstream that may become cold."""
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def room(self, now: float) -> int | None:
        """Count what may start now; `None` when the rate bounds nothing."""
        if not self.is_cold(now):
            return None
        self._fill(now)
        return int(self._tokens)

    def load(self, now: float, queued: int) -> float:
        """Return the load that a queue before a cold upstream makes."""
        wait_seconds = queued * self.step_seconds(now)
        return min(1.0, wait_seconds / FULL_WAIT_SECONDS)

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, if the rate bounds it."""
        if not self.is_cold(now):
            return None
        self._fill(now)
        return now + max(0.0, 1 - self._tokens) / self._rate

    def step_seconds(self, now: float) -> float:
        """Return the time from one start to the next; 0 without a bound."""
        return 1 / self._rate if self.is_cold(now) else 0

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
