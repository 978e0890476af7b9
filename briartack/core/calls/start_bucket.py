"""Token bucket for the request starts at the local upstream."""

from typing import Final, final

# An upstream counts as full once a queued request waits this long for a token.
FULL_WAIT_SECONDS: Final = 0.1


@final
class StartBucket:
    """Hold the rate, the burst and the tokens left for request starts.

    At most the burst plus the rate times the seconds may start in any span, if
    no request starts without a token. With debt, starts without a token count
    too, up to the burst.
    """

    __slots__ = ('_has_debt', '_rate', '_burst', '_tokens', '_refilled_at')

    def __init__(self, *, has_debt: bool = False) -> None:
        """Start with an empty bucket."""
        self._has_debt = has_debt
        self._rate = 1.0
        self._burst = 1.0
        self._tokens = 0.0
        self._refilled_at: float | None = None

    @property
    def rate(self) -> float:
        """Return the starts per second."""
        return self._rate

    def configure(self, *, rate: float, burst: float) -> None:
        """Set the starts per second and the number that may start at once."""
        self._rate = rate
        self._burst = burst

    def record_start(self, now: float) -> None:
        """Take a token for a start."""
        self._refill(now)
        lowest = -self._burst if self._has_debt else 0
        self._tokens = max(lowest, self._tokens - 1)

    def count_available_starts(self, now: float) -> int:
        """Return the number of starts allowed now."""
        self._refill(now)
        return int(self._tokens)

    def next_start_at(self, now: float) -> float:
        """Return when the next request may start."""
        self._refill(now)
        return now + max(0.0, 1 - self._tokens) / self._rate

    def used_share(self, now: float) -> float:
        """Return the share of the burst that recent starts have used.

        The share is above 1 if there is debt.
        """
        self._refill(now)
        return 1 - self._tokens / self._burst

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._refilled_at = now
