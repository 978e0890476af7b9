"""Set options of the sockets to peers, the store and the upstream."""

from typing import Any, Final

from gevent import socket

# A connection that goes silent without a reset fails after about the sum of
# these times, well before the platform relies on the daemon again.
_KEEPALIVE_IDLE_SECONDS: Final = 1
_KEEPALIVE_INTERVAL_SECONDS: Final = 1
_KEEPALIVE_PROBE_COUNT: Final = 2
_USER_TIMEOUT_MILLISECONDS: Final = 3000


def configure_socket(sock: Any) -> None:
    """Disable the delay of small writes, and detect a silent other side."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MILLISECONDS)
