"""Time elapsed at callers since the first try of their calls.

A caller that was refused returns with less time left. The largest time that
callers of a route state is taken as that of a first try, so the difference
has elapsed.
"""

from collections import deque
from typing import Final, final

from briartack.core.units import MILLISECONDS_PER_SECOND

# Callers return within a few seconds, so first tries are among the calls of
# this time; a change of the callers' own time-out counts after it.
WINDOW_SECONDS: Final = 30.0
# The window advances in steps, so that a call costs a constant time. It covers
# the last 25 to 30 s.
STEP_SECONDS: Final = 5.0
# Among fewer calls there may be no first try.
MIN_CALLS: Final = 10
# A caller that states less than this share of the largest time has a shorter
# time-out of its own, unless callers that were refused may have returned.
MIN_LEFT_RATIO: Final = 0.5
# Bounds the memory; the least recently called route is evicted.
MAX_ROUTES: Final = 256


@final
class RouteClock:
    """Hold the largest stated time of each step of the window."""

    __slots__ = ('_steps', '_calls', 'refused_at')

    def __init__(self) -> None:
        self.refused_at = float('-inf')  # the latest refusal
        # Each step is its number, its calls and the largest stated time.
        self._steps: deque[tuple[int, int, float]] = deque()
        self._calls = 0

    def record(self, now: float, stated_ms: float) -> None:
        """Record the time that a caller states."""
        current = int(now // STEP_SECONDS)
        oldest = int((now - WINDOW_SECONDS) // STEP_SECONDS)
        while self._steps and self._steps[0][0] <= oldest:
            self._calls -= self._steps.popleft()[1]
        self._calls += 1
        if self._steps and self._steps[-1][0] == current:
            _, calls, largest_ms = self._steps.pop()
            self._steps.append((current, calls + 1, max(largest_ms, stated_ms)))
        else:
            self._steps.append((current, 1, stated_ms))

    def first_try_ms(self) -> float | None:
        """Return the time of a first try, or `None` if too few are known."""
        if self._calls < MIN_CALLS:
            return None
        return max(largest_ms for _, _, largest_ms in self._steps)


@final
class CallerClocks:
    """Hold the times that callers state, by route."""

    __slots__ = ('_routes',)

    def __init__(self) -> None:
        # In order of use, the least recently called route first.
        self._routes: dict[str, RouteClock] = {}

    def measure_elapsed_seconds(
        self, now: float, route: str, stated_ms: float
    ) -> float | None:
        """Record a call and return the time since its caller's first try.

        Return `None` if too few calls of the route are known.
        """
        clock = self._routes.pop(route, None) or RouteClock()
        if len(self._routes) >= MAX_ROUTES:
            self._routes.pop(next(iter(self._routes)))
        self._routes[route] = clock
        clock.record(now, stated_ms)
        first_try_ms = clock.first_try_ms()
        if first_try_ms is None:
            return None
        elapsed_ms = first_try_ms - stated_ms
        refused_ms = (now - clock.refused_at) * MILLISECONDS_PER_SECOND
        if (
            stated_ms < MIN_LEFT_RATIO * first_try_ms
            and refused_ms > first_try_ms
        ):
            return 0.0
        return elapsed_ms / MILLISECONDS_PER_SECOND

    def record_refusal(self, now: float, route: str) -> None:
        """Record that a caller of a route may return with less time left."""
        clock = self._routes.get(route)
        if clock is not None:
            clock.refused_at = now
