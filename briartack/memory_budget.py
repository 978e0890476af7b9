"""Bound the memory that a daemon uses for requests and responses.

Everything that holds part of a body has a lease on it. The body of a caller's
request is leased in steps as it arrives (`arriving_bodies`), that of a peer's
attempt whole, and both are refused if there is no room. Responses can't be
refused: their readers wait for room instead.

A request body above the share of large ones is exclusive (`exclusive_body`):
all that is held beside it has to fit into the rest.

Connections, calls and attempts take memory too, with a body or without. They
are counted where they are held, and share the limit with the bodies.
"""

import ctypes
import math
import time
from collections.abc import Callable
from typing import Final, TypeAlias, final

from briartack.core.messages import MAX_BODY_BYTES
from briartack.exclusive_body import ExclusiveBody

MEGABYTE: Final = 1_000_000
# The interpreter, the libraries, the configuration and freed memory of small
# objects, which the process keeps.
_BASE_BYTES: Final = 64_000_000
# What the process occupies is measured while no more than this is held of
# bodies, since those may exist twice.
_MAX_MEASURED_BYTES: Final = 1_000_000
_MIN_BUDGET_BYTES: Final = 16_000_000
# A body that is joined, encoded or sent exists twice for a while.
_COPIES: Final = 2
# Bodies of requests leave the rest to responses, and large ones leave some of
# their part to small ones, which most callers send.
_REQUEST_SHARE: Final = 0.75
_LARGE_REQUEST_SHARE: Final = 0.6
SMALL_BODY_BYTES: Final = 65536
# Large responses leave the rest to requests without a body, most of which have
# small responses, and to what these hold.
_LARGE_RESPONSE_SHARE: Final = 0.85
# Responses go above the limit one at a time, or after so long: what fills the
# memory may be waiting for a response that has yet to come.
_EXCESS_SECONDS: Final = 2.0
# The smallest block that the allocator maps by itself, and returns to the
# system once it is freed. Bodies are read in parts of this size, which would
# stay resident on the heap for as long as one object above them.
_MAPPED_BLOCK_BYTES: Final = 65536
_M_MMAP_THRESHOLD: Final = -3  # in malloc.h


# Gives up the least useful bytes; returns False if there are none.
Relieve: TypeAlias = Callable[[], bool]
CountObjects: TypeAlias = Callable[[], int]


def return_freed_blocks() -> None:
    """Let the allocator return each large block to the system once freed.

    The GNU C library otherwise raises the size from which it does so with each
    larger block that is freed, to 32 MB. Other C libraries have no such option.
    """
    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, _MAPPED_BLOCK_BYTES)


