"""Forward the streams to one daemon, with faults on request.

Other daemons dial the proxy instead of the daemon.
"""

import struct
from time import monotonic
from typing import Any, Final, final

import gevent
from gevent import socket
from gevent.server import StreamServer

RECEIVE_BYTES: Final = 65536
# About three packets, so that streams take turns on a slow link.
SLOW_RECEIVE_BYTES: Final = 4096
# Timers are late by a millisecond or so, which would slow the link down.
SLACK_SECONDS: Final = 0.01
POLL_SECONDS: Final = 0.1
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)


@final
class _Link:
    """Hold the two sockets of one forwarded stream."""

    __slots__ = ('near', 'far', 'is_silent', 'is_closed')

    def __init__(self, *, near: Any, far: Any) -> None:
        """Take the socket of the dialling daemon and that to the target."""
        self.near = near
        self.far = far
        self.is_silent = False  # for good, without a reset
        self.is_closed = False

    def reset(self) -> None:
        """Close both sockets with a reset; a second time does nothing."""
        if self.is_closed:
            return
        self.is_closed = True
        for sock in (self.near, self.far):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
            )
            sock.close()


@final
class LinkProxy:
    """Forward streams to a daemon; `fault` states what holds them up.

    `cut` resets new streams, `hang` holds up both directions, and `one-way`
    only the bytes of the daemon. With a rate, all streams share a link that
    carries as many bytes a second in each direction, in order.
    """

    __slots__ = (
        'fault',
        '_target',
        '_links',
        '_server',
        '_bytes_per_second',
        '_free_at',
    )

    def __init__(
        self,
        *,
        address: str,
        target: str,
        bytes_per_second: float | None = None,
    ) -> None:
        """Create the proxy, which does not listen yet."""
        self.fault = ''
        self._bytes_per_second = bytes_per_second
        # When the link has carried all bytes so far, by direction.
        self._free_at = {True: 0.0, False: 0.0}
        self._target = _split_address(target)
        self._links: set[_Link] = set()
        self._server = StreamServer(_split_address(address), self._serve)

    def start(self) -> None:
        """Listen for streams."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and reset all streams."""
        self._server.stop(timeout=0)
        self.reset_links()

    def reset_links(self) -> None:
        """Reset all open streams."""
        while self._links:
            self._links.pop().reset()

    def silence_links(self) -> None:
        """Let all open streams go silent for good; new ones work."""
        for link in self._links:
            link.is_silent = True

    def _serve(self, near: Any, address: object) -> None:
        try:
            far = socket.create_connection(self._target)
        except OSError:
            # The daemon is down; the dialling daemon sees the end.
            return
        link = _Link(near=near, far=far)
        self._links.add(link)
        if self.fault == 'cut':
            self.reset_links()
            return
        gevent.joinall(
            [
                gevent.spawn(self._forward, link, is_back=False),
                gevent.spawn(self._forward, link, is_back=True),
            ]
        )
        self._links.discard(link)
        far.close()

    def _forward(self, link: _Link, *, is_back: bool) -> None:
        source, sink = link.near, link.far
        if is_back:
            source, sink = sink, source
        try:
            while part := source.recv(self._part_bytes):
                self._hold(link, is_back=is_back)
                self._pace(len(part), is_back=is_back)
                sink.sendall(part)
            self._hold(link, is_back=is_back)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One side has ended, which the other side has to see.
            link.reset()

    @property
    def _part_bytes(self) -> int:
        is_slow = self._bytes_per_second is not None
        return SLOW_RECEIVE_BYTES if is_slow else RECEIVE_BYTES

    def _pace(self, size: int, *, is_back: bool) -> None:
        """Wait until the link has carried bytes after all before them."""
        if self._bytes_per_second is None:
            return
        now = monotonic()
        begins_at = max(self._free_at[is_back], now - SLACK_SECONDS)
        self._free_at[is_back] = begins_at + size / self._bytes_per_second
        gevent.sleep(max(0, self._free_at[is_back] - now))

    def _hold(self, link: _Link, *, is_back: bool) -> None:
        while not link.is_closed and (
            link.is_silent
            or self.fault == 'hang'
            or (is_back and self.fault == 'one-way')
        ):
            gevent.sleep(POLL_SECONDS)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
