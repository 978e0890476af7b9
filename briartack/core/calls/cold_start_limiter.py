"""Rate limit for the requests that a cold upstream gets."""

from typing import Final, final

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.recent_starts import WINDOW_SECONDS, RecentStarts
from briartack.core.calls.start_bucket import FULL_WAIT_SECONDS, StartBucket

# Subtracted from the rate, and from the burst that any second may have: starts
# that the upstream may count in another second than this daemon does.
MARGIN_STARTS: Final = 2.0
# Time that a statement of the list takes to arrive, mostly.
LIST_LAG_SECONDS: Final = 0.2


@final
class ColdStartLimiter:
    """Hold the cold phase, a token bucket of request starts and the latest.

    Within any second fewer than the sum of rate and burst may start. The starts
    between the beginning of the cold phase and the news of it count too.
    """

    __slots__ = (
        '_cold_from',
        '_cold_until',
        '_has_rate_limit',
        '_bucket',
        '_most_per_window',
        '_recent_starts',
    )

    def __init__(self) -> None:
        """Start warm, with an empty token bucket."""
        self._cold_from = float('-inf')
        self._cold_until = float('-inf')
        self._has_rate_limit = False
        self._bucket = StartBucket()
        self._most_per_window = 1
        self._recent_starts = RecentStarts()

    @property
    def cold_until(self) -> float:
        """Return the end of the last known cold phase."""
        return self._cold_until

    def configure(
        self,
        per_second: float | None,
        rules: CallRules,
    ) -> None:
        """Set the rate of starts per second; `None` allows any number."""
        self._has_rate_limit = per_second is not None
        allowed = (per_second or 0) * rules.cold_overage
        rate = max(1.0, allowed - MARGIN_STARTS)
        burst = max(1.0, rules.cold_slack)
        self._bucket.configure(rate=rate, burst=burst)
        window_burst = max(0.0, burst - MARGIN_STARTS)
        self._most_per_window = int(rate * WINDOW_SECONDS + window_burst)

    def is_cold(self, now: float) -> bool:
        """Return whether the upstream is cold and a rate limit is set."""
        return self._has_rate_limit and now < self._cold_until

    def record_cold_phase(
        self, now: float, cold_from: float, cold_until: float
    ) -> None:
        """Set the beginning and end of the cold phase that is reported.

        An upstream may become cold again before it is warm. The starts since
        the first beginning go on to count.
        """
        latest = self._cold_from + LIST_LAG_SECONDS
        if not self.is_cold(now) or cold_from <= latest:
            self._cold_from = cold_from
        self._cold_until = cold_until

    def extend_cold_phase(
        self, now: float, cold_from: float, cold_until: float
    ) -> None:
        """Extend the assumed cold phase; the upstream's report replaces it.

        The beginning of a phase that lasts and a later end remain.
        """
        if not self.is_cold(now):
            self._cold_from = cold_from
        self._cold_until = max(self._cold_until, cold_until)

    def record_start(self, now: float) -> None:
        """Take a token for a start.

        Starts at a warm upstream count too, because it may become cold.
        """
        self._bucket.record_start(now)
        self._recent_starts.record(now)

    def count_available_starts(self, now: float) -> int | None:
        """Return the number of starts allowed now, or `None` for no limit."""
        if not self.is_cold(now):
            return None
        recent = self._recent_starts.count_since(self._cold_from, now)
        room = max(0, self._most_per_window - recent)
        return min(room, self._bucket.count_available_starts(now))

    def load(self, now: float, queued: int) -> float:
        """Return the load, 0 to 1, that the waits at a cold upstream add.

        A wait until earlier starts no longer count shows before requests queue,
        so that senders turn to other upstreams.
        """
        if not self.is_cold(now):
            return 0
        wait_seconds = self._find_window_end(now) - now
        wait_seconds += queued * self.start_interval_seconds(now)
        return min(1.0, wait_seconds / FULL_WAIT_SECONDS)

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, or `None` for no limit."""
        if not self.is_cold(now):
            return None
        return max(self._bucket.next_start_at(now), self._find_window_end(now))

    def start_interval_seconds(self, now: float) -> float:
        """Return the seconds between two starts, or 0 for no limit."""
        return 1 / self._bucket.rate if self.is_cold(now) else 0

    def _find_window_end(self, now: float) -> float:
        """Return when the starts of the last second allow another."""
        return self._recent_starts.find_time_below(
            self._most_per_window, self._cold_from, now
        )
