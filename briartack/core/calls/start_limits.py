"""Limits of the request starts at the local upstream, from several sources."""

from typing import Protocol, final


class StartLimiter(Protocol):
    """Limit the requests that start at the local upstream."""

    def record_start(self, now: float) -> None:
        """Count a start."""

    def count_available_starts(self, now: float) -> int | None:
        """Return the number of starts allowed now, or `None` for no limit."""

    def load(self, now: float, queued: int) -> float:
        """Return the load that the limit and the queue amount to."""

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, or `None` for no limit."""

    def start_interval_seconds(self, now: float) -> float:
        """Return the seconds between two starts, or 0 for no limit."""


@final
class StrictestLimiter:
    """Apply several limits at once, so that the strictest in force counts."""

    __slots__ = ('_limiters',)

    def __init__(self, *, limiters: tuple[StartLimiter, ...]) -> None:
        self._limiters = limiters

    def record_start(self, now: float) -> None:
        """Count a start under each limit."""
        for limiter in self._limiters:
            limiter.record_start(now)

    def count_available_starts(self, now: float) -> int | None:
        """Return the number of starts allowed now, or `None` for no limit."""
        counts = (
            limiter.count_available_starts(now) for limiter in self._limiters
        )
        return min(
            (count for count in counts if count is not None), default=None
        )

    def load(self, now: float, queued: int) -> float:
        """Return the highest load under any of the limits."""
        return max(limiter.load(now, queued) for limiter in self._limiters)

    def next_start_at(self, now: float) -> float | None:
        """Return when the next request may start, or `None` for no limit."""
        times = (limiter.next_start_at(now) for limiter in self._limiters)
        return max((at for at in times if at is not None), default=None)

    def start_interval_seconds(self, now: float) -> float:
        """Return the seconds between two starts, or 0 for no limit."""
        return max(
            limiter.start_interval_seconds(now) for limiter in self._limiters
        )
