"""A timer queue for many deadlines and waits."""

import heapq
from collections.abc import Callable, Iterator
from typing import Final, Generic, TypeVar, final

Key = TypeVar('Key')

# Timers that compaction tolerates beyond four for each live key.
SPARE_ENTRIES: Final = 64


@final
class Timers(Generic[Key]):
    """Order keys by time; a key may have several timers.

    Timers are not removed when their key ends, so users skip ended keys.
    """

    __slots__ = ('_heap', '_sequence')

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Key]] = []
        self._sequence = 0

    def next_due_at(self, is_live: Callable[[Key], bool]) -> float | None:
        """Return the earliest time of a live key, or `None`.

        Timers of ended keys before that time are removed.
        """
        while self._heap:
            at, _, key = self._heap[0]
            if is_live(key):
                return at
            heapq.heappop(self._heap)
        return None

    def add(self, at: float, key: Key) -> None:
        """Schedule a key at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, key))

    def pop_due(self, now: float) -> Iterator[Key]:
        """Remove and yield the keys whose time has come."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def compact(self, live: int, is_live: Callable[[Key], bool]) -> None:
        """Remove the timers of ended keys if there are too many.

        `live` is the number of live keys. Compaction starts at four timers for
        each live key, plus `SPARE_ENTRIES`.
        """
        if len(self._heap) <= 4 * live + SPARE_ENTRIES:
            return
        self._heap = [entry for entry in self._heap if is_live(entry[2])]
        heapq.heapify(self._heap)
