"""Times at which something is due, for owners of many deadlines."""

import heapq
from collections.abc import Callable, Iterator
from typing import Final, Generic, TypeVar, final

Key = TypeVar('Key')

# Entries whose key is gone are removed once they outnumber the live ones.
SPARE_ENTRIES: Final = 64


@final
class Timers(Generic[Key]):
    """Order keys by time; keys that are over are skipped by the reader."""

    __slots__ = ('_heap', '_sequence')

    def __init__(self) -> None:
        """Start empty."""
        self._heap: list[tuple[float, int, Key]] = []
        self._sequence = 0

    def next_at(self, is_live: Callable[[Key], bool]) -> float | None:
        """Return the earliest time of a key that is not over."""
        while self._heap:
            at, _, key = self._heap[0]
            if is_live(key):
                return at
            heapq.heappop(self._heap)
        return None

    def add(self, at: float, key: Key) -> None:
        """Make a key due at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, key))

    def due(self, now: float) -> Iterator[Key]:
        """Take the keys whose time has come."""
        while self._heap and self._heap[0][0] <= now:
            yield heapq.heappop(self._heap)[2]

    def compact(self, live: int, is_live: Callable[[Key], bool]) -> None:
        """Remove entries of keys that are over, if they are many."""
        if len(self._heap) <= 4 * live + SPARE_ENTRIES:
            return
        self._heap = [entry for entry in self._heap if is_live(entry[2])]
        heapq.heapify(self._heap)
