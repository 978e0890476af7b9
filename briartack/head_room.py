"""Reserve memory for the head of a request while the head arrives."""

from typing import Final, final

from briartack.memory_budget import Lease, MemoryBudget

# The memory of a connection covers a head of the usual size.
FREE_HEAD_BYTES: Final = 2048
# Each reservation looks at all that is held, so it is for several headers.
_STEP_BYTES: Final = 1024


@final
class NoHeadRoomError(Exception):
    """Report that there is no memory for the head of a request."""


@final
class HeadRoom:
    """Hold the memory that the head of one request takes above the usual."""

    __slots__ = ('_memory', '_lease')

    def __init__(self, *, memory: MemoryBudget) -> None:
        self._memory = memory
        self._lease: Lease | None = None

    def reserve(self, size: int) -> None:
        """Reserve memory for what has arrived; raise NoHeadRoomError."""
        size -= FREE_HEAD_BYTES
        if size <= 0 or (self._lease is not None and size <= self._lease.size):
            return
        size = -(-size // _STEP_BYTES) * _STEP_BYTES
        if self._lease is None:
            self._lease = self._memory.reserve_request(size)
            has_room = self._lease is not None
        else:
            has_room = self._memory.extend_request(self._lease, size)
        if not has_room:
            raise NoHeadRoomError

    def take(self) -> Lease | None:
        """Hand over the lease of a head that has arrived, if one is needed."""
        lease = self._lease
        self._lease = None
        return lease

    def release(self) -> None:
        """Give the memory back."""
        lease = self.take()
        if lease is not None:
            lease.release()
