"""Model the cold start of a stand-in upstream: slow, and collapsing early."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ColdStartOptions:
    """Configure how an upstream behaves until it is warm.

    The upstream is warm after `seconds` or after `requests`, whichever comes
    first. A bound of zero does not apply; with both zero the upstream is warm
    from the start. A cold upstream takes `factor` times as long for a request
    and collapses above `limit` concurrent requests.
    """

    seconds: float = 0
    requests: int = 0
    factor: float = 5
    limit: int = 4


@final
class ColdStartProgress:
    """Track the progress of one upstream from cold to warm."""

    __slots__ = ('_cold_start', '_slots', '_started_at', '_answered_requests')

    def __init__(
        self,
        *,
        cold_start: ColdStartOptions,
        slots: int,
        now: float,
    ) -> None:
        self._cold_start = cold_start
        self._slots = slots
        self._started_at = now
        self._answered_requests = 0

    @property
    def ramp_limit(self) -> float:
        """Return the concurrency that a slow start allows at present.

        The limit starts at one request and doubles each time as many answers
        as the limit have been sent.
        """
        if self.is_always_warm:
            return float('inf')
        allowed_requests: int = (
            1 << (self._answered_requests + 1).bit_length() - 1
        )
        return min(allowed_requests, self._slots)

    @property
    def is_always_warm(self) -> bool:
        """Return whether no cold start is configured."""
        cold = self._cold_start
        return not cold.seconds and not cold.requests

    def restart(self, now: float) -> None:
        """Start a new cold start at the given time."""
        self._started_at = now
        self._answered_requests = 0

    def record_answer(self) -> None:
        """Count an answered request."""
        self._answered_requests += 1

    def compute_warm_share(self, now: float) -> float:
        """Return the completed share of the cold start, from 0 to 1."""
        cold = self._cold_start
        if self.is_always_warm:
            return 1
        shares: list[float] = []
        if cold.seconds:
            shares.append((now - self._started_at) / cold.seconds)
        if cold.requests:
            shares.append(self._answered_requests / cold.requests)
        return min(1, max(shares))

    def compute_slowdown_factor(self, now: float) -> float:
        """Return the factor by which a request takes longer than when warm."""
        return 1 + (self._cold_start.factor - 1) * (
            1 - self.compute_warm_share(now)
        )

    def compute_safe_concurrency(self, now: float) -> float:
        """Return the highest concurrency at which no collapse occurs."""
        share = self.compute_warm_share(now)
        if share >= 1:
            return float('inf')
        limit = self._cold_start.limit
        return limit + (self._slots - limit) * share
