"""Rate limit for the requests that a cold upstream gets."""

from typing import Final, final

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.start_bucket import FULL_WAIT_SECONDS, StartBucket

# Subtracted from the rate: starts that the upstream may count in another second
# than this daemon does.
MARGIN_STARTS: Final = 2.0


@final
class ColdStartLimiter:
    """Hold the end of the cold phase and a token bucket of request starts.

    Within any second at most the sum of rate and burst may start.
    """

    __slots__ = (
        '_cold_until',
        '_has_rate_limit',
        '_bucket',
    )

    def __init__(self) -> None:
        """Start warm, with an empty token bucket."""
        self._cold_until = float('-inf')
        self._has_rate_limit = False
        self._bucket = StartBucket()

    def configure(
        self,
        per_second: float | None,
        rules: CallRules,
    ) -> None:
        """Set the rate of starts per second; `None` allows any number."""
        self._has_rate_limit = per_second is not None
        rate = (per_second or 0) * rules.cold_overage
        self._bucket.configure(
            rate=max(1.0, rate - MARGIN_STARTS),
            burst=max(1.0, rules.cold_slack),
        )

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold and a rate limit is set."""
        return self._has_rate_limit and now < self._cold_until

    def record_cold_until(self, cold_until: float) -> None:
        """Set the end of the cold phase that the upstream reports."""
        self._cold_until = cold_until

    def extend_cold_phase(self, cold_until: float) -> None:
        """Extend the assumed cold phase; the upstream's report replaces it.

        A later end that is already set remains.
        """
        self._cold_until = max(self._cold_until, cold_until)

    def record_start(self, now: float) -> None:
        """Take a token for a start.

        Starts at a warm upstream count too, because it may become cold.
        """
        self._bucket.record_start(now)

    def count_available_starts(self, now: float) -> int | None:
        """Return the number of starts allowed now, or `None` for no limit."""
        if not self.is_cold(now):
            return None
        return self._bucket.count_available_starts(now)

    def load(self, now: float, queued: int) -> float:
        """Return the load, 0 to 1, that the queue adds at a cold upstream."""
        wait_seconds = queued * self.start_interval_seconds(now)
        return min(1.0, wait_seconds / FULL_WAIT_SECONDS)

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, or `None` for no limit."""
        if not self.is_cold(now):
            return None
        return self._bucket.next_start_at(now)

    def start_interval_seconds(self, now: float) -> float:
        """Return the seconds between two starts, or 0 for no limit."""
        return 1 / self._bucket.rate if self.is_cold(now) else 0
