"""Circuit breaker of a local upstream that refuses requests without work.

An upstream may refuse every request while its health check succeeds. Each
refusal costs a retry of the budget that all daemons share, so the owner stops
sending after a few of them and lets single trial requests through.
"""

from typing import Final, final

# Refusals in a row, with no request run in between, that open the breaker.
MAX_REFUSALS_IN_ROW: Final = 3
MIN_PAUSE_SECONDS: Final = 0.25
MAX_PAUSE_SECONDS: Final = 1.0
_PAUSE_GROWTH: Final = 2


@final
class RefusalBreaker:
    """Count refusals in a row and hold the time of the next trial request."""

    __slots__ = ('_refusals', '_pause_seconds', '_paused_until')

    def __init__(self) -> None:
        """Start closed, with every request allowed."""
        self._refusals = 0
        self._pause_seconds = float(0)
        self._paused_until = float('-inf')

    @property
    def is_tripped(self) -> bool:
        """Return whether only trial requests are allowed."""
        return self._pause_seconds > 0

    def is_paused(self, now: float) -> bool:
        """Return whether no request may start now, not even a trial."""
        return self.is_tripped and now < self._paused_until

    def record_start(self, now: float) -> None:
        """Pause after a trial request, so that trials do not run together."""
        if self.is_tripped:
            self._paused_until = now + self._pause_seconds

    def record_refusal(self, now: float) -> bool:
        """Count a refusal; return whether it has opened the breaker."""
        self._refusals += 1
        if self._refusals < MAX_REFUSALS_IN_ROW:
            return False
        was_tripped = self.is_tripped
        # Requests that started together may all be refused, which must not
        # lengthen the pause once for each.
        if not self.is_paused(now) or not was_tripped:
            self._pause_seconds = min(
                max(self._pause_seconds * _PAUSE_GROWTH, MIN_PAUSE_SECONDS),
                MAX_PAUSE_SECONDS,
            )
            self._paused_until = now + self._pause_seconds
        return not was_tripped

    def reset(self) -> None:
        """Allow all requests, as the upstream has run one or was replaced."""
        self._refusals = 0
        self._pause_seconds = 0
        self._paused_until = float('-inf')
