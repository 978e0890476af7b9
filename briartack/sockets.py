"""Options of the sockets between daemons, store and upstream."""

from typing import Any, Final

from gevent import socket

# A connection that went silent without a reset fails after about the sum of
# these, well before the platform counts on a daemon again.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_PERIOD_SECONDS: Final = 1
_KEEPALIVE_PROBES: Final = 2
_UNACKNOWLEDGED_MILLISECONDS: Final = 3000


def prepare(sock: Any) -> None:
    """Send small writes at once, and notice a silent other side."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_PERIOD_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS)
