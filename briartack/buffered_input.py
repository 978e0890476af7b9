"""Tell whether the input of a connection can be read without waiting."""

import contextlib
from typing import Any

import gevent


def has_buffered_input(stream: Any) -> bool:
    """Return whether bytes of a buffered stream have arrived and are unread."""
    # A peek reads from the socket only if the buffer of the stream is empty.
    # The other side may have reset the connection.
    with gevent.Timeout(0, exception=False), contextlib.suppress(OSError):
        return bool(stream.peek(1))
    return False
