"""The rate at which a cold upstream is given requests."""

from collections import deque
from typing import Final, final

WINDOW_SECONDS: Final = 1.0


@final
class ColdGate:
    """Own how long the upstream stays cold and what it was given lately."""

    __slots__ = ('_cold_until', '_starts')

    def __init__(self) -> None:
        """Start warm."""
        self._cold_until = float('-inf')
        self._starts: deque[float] = deque()

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
        self._starts.append(now)
        self._forget(now)

    def taken(self, now: float) -> int:
        """Count the requests that started within the window."""
        self._forget(now)
        return len(self._starts)

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_SECONDS:
            self._starts.popleft()
