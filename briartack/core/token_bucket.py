"""Rate limit by a token bucket."""

from typing import final


@final
class TokenBucket:
    """Allow a burst and a steady rate after it.

    Holds the number of free tokens and the time of the last refill.
    """

    __slots__ = ('_rate_per_second', '_burst', '_tokens', '_refilled_at')

    def __init__(self, *, rate_per_second: float, burst: int) -> None:
        """Fill the bucket with the tokens of a whole burst."""
        self._rate_per_second = rate_per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token and return true, or return false if none is free."""
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate_per_second
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
