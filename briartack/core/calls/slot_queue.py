"""Queue of the attempts of one priority that wait for an upstream slot."""

from bisect import bisect_left, bisect_right, insort
from typing import TypeAlias, final

import msgspec

from briartack.core.calls.timers import Timers
from briartack.core.units import AttemptId

# Awaited by no run, rank, late, number of the arrival.
_SortKey: TypeAlias = tuple[bool, int, bool, float]


@final
class SlotRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Describe an attempt that requests a slot; a lower rank is more urgent."""

    attempt_id: AttemptId
    deadline: float
    interactive: bool
    rank: int = 0
    # A request that runs at another upstream waits for this attempt.
    is_awaited_by_run: bool = False
    # An attempt that starts later misses its latency target.
    useful_until: float = float('inf')
    # An attempt that starts later can't be answered by its deadline. It is
    # refused once urgent attempts have moved it back that far in the queue.
    latest_start: float = float('inf')
    # The latency target had passed before the attempt arrived.
    is_late: bool = False
    # The attempt is refused unless it can start at once and end in time for
    # its deadline.
    gives_way: bool = False
    # While it waits, the attempt counts as late from this time on.
    late_from: float = float('inf')


@final
class SlotQueue:
    """Order attempts by urgency, those in time before late ones of a rank.

    Attempts of equal urgency are in the order of their arrival, also after
    their target has passed.
    """

    __slots__ = ('_keys', '_requests', '_keys_by_id', '_targets', '_arrivals')

    def __init__(self) -> None:
        self._keys: list[_SortKey] = []
        self._requests: dict[_SortKey, SlotRequest] = {}
        self._keys_by_id: dict[AttemptId, _SortKey] = {}
        self._targets: Timers[AttemptId] = Timers()
        self._arrivals = 0

    def __len__(self) -> int:
        """Return the number of attempts."""
        return len(self._keys)

    @property
    def first(self) -> SlotRequest:
        """Return the most urgent attempt."""
        return self._requests[self._keys[0]]

    @property
    def last(self) -> SlotRequest:
        """Return the least urgent attempt."""
        return self._requests[self._keys[-1]]

    def copy_requests(self) -> list[SlotRequest]:
        """Return the attempts in order; the queue may change meanwhile."""
        return [self._requests[key] for key in self._keys]

    def add(self, request: SlotRequest) -> None:
        """Add an attempt behind those of the same urgency."""
        self._arrivals += 1
        self._insert(_make_key(request, self._arrivals), request)
        if not request.is_late and request.late_from != float('inf'):
            self._targets.add(request.late_from, request.attempt_id)

    def remove(self, attempt_id: AttemptId) -> None:
        """Remove an attempt, if it is in this queue."""
        key = self._keys_by_id.pop(attempt_id, None)
        if key is not None:
            self._keys.pop(bisect_left(self._keys, key))
            self._requests.pop(key)

    def pop_first(self) -> SlotRequest:
        """Remove and return the most urgent attempt."""
        request = self._requests.pop(self._keys.pop(0))
        self._keys_by_id.pop(request.attempt_id)
        return request

    def count_ahead(self, request: SlotRequest) -> int:
        """Return the number of attempts that would start before a new one."""
        return bisect_right(self._keys, _make_key(request, float('inf')))

    def mark_late(self, now: float) -> None:
        """Move attempts whose target has passed behind those in time."""
        for attempt_id in self._targets.pop_due(now):
            key = self._keys_by_id.get(attempt_id)
            if key is not None:
                request = self._requests[key]
                self.remove(attempt_id)
                late = msgspec.structs.replace(request, is_late=True)
                self._insert(_make_key(late, key[-1]), late)
        self._targets.compact(len(self._keys), self._keys_by_id.__contains__)

    def _insert(self, key: _SortKey, request: SlotRequest) -> None:
        insort(self._keys, key)
        self._requests[key] = request
        self._keys_by_id[request.attempt_id] = key


def _make_key(request: SlotRequest, arrival: float) -> _SortKey:
    return (
        not request.is_awaited_by_run,
        request.rank,
        request.is_late,
        arrival,
    )
