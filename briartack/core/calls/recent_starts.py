"""Times of the latest request starts at the local upstream."""

from collections import deque
from typing import Final, final

WINDOW_SECONDS: Final = 1.0


@final
class RecentStarts:
    """Hold the times of the starts within the last `WINDOW_SECONDS`."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def record(self, now: float) -> None:
        """Add a start."""
        self._drop_old(now)
        self._times.append(now)

    def count_since(self, since: float, now: float) -> int:
        """Return the number of starts in the window from a time on."""
        self._drop_old(now)
        return sum(at >= since for at in self._times)

    def find_time_below(self, most: int, since: float, now: float) -> float:
        """Return when fewer starts than `most` are left in the window.

        Starts before `since` do not count, and `most` is above 0.
        """
        self._drop_old(now)
        counted = [at for at in self._times if at >= since]
        if len(counted) < most:
            return now
        return counted[-most] + WINDOW_SECONDS

    def _drop_old(self, now: float) -> None:
        while self._times and self._times[0] <= now - WINDOW_SECONDS:
            self._times.popleft()
