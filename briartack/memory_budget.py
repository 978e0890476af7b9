"""Bound the memory that a daemon uses for requests and responses.

Everything that holds part of a body has a lease on it. The body of a request is
leased whole before it is read, and refused if there is no room, so that bodies
that have been admitted can always be completed. Responses can't be refused:
their readers wait for room instead.
"""

import ctypes
from collections.abc import Callable
from typing import Final, TypeAlias, final

from gevent.event import Event

MEGABYTE: Final = 1_000_000
# The interpreter, the libraries, the configuration and the connections.
_BASE_BYTES: Final = 64_000_000
_MIN_BUDGET_BYTES: Final = 16_000_000
# A body that is joined, encoded or sent exists twice for a while.
_COPIES: Final = 2
# Bodies of requests leave the rest to responses, and large ones leave some of
# their part to small ones, which most callers send.
_REQUEST_SHARE: Final = 0.75
_LARGE_REQUEST_SHARE: Final = 0.6
SMALL_BODY_BYTES: Final = 65536
# Most requests without a body have small responses. They are refused only when
# responses have gone far beyond the limit: a body of an upstream may exceed it.
_EMPTY_REQUEST_SHARE: Final = 1.5
# The smallest block that the allocator maps by itself, and returns to the
# system once it is freed. Bodies are read in parts of this size, which would
# stay resident on the heap for as long as one object above them.
_MAPPED_BLOCK_BYTES: Final = 65536
_M_MMAP_THRESHOLD: Final = -3  # in malloc.h


# Gives up the least useful bytes; returns False if there are none.
Relieve: TypeAlias = Callable[[], bool]


def return_freed_blocks() -> None:
    """Let the allocator return each large block to the system once freed.

    The GNU C library otherwise raises the size from which it does so with each
    larger block that is freed, to 32 MB. Other C libraries have no such option.
    """
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, _MAPPED_BLOCK_BYTES)


def compute_budget_bytes(memory_bytes: int) -> int:
    """Return how many bytes of bodies fit into the memory of a process."""
    return max((memory_bytes - _BASE_BYTES) // _COPIES, _MIN_BUDGET_BYTES)


@final
class Lease:
    """Represent the bytes that one holder occupies."""

    __slots__ = ('_budget', '_size', '_is_request')

    def __init__(
        self, *, budget: 'MemoryBudget', size: int, is_request: bool
    ) -> None:
        """Occupy `size` bytes; `MemoryBudget` creates leases."""
        self._budget = budget
        self._size = 0
        self._is_request = is_request
        self.resize(size)

    @property
    def size(self) -> int:
        """Return the number of bytes that are occupied."""
        return self._size

    def resize(self, size: int) -> None:
        """Occupy another number of bytes."""
        change = size - self._size
        self._size = size
        self._budget.record_change(change, is_request=self._is_request)

    def release(self) -> None:
        """Give the bytes back; a second time does nothing."""
        if self._size:
            self.resize(0)


@final
class MemoryBudget:
    """Count what is held of requests and responses, within one limit."""

    __slots__ = (
        '_max_bytes',
        '_held_bytes',
        '_request_bytes',
        '_has_room',
        '_relieve',
    )

    def __init__(self, *, max_bytes: int) -> None:
        """Set the limit of all bodies together."""
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._request_bytes = 0
        self._has_room = Event()
        self._has_room.set()
        self._relieve: Relieve = _relieve_nothing

    @property
    def max_bytes(self) -> int:
        """Return the limit of all bodies together."""
        return self._max_bytes

    @property
    def held_bytes(self) -> int:
        """Return the size of everything that is held."""
        return self._held_bytes

    @property
    def max_request_bytes(self) -> int:
        """Return the size of the largest request body that ever fits."""
        return int(self._max_bytes * _LARGE_REQUEST_SHARE)

    @property
    def is_full(self) -> bool:
        """Return whether responses have to wait for room."""
        return self._held_bytes >= self._max_bytes

    def reserve_request(self, size: int) -> Lease | None:
        """Return a lease on a whole request body, or None without room."""
        if not self._fits(size, size):
            return None
        return Lease(budget=self, size=size, is_request=True)

    def extend_request(self, lease: Lease, size: int) -> bool:
        """Extend the lease on a request body, if there is room."""
        has_room = self._fits(size, size - lease.size)
        if has_room:
            lease.resize(size)
        return has_room

    def lease(self, size: int = 0) -> Lease:
        """Return a lease on bytes of a response, also above the limit."""
        return Lease(budget=self, size=size, is_request=False)

    def set_reliever(self, relieve: Relieve) -> None:
        """Set what gives up bytes when a response can neither wait nor fit."""
        self._relieve = relieve

    def make_room(self) -> bool:
        """Return whether there is room, after giving up what must be."""
        while self.is_full:
            if not self._relieve():
                return False
        return True

    def wait_for_room(self, timeout_seconds: float | None = None) -> None:
        """Wait until less than the limit is held, or for some seconds."""
        self._has_room.wait(timeout_seconds)

    def record_change(self, change: int, *, is_request: bool) -> None:
        """Count a lease that has grown, shrunk or ended."""
        was_full = self.is_full
        self._held_bytes += change
        if is_request:
            self._request_bytes += change
        if self.is_full:
            self._has_room.clear()
        elif was_full:
            self._has_room.set()

    def _fits(self, size: int, growth: int) -> bool:
        if not size:
            return self._held_bytes <= _EMPTY_REQUEST_SHARE * self._max_bytes
        share = _LARGE_REQUEST_SHARE
        if size <= SMALL_BODY_BYTES:
            share = _REQUEST_SHARE
        has_share = self._request_bytes + growth <= share * self._max_bytes
        return has_share and self._held_bytes + growth <= self._max_bytes


def _relieve_nothing() -> bool:
    return False
