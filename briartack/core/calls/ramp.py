"""Slow start: how many requests a cold upstream may run at once."""

import math
from collections import deque
from typing import Final, final

from briartack.core.configuration.settings import ServiceLimits

JUMP_FACTOR: Final = 8.0
JUMP_ANSWERS: Final = 10
# An upstream that collapses when cold may fail fast, which no latency shows. A
# share of errors that a fault in one route can cause must not slow the rest.
MAX_RECENT_ERRORS: Final = 7
# The long-run mean forgets an answer over about this many later ones.
MEAN_ANSWERS: Final = 256


@final
class RampState:
    """Own the concurrency limit of the local upstream."""

    __slots__ = (
        '_limit',
        '_successes',
        '_grown_at',
        '_generation',
        '_mean',
        '_answers',
        '_recent',
        '_recent_errors',
        '_identity',
    )

    def __init__(self) -> None:
        """Start cold, with one slot."""
        self._limit = 1
        self._successes = 0
        self._grown_at: float | None = None
        self._generation = 0
        self._mean = float(0)
        self._answers = 0
        # These are not in the long-run mean yet: in it, a jump early in the
        # life of the upstream would raise the mean and hide itself.
        self._recent: deque[float] = deque()
        self._recent_errors: deque[bool] = deque(maxlen=JUMP_ANSWERS)
        self._identity = ''

    @property
    def generation(self) -> int:
        """Number the slow starts, to tell old answers from new ones."""
        return self._generation

    @property
    def mean_seconds(self) -> float:
        """Return the mean of the latest answer times, 0 if unknown."""
        if self._recent:
            return sum(self._recent) / len(self._recent)
        return self._mean

    def limit(self, limits: ServiceLimits) -> int:
        """Bound the requests in flight at the upstream."""
        return min(self._limit, limits.slots, limits.connections)

    def restart(self, now: float) -> None:
        """Return to one slot."""
        self._limit = 1
        self._successes = 0
        self._grown_at = now
        self._generation += 1
        self._recent_errors.clear()
        while self._recent:
            self._learn(self._recent.popleft())

    def identify(self, identity: str, now: float) -> bool:
        """Take the identity of a probe; return whether it restarted."""
        is_new = bool(self._identity) and identity != self._identity
        if identity:
            self._identity = identity
        if not identity or not is_new:
            return False
        self.restart(now)
        return True

    def answered(
        self,
        now: float,
        elapsed_seconds: float,
        limits: ServiceLimits,
        *,
        generation: int,
        is_success: bool,
    ) -> bool:
        """Learn from an answer; return whether the slow start began again."""
        if generation != self._generation:
            return False
        is_normal = not self._is_slow(elapsed_seconds)
        self._recent.append(elapsed_seconds)
        if len(self._recent) > JUMP_ANSWERS:
            self._learn(self._recent.popleft())
        self._recent_errors.append(not is_success)
        if self._has_jumped() or self._is_failing():
            self.restart(now)
            return True
        if is_success and is_normal:
            self._successes += 1
            self._grow(now, limits)
        return False

    def _is_slow(self, elapsed_seconds: float) -> bool:
        is_known = self._answers >= JUMP_ANSWERS
        return is_known and elapsed_seconds > JUMP_FACTOR * self._mean

    def _has_jumped(self) -> bool:
        if len(self._recent) < JUMP_ANSWERS:
            return False
        return self._is_slow(sum(self._recent) / JUMP_ANSWERS)

    def _is_failing(self) -> bool:
        return sum(self._recent_errors) > MAX_RECENT_ERRORS

    def _learn(self, elapsed_seconds: float) -> None:
        self._answers = min(self._answers + 1, MEAN_ANSWERS)
        self._mean += (elapsed_seconds - self._mean) / self._answers

    def _grow(self, now: float, limits: ServiceLimits) -> None:
        if self._limit >= limits.slots or self._successes < self._limit:
            return
        if self._grown_at is None:
            self._grown_at = now
        if now - self._grown_at < _step_seconds(limits):
            return
        self._limit *= 2
        self._successes = 0
        self._grown_at = now


def _step_seconds(limits: ServiceLimits) -> float:
    """Divide the ramp into the doublings from one slot to all."""
    doublings = math.ceil(math.log2(limits.slots))
    return limits.ramp_seconds / max(doublings, 1)
