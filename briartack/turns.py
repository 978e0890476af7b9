"""Let other greenlets run while a connection always has bytes to read.

A read of a gevent socket switches to another greenlet only if it has to wait.
A sender that is faster than the parser would stop all timers and all other
connections of the process.
"""

from typing import Final, final

import gevent

TURN_BYTES: Final = 65536
# A read of a few bytes takes a system call and a pass of the parser.
_MIN_COUNTED_BYTES: Final = 4096
# A wait of zero seconds is a callback of gevent's loop, which looks at timers
# and sockets only after 50 callbacks. A timer that is due at once makes the
# loop look at them, and does not make the loop wait.
_PASS_SECONDS: Final = 1e-9


@final
class TurnLimit:
    """Limit what one greenlet reads before others have their turn."""

    __slots__ = ('_read_bytes',)

    def __init__(self) -> None:
        """Start a turn."""
        self._read_bytes = 0

    def count_read(self, received_bytes: int) -> None:
        """Count a read; serve timers and sockets at the end of a turn."""
        self._read_bytes += max(received_bytes, _MIN_COUNTED_BYTES)
        if self._read_bytes >= TURN_BYTES:
            self._read_bytes = 0
            gevent.sleep(_PASS_SECONDS)
