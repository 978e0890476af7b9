"""Set options of sockets, and read the state of their send buffers."""

import fcntl
import select
import sys
import termios
from typing import Any, Final

from gevent import socket

# A connection that goes silent without a reset fails after about the sum of
# these times, well before the platform relies on the daemon again.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBE_COUNT: Final = 2
DEFAULT_SILENCE_SECONDS: Final = 3.0
_MILLISECONDS_PER_SECOND: Final = 1000
_INT_BYTES: Final = 4
# Of `tcpi_unacked` in Linux's `struct tcp_info`: eight bytes and four integers
# precede it. For a listener, it is the length of its queue.
_WAITING_OFFSET: Final = 24


def configure_socket(sock: Any) -> None:
    """Disable the delay of small writes, and detect a silent other side."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    limit_silence(sock, DEFAULT_SILENCE_SECONDS)


def limit_silence(sock: Any, seconds: float) -> None:
    """Let a connection fail after a time without progress in sending.

    Another side that lives, but takes no bytes, counts as silent too.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(seconds * _MILLISECONDS_PER_SECOND),
    )


def limit_receive_buffer(sock: Any, size: int) -> None:
    """Limit the bytes that arrive unread; a listener passes the limit on."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)


def count_unacknowledged_bytes(sock: Any) -> int:
    """Return the number of written bytes that the other side has yet to get.

    Returns 0 if the socket is closed or the system doesn't tell.
    """
    return _count_bytes(sock, termios.TIOCOUTQ)


def count_waiting_connections(listener: Any) -> int:
    """Return how many connections wait to be accepted."""
    state = listener.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, _WAITING_OFFSET + _INT_BYTES
    )
    return int.from_bytes(state[_WAITING_OFFSET:], sys.byteorder)


def has_unread_input(sock: Any) -> bool:
    """Return whether bytes, or the end of them, have arrived unread."""
    return _has_event(sock, select.POLLIN)


def has_ended_input(sock: Any) -> bool:
    """Return whether the other side has closed and all it sent is read."""
    is_closed = _has_event(sock, select.POLLRDHUP)
    return is_closed and _count_bytes(sock, termios.FIONREAD) == 0


def _has_event(sock: Any, event: int) -> bool:
    poll = select.poll()
    poll.register(sock.fileno(), event)
    return bool(poll.poll(0))


def _count_bytes(sock: Any, request: int) -> int:
    try:
        answer = fcntl.ioctl(sock.fileno(), request, bytes(_INT_BYTES))
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, sys.byteorder)
