"""Limit the memory of the responses that are being received."""

from typing import Final, Protocol, final

import gevent

from briartack.core.messages import MAX_BODY_BYTES
from briartack.memory_budget import SMALL_BODY_BYTES, MemoryBudget

# How often a reader that waits for room looks for it, and for stalled callers.
_ROOM_POLL_SECONDS: Final = 0.02
_UNASKED_BYTES: Final = 2 * SMALL_BODY_BYTES


class BodyHolder(Protocol):
    """Hold the received part of a body."""

    @property
    def held_bytes(self) -> int:
        """Return the size of the part that is held."""

    @property
    def is_open_ended(self) -> bool:
        """Return whether the end of the body is not known beforehand."""

    def drop_body(self) -> None:
        """Give up the body; the response can't be completed any more."""


@final
class BodyBudget:
    """Count the bodies that several holders receive towards the memory.

    Their readers wait while the memory is full. If these bodies alone exceed
    it, the largest of those whose length is not known is dropped: one that
    never ends is among them. Others are dropped only above the size of one more
    body, which the first of them may need.
    """

    __slots__ = ('_memory', '_lease', '_holders', '_exceeding')

    def __init__(self, *, memory: MemoryBudget) -> None:
        """Count towards the budget of everything that the daemon holds."""
        self._memory = memory
        self._lease = memory.lease()
        # In the order in which the bodies began.
        self._holders: dict[BodyHolder, None] = {}
        # The one that goes on above the limit.
        self._exceeding: BodyHolder | None = None

    @property
    def held_bytes(self) -> int:
        """Return the size of all bodies that are being received."""
        return self._lease.size

    def admit(self, holder: BodyHolder, grown_bytes: int) -> None:
        """Count a body that has grown; drop others above the limit."""
        self._holders[holder] = None
        self._lease.resize(self._lease.size + grown_bytes)
        while self._lease.size > self._memory.max_bytes:
            dropped = max(self._holders, key=_rank)
            if not dropped.is_open_ended and self._lease.size <= self._most:
                return  # their readers wait
            self.release(dropped)
            dropped.drop_body()

    def release(self, holder: BodyHolder) -> None:
        """Stop counting a body that is complete or was given up."""
        if holder is self._exceeding:
            self._exceeding = None
        if holder in self._holders:
            self._holders.pop(holder)
            self._lease.resize(self._lease.size - holder.held_bytes)

    def wait_for_room(self, holder: BodyHolder) -> None:
        """Wait until more of a body may be received.

        Small bodies never wait. The first of the others goes on above the limit
        by the size of one body: the requests and the parts of responses that
        fill the memory may be waiting for each other.
        """
        while holder.held_bytes >= SMALL_BODY_BYTES and not self._has_room:
            self._memory.make_room()
            if self._has_room or self._may_exceed(holder):
                return
            gevent.sleep(_ROOM_POLL_SECONDS)

    @property
    def _has_room(self) -> bool:
        """Return whether the others have room for what they read unasked.

        That is the size of a small body, and the part that a reader waits for
        after it had room.
        """
        unasked_bytes = _UNASKED_BYTES * (len(self._holders) - 1)
        return self._memory.fits_response(unasked_bytes)

    @property
    def _most(self) -> int:
        return self._memory.max_bytes + MAX_BODY_BYTES

    def _may_exceed(self, holder: BodyHolder) -> bool:
        first = next(
            one for one in self._holders if one.held_bytes >= SMALL_BODY_BYTES
        )
        if first is not holder or self._memory.held_bytes >= self._most:
            return False
        if holder is not self._exceeding and self._memory.begin_excess(0):
            self._exceeding = holder
        return holder is self._exceeding


def _rank(holder: BodyHolder) -> tuple[bool, int]:
    return holder.is_open_ended, holder.held_bytes
