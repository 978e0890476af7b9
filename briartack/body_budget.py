"""Limit the memory of the responses that are being received."""

from typing import Protocol, final


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
    """Limit the total size of the bodies that several holders receive.

    Above the limit, the largest body is dropped, those first whose length is
    not known: one that never ends is among them.
    """

    __slots__ = ('_max_bytes', '_held_bytes', '_holders')

    def __init__(self, *, max_bytes: int) -> None:
        """Set the limit of all bodies together."""
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._holders: set[BodyHolder] = set()

    @property
    def held_bytes(self) -> int:
        """Return the size of all bodies that are being received."""
        return self._held_bytes

    def admit(self, holder: BodyHolder, grown_bytes: int) -> None:
        """Count a body that has grown; drop others above the limit."""
        self._holders.add(holder)
        self._held_bytes += grown_bytes
        while self._held_bytes > self._max_bytes:
            dropped = max(self._holders, key=_rank)
            self.release(dropped)
            dropped.drop_body()

    def release(self, holder: BodyHolder) -> None:
        """Stop counting a body that is complete or was given up."""
        if holder in self._holders:
            self._holders.remove(holder)
            self._held_bytes -= holder.held_bytes


def _rank(holder: BodyHolder) -> tuple[bool, int]:
    return holder.is_open_ended, holder.held_bytes