def compute_budget_bytes(memory_bytes: int, base_bytes: int = 0) -> int:
    """Return how many bytes of bodies fit into the memory of a process.

    `base_bytes` is what the process occupies without them, if it is known.
    """
    rest_bytes = memory_bytes - max(base_bytes, _BASE_BYTES)
    return max(rest_bytes // _COPIES, _MIN_BUDGET_BYTES)


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
        before = self._size
        self._size = size
        self._budget.record_change(before, size, is_request=self._is_request)

    def release(self) -> None:
        """Give the bytes back; a second time does nothing."""
        if self._size:
            self.resize(0)


@final
class MemoryBudget:
    """Count what is held of requests and responses, within one limit."""

    __slots__ = (
        '_most_bytes',
        '_max_bytes',
        '_object_kinds',
        '_body_bytes',
        '_request_bytes',
        'exclusive',
        '_relieve',
        '_excess_from',
        '_excess_at',
    )

    def __init__(self, *, max_bytes: int, memory_bytes: int = 0) -> None:
        """Set the limit of all that is held together.

        `memory_bytes` is the limit of the process; 0 allows no exclusive body.
        """
        self._most_bytes = max_bytes
        self._max_bytes = max_bytes
        # Each number of objects with the size of one, and with the bytes that
        # one may have received and not yet read.
        self._object_kinds: list[tuple[CountObjects, int, int]] = []
        self._body_bytes = 0
        self._request_bytes = 0
        # Neither body nor request bytes include this one.
        self.exclusive: Final = ExclusiveBody(
            shared_bytes=int(max_bytes * _LARGE_REQUEST_SHARE),
            memory_bytes=memory_bytes,
            base_bytes=_BASE_BYTES,
        )
        self._relieve: Relieve = _relieve_nothing
        # What was held as a response last went above the limit, and when.
        self._excess_from = 0
        self._excess_at = -math.inf

    @property
    def max_bytes(self) -> int:
        """Return the limit of all that is held beside an exclusive body."""
        if not self.exclusive.held_bytes:
            return self._max_bytes
        return min(self._max_bytes, self.exclusive.rest_bytes // _COPIES)

    @property
    def held_bytes(self) -> int:
        """Return the size of everything that is held beside an exclusive body.

        An object takes its size once, unlike a body, so half of it counts.
        """
        return self._body_bytes + self._object_bytes // _COPIES

    @property
    def body_bytes(self) -> int:
        """Return the size of the bodies alone."""
        return self._body_bytes + self.exclusive.held_bytes

    @property
    def max_request_bytes(self) -> int:
        """Return the size of the largest request body that ever fits."""
        return self.exclusive.max_bytes

    @property
    def is_full(self) -> bool:
        """Return whether large responses have to wait for room."""
        return self.held_bytes >= _LARGE_RESPONSE_SHARE * self.max_bytes

    def count_objects(
        self, count: CountObjects, size: int, *, unread_bytes: int = 0
    ) -> None:
        """Count objects of a kind towards the limit, each with its size.

        `unread_bytes` is what the system may hold for one beside its size.
        """
        self._object_kinds.append((count, size, unread_bytes))

    def measure(
        self,
        *,
        resident_bytes: int,
        memory_bytes: int,
        reserved_bytes: int = 0,
    ) -> None:
        """Adapt the limit to what the process occupies besides all this.

        Freed memory of many small objects stays with the process. The limit
        stays as it is while `resident_bytes` is 0, which means not known.
        `reserved_bytes` is what may come beside it at any time.
        """
        is_known = resident_bytes > 0
        if is_known and self.body_bytes <= _MAX_MEASURED_BYTES:
            base_bytes = resident_bytes - self._resident_object_bytes
            base_bytes += reserved_bytes
            self.exclusive.measure(base_bytes)
            self._max_bytes = min(
                self._most_bytes, compute_budget_bytes(memory_bytes, base_bytes)
            )

    def fits_response(self, size: int) -> bool:
        """Return whether a large response of a known size has room."""
        most_bytes = _LARGE_RESPONSE_SHARE * self.max_bytes
        return self.held_bytes + size <= most_bytes

    def begin_excess(self, size: int) -> bool:
        """Let one response go above the limit, by at most the size of a body.

        Returns False while the one before is held.
        """
        held_bytes = self.held_bytes
        if held_bytes + size > self.max_bytes + MAX_BODY_BYTES:
            return False
        now = time.monotonic()
        is_recent = now - self._excess_at < _EXCESS_SECONDS
        if self.is_full and held_bytes > self._excess_from and is_recent:
            return False
        self._excess_from = held_bytes
        self._excess_at = now
        return True

    def fits_objects(self, size: int) -> bool:
        """Return whether objects of so many bytes in all have room."""
        return self.held_bytes + size // _COPIES <= self.max_bytes

    def fits(self, size: int, growth: int) -> bool:
        """Return whether the body of a request may grow.

        `size` is that of the whole body, which decides on its share.
        """
        if self.exclusive.applies_to(size):
            # What is held of the body may count twice until it is exclusive.
            own_bytes = size - growth
            held_bytes = self.held_bytes * _COPIES + self.exclusive.held_bytes
            return self.exclusive.fits(size, held_bytes - own_bytes)
        if self.held_bytes + growth > self.max_bytes:
            return False
        share = _LARGE_REQUEST_SHARE
        if size <= SMALL_BODY_BYTES:
            share = _REQUEST_SHARE
        request_bytes = self._request_bytes + growth
        return not size or request_bytes <= share * self.max_bytes

    def reserve_request(self, size: int, whole_bytes: int = 0) -> Lease | None:
        """Return a lease on a request body, or None without room.

        `whole_bytes` is the size of the body if only part of it is leased. An
        exclusive body is leased whole.
        """
        if self.exclusive.applies_to(whole_bytes):
            size = whole_bytes
        if not self.fits(max(size, whole_bytes), size):
            return None
        return Lease(budget=self, size=size, is_request=True)

    def extend_request(self, lease: Lease, size: int) -> bool:
        """Extend the lease on a request body, if there is room."""
        has_room = self.fits(size, size - lease.size)
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

    def record_change(
        self, before: int, after: int, *, is_request: bool
    ) -> None:
        """Count a lease that has grown, shrunk or ended."""
        self._count(before, -1, is_request=is_request)
        self._count(after, 1, is_request=is_request)

    def _count(self, size: int, sign: int, *, is_request: bool) -> None:
        if is_request and self.exclusive.applies_to(size):
            self.exclusive.record_change(sign * size)
            return
        self._body_bytes += sign * size
        if is_request:
            self._request_bytes += sign * size

    @property
    def _object_bytes(self) -> int:
        return sum(
            count() * (size + unread_bytes)
            for count, size, unread_bytes in self._object_kinds
        )

    @property
    def _resident_object_bytes(self) -> int:
        return sum(count() * size for count, size, _ in self._object_kinds)


def _relieve_nothing() -> bool:
    return False
