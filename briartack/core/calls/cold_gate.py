"""The rate at which a cold upstream is given requests."""

from typing import Final, final

# Starts that the upstream may count into another second than this daemon.
MARGIN_STARTS: Final = 2.0


@final
class ColdGate:
    """Own how long the upstream stays cold, and a bucket of starts.

    Within any second at most the rate and the burst together may start.
    """

    __slots__ = ('_cold_until', '_rate', '_burst', '_tokens', '_filled_at')

    def __init__(self) -> None:
        """Start warm, with an empty bucket."""
        self._cold_until = float('-inf')
        self._rate = 1.0
        self._burst = 1.0
        self._tokens = 0.0
        self._filled_at: float | None = None

    def configure(self, *, per_second: float, burst: float) -> None:
        """Bound the starts within any second by the sum of both."""
        self._rate = max(1.0, per_second - MARGIN_STARTS)
        self._burst = max(1.0, burst)

    def is_cold(self, now: float) -> bool:
        """Tell whether the rate bounds what may start."""
        return now < self._cold_until

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

    def room(self, now: float) -> int:
        """Count what may start now."""
        self._fill(now)
        return int(self._tokens)

    def next_start_at(self, now: float) -> float:
        """Return when the next request may start."""
        self._fill(now)
        return now + max(0.0, 1 - self._tokens) / self._rate

    def step_seconds(self) -> float:
        """Return the time from one start to the next."""
        return 1 / self._rate

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
