"""Backoff for calls to the store."""

from random import Random
from typing import Final, final

INITIAL_BACKOFF_SECONDS: Final = 0.5
MAX_BACKOFF_SECONDS: Final = 30.0


@final
class Backoff:
    """Delay calls to the store by exponential backoff with full jitter.

    Holds the delay after the next failure, which doubles with each failure,
    and the time before which no call may be made.
    """

    __slots__ = ('_random', '_delay_seconds', '_not_before')

    def __init__(self, *, random: Random) -> None:
        self._random = random
        self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._not_before: float | None = None

    def is_over(self, now: float) -> bool:
        """Return whether the delay after the last failure has passed."""
        return self._not_before is None or now >= self._not_before

    def record_failure(
        self,
        now: float,
        min_delay_seconds: float | None = None,
        max_jitter_seconds: float = MAX_BACKOFF_SECONDS,
    ) -> None:
        """Delay the next call after a failure.

        The delay is `min_delay_seconds`, which the store asked for, plus a
        random time of at most `max_jitter_seconds`.
        """
        delay = min(self._delay_seconds, max_jitter_seconds)
        jittered = self._random.uniform(0, delay)
        self._not_before = now + (min_delay_seconds or 0) + jittered
        self._delay_seconds = min(
            self._delay_seconds * 2,
            MAX_BACKOFF_SECONDS,
        )

    def record_success(self) -> None:
        """Reset the delay after a call that succeeded."""
        self._delay_seconds = INITIAL_BACKOFF_SECONDS
        self._not_before = None
