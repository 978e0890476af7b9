"""Bound the bytes of callers that arrive before a daemon reads them.

A connection takes little unread until the body of a request has room. Its
receive buffer is enlarged then, and stays so: a buffer that shrinks again stops
connections over loopback. The number of enlarged ones is bounded, and the
bodies of further connections arrive in smaller steps.
"""

from typing import Any, Final, final

from briartack.accepting import ACCEPT_BUFFER_BYTES
from briartack.memory_budget import MemoryBudget
from briartack.socket_options import limit_receive_buffer

# Its window carries 1.5 MB/s over round trips of 24 ms.
_BODY_BUFFER_BYTES: Final = 24_576
# The most that Linux takes unread with such a buffer.
_MAX_UNREAD_BODY_BYTES: Final = 48_000
# Enlarged connections use no more of the memory for bodies, which exist twice.
_MEMORY_SHARE: Final = 0.25


@final
class ReceiveWindows:
    """Bound the number of connections that receive bodies in large steps."""

    __slots__ = ('_memory', '_max_enlarged', '_enlarged')

    def __init__(self, *, memory: MemoryBudget) -> None:
        """Count the enlarged connections towards the memory."""
        most_bytes = memory.max_bytes * _MEMORY_SHARE
        self._memory = memory
        self._max_enlarged = int(most_bytes / _MAX_UNREAD_BODY_BYTES)
        self._enlarged = 0
        memory.count_objects(
            lambda: self._enlarged, 0, unread_bytes=_MAX_UNREAD_BODY_BYTES
        )

    @property
    def enlarged(self) -> int:
        """Return the number of enlarged connections."""
        return self._enlarged

    def try_enlarge(self, sock: Any) -> bool:
        """Enlarge the buffer of a connection if there is room."""
        has_room = self._memory.fits_objects(_MAX_UNREAD_BODY_BYTES)
        if self._enlarged >= self._max_enlarged or not has_room:
            return False
        limit_receive_buffer(sock, _BODY_BUFFER_BYTES)
        self._enlarged += 1
        return True

    def release(self) -> None:
        """Record that an enlarged connection is closed."""
        self._enlarged -= 1


@final
class ReceiveWindow:
    """Decide how many bytes may arrive unread on one connection."""

    __slots__ = ('_sock', '_windows', '_is_enlarged')

    def __init__(self, *, sock: Any, windows: ReceiveWindows) -> None:
        """Start with the small buffer that the port gives a connection."""
        self._sock = sock
        self._windows = windows
        self._is_enlarged = False

    def expect_body(self, body_bytes: int | None) -> None:
        """Enlarge the buffer for a body that has room; None is not stated."""
        is_small = body_bytes is not None and body_bytes <= ACCEPT_BUFFER_BYTES
        if not is_small and not self._is_enlarged:
            self._is_enlarged = self._windows.try_enlarge(self._sock)

    def close(self) -> None:
        """Leave the place to another connection."""
        if self._is_enlarged:
            self._is_enlarged = False
            self._windows.release()
