"""Rate limit that an upstream states in its answers."""

from typing import Final, final

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.start_bucket import FULL_WAIT_SECONDS, StartBucket

# Requests that arrive close together may start together, if the upstream got
# less than it takes during this time.
BURST_SECONDS: Final = 0.5
# An upstream that takes nothing still gets a request now and then, because only
# its answers tell whether the limit has ended.
MIN_STARTS_PER_SECOND: Final = 0.25


@final
class StatedLimiter:
    """Hold the limit that the upstream states, and buckets of starts.

    The load shows when the stated rate is reached, so that senders turn to
    other upstreams. Requests for which there is no other place may exceed that
    rate as far as the rules allow.
    """

    __slots__ = ('_per_second', '_overage', '_stated', '_bound')

    def __init__(self) -> None:
        self._per_second: float | None = None
        self._overage = 1.0
        self._stated = StartBucket(has_debt=True)
        self._bound = StartBucket()

    def configure(self, rules: CallRules) -> None:
        """Set how far the stated rate may be exceeded."""
        self._overage = rules.stated_limit_overage

    def update(self, per_second: float | None) -> bool:
        """Set the limit or, by `None`, end it; return whether it changed."""
        if per_second == self._per_second:
            return False
        if per_second is None or self._per_second is None:
            # An earlier limit leaves no tokens for a new one.
            self._stated = StartBucket(has_debt=True)
            self._bound = StartBucket()
        if per_second is not None:
            rate = max(MIN_STARTS_PER_SECOND, per_second)
            burst = max(1.0, rate * BURST_SECONDS)
            self._stated.configure(rate=rate, burst=burst)
            self._bound.configure(rate=rate * self._overage, burst=burst)
        self._per_second = per_second
        return True

    def record_start(self, now: float) -> None:
        """Take a token for a start."""
        if self._per_second is not None:
            self._stated.record_start(now)
            self._bound.record_start(now)

    def count_available_starts(self, now: float) -> int | None:
        """Return the number of starts allowed now, or `None` for no limit."""
        if self._per_second is None:
            return None
        return self._bound.count_available_starts(now)

    def load(self, now: float, queued: int) -> float:
        """Return the load: 1 at the stated rate, more above and in a queue."""
        if self._per_second is None:
            return 0
        wait_seconds = queued * self.start_interval_seconds(now)
        return self._stated.used_share(now) + wait_seconds / FULL_WAIT_SECONDS

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, or `None` for no limit."""
        if self._per_second is None:
            return None
        return self._bound.next_start_at(now)

    def start_interval_seconds(self, now: float) -> float:
        """Return the seconds between two starts, or 0 for no limit."""
        return 0 if self._per_second is None else 1 / self._bound.rate
