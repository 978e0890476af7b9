"""Slow start: the concurrency limit of an upstream that may be cold."""

import math
from collections import deque
from typing import Final, final

from briartack.core.configuration.settings import ServiceLimits

# An answer that takes longer than this multiple of the long-run mean is slow.
LATENCY_JUMP_FACTOR: Final = 8.0
# The latest answers that are checked for a jump in latency and for errors.
RECENT_ANSWERS: Final = 10
# More errors than this among the latest `RECENT_ANSWERS` answers restart the
# slow start: an upstream that collapses when cold may fail fast, which latency
# does not show. Up to this many errors may come from a fault in one route,
# which must not slow down the other routes.
MAX_RECENT_ERRORS: Final = 7
# The long-run mean averages over about this many answers.
MEAN_ANSWERS: Final = 256


@final
class SlowStartState:
    """Hold the concurrency limit and the answer times of the local upstream.

    The limit starts at one and doubles in steps until it reaches all slots.
    """

    __slots__ = (
        '_limit',
        '_successes',
        '_last_growth_at',
        '_generation',
        '_mean',
        '_answers',
        '_recent',
        '_recent_errors',
        '_identity',
    )

    def __init__(self) -> None:
        """Start cold, with a limit of one."""
        self._limit = 1
        self._successes = 0
        self._last_growth_at: float | None = None
        self._generation = 0
        self._mean = float(0)
        self._answers = 0
        # The latest answer times stay out of the long-run mean: early in the
        # life of the upstream, a jump would raise the mean and go undetected.
        self._recent: deque[float] = deque()
        self._recent_errors: deque[bool] = deque(maxlen=RECENT_ANSWERS)
        self._identity = ''

    @property
    def generation(self) -> int:
        """Return the number of restarts.

        Answers to requests of an earlier generation are ignored.
        """
        return self._generation

    @property
    def mean_seconds(self) -> float:
        """Return the mean seconds of the latest answers, 0 if unknown."""
        if self._recent:
            return sum(self._recent) / len(self._recent)
        return self._mean

    def limit(self, limits: ServiceLimits) -> int:
        """Return the largest number of requests in flight at the upstream."""
        return min(self._limit, limits.slots, limits.connections)

    def restart(self, now: float) -> None:
        """Reset the limit to one and begin a new generation."""
        self._limit = 1
        self._successes = 0
        self._last_growth_at = now
        self._generation += 1
        self._recent_errors.clear()
        while self._recent:
            self._update_mean(self._recent.popleft())

    def update_identity(self, identity: str, now: float) -> bool:
        """Record the upstream's identity; return whether slow start restarted.

        The slow start restarts when a known identity changes.
        """
        is_new = bool(self._identity) and identity != self._identity
        if identity:
            self._identity = identity
        if not identity or not is_new:
            return False
        self.restart(now)
        return True

    def handle_answer(
        self,
        now: float,
        elapsed_seconds: float,
        limits: ServiceLimits,
        *,
        generation: int,
        is_success: bool,
    ) -> bool:
        """Record an answer; return whether the slow start restarted.

        The slow start restarts after a jump in latency or too many errors.
        """
        if generation != self._generation:
            return False
        is_normal = not self._is_slow(elapsed_seconds)
        self._recent.append(elapsed_seconds)
        if len(self._recent) > RECENT_ANSWERS:
            self._update_mean(self._recent.popleft())
        self._recent_errors.append(not is_success)
        if self._has_latency_jumped() or self._is_failing():
            self.restart(now)
            return True
        if is_success and is_normal:
            self._successes += 1
            self._grow(now, limits)
        return False

    def _is_slow(self, elapsed_seconds: float) -> bool:
        is_known = self._answers >= RECENT_ANSWERS
        return is_known and elapsed_seconds > LATENCY_JUMP_FACTOR * self._mean

    def _has_latency_jumped(self) -> bool:
        if len(self._recent) < RECENT_ANSWERS:
            return False
        return self._is_slow(sum(self._recent) / RECENT_ANSWERS)

    def _is_failing(self) -> bool:
        return sum(self._recent_errors) > MAX_RECENT_ERRORS

    def _update_mean(self, elapsed_seconds: float) -> None:
        self._answers = min(self._answers + 1, MEAN_ANSWERS)
        self._mean += (elapsed_seconds - self._mean) / self._answers

    def _grow(self, now: float, limits: ServiceLimits) -> None:
        if self._limit >= limits.slots or self._successes < self._limit:
            return
        if self._last_growth_at is None:
            self._last_growth_at = now
        if now - self._last_growth_at < _compute_step_seconds(limits):
            return
        self._limit *= 2
        self._successes = 0
        self._last_growth_at = now


def _compute_step_seconds(limits: ServiceLimits) -> float:
    """Return the seconds between doublings from one slot to all slots."""
    doublings = math.ceil(math.log2(limits.slots))
    return limits.ramp_seconds / max(doublings, 1)
