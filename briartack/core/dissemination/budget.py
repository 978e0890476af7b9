"""How often a daemon may call the store: tokens and backoff."""

from random import Random
from typing import Final, final

INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 30.0


@final
class TokenBudget:
    """Allow a burst of calls and a steady rate after it."""

    __slots__ = ('_rate_per_second', '_burst', '_tokens', '_filled_at')

    def __init__(self, *, rate_per_second: float, burst: int) -> None:
        """Start with a full burst."""
        self._rate_per_second = rate_per_second
        self._burst = float(burst)
        self._tokens = float(burst)
        self._filled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take one token if there is one."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate_per_second
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@final
class Backoff:
    """Space out calls after failures: doubled, with full jitter."""

    __slots__ = ('_random', '_delay_seconds', '_not_before')

    def __init__(self, *, random: Random) -> None:
        """Start without a delay."""
        self._random = random
        self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._not_before: float | None = None

    def is_over(self, now: float) -> bool:
        """Tell whether the next call may be made."""
        return self._not_before is None or now >= self._not_before

    def fail(
        self,
        now: float,
        least_seconds: float | None = None,
        bound_seconds: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        """Delay the next call, at least by what the store asked for."""
        delay = min(self._delay_seconds, bound_seconds)
        jittered = self._random.uniform(0, delay)
        self._not_before = now + (least_seconds or 0) + jittered
        self._delay_seconds = min(
            self._delay_seconds * 2,
            MAX_BACKOFF_SECONDS,
        )

    def succeed(self) -> None:
        """Return to calls without a delay."""
        self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._not_before = None
