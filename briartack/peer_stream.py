"""One msgpack stream to or from a peer: frames out, messages in."""

import os
from collections.abc import Iterator
from typing import Final, final

import gevent
from gevent import socket

from briartack.core.messages import (
    Hello,
    PeerMessage,
)
from briartack.framing import FrameReader
from briartack.peer_outbox import PeerOutbox
from briartack.peer_traffic import PeerTraffic
from briartack.sockets import prepare

_RECEIVE_BYTES: Final = 262144
_CLOSE_SECONDS: Final = 5.0
_DRAIN_STEP_SECONDS: Final = 0.01


@final
class PeerStream:
    """Read and write one connected socket."""

    __slots__ = (
        '_sock',
        '_descriptor',
        '_frames',
        '_is_writing',
        '_is_ending',
        '_is_closed',
        '_remote_address',
        'hello',
        'is_outgoing',
        'outbox',
        'traffic',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        is_outgoing: bool,
        traffic: PeerTraffic,
    ) -> None:
        """Take over a connected socket."""
        prepare(sock)
        self.is_outgoing: Final = is_outgoing
        self.outbox: Final = PeerOutbox()
        self.traffic: Final = traffic
        self.hello: Hello | None = None
        self._sock = sock
        self._descriptor = sock.fileno()
        self._frames = FrameReader()
        self._is_writing = False
        self._is_ending = False
        self._is_closed = False
        self._remote_address = _remote_address(sock)

    @property
    def is_closed(self) -> bool:
        """Tell whether the socket has been closed here."""
        return self._is_closed

    @property
    def remote_address(self) -> str:
        """Return the address of the other side, for logs."""
        return self._remote_address

    @property
    def frame_bytes(self) -> int:
        """Return the size on the wire of the last message received."""
        return self._frames.frame_bytes

    def set_timeout(self, seconds: float | None) -> None:
        """Bound the time that the next messages may take."""
        if not self._is_closed:
            self._sock.settimeout(seconds)

    def messages(self) -> Iterator[PeerMessage]:
        """Yield messages until the peer ends the stream.

        Raises MalformedFrameError and OSError.
        """
        while True:
            received = self._sock.recv(_RECEIVE_BYTES)
            if not received:
                return
            yield from self._frames.feed(received)

    def flush(self) -> None:
        """Write what the socket takes now and leave the rest to a greenlet."""
        if self._is_closed or self._is_writing:
            return
        rest = self._write_now(self.outbox.take_frames())
        if rest or self.outbox.queued_bytes or self._is_ending:
            self._is_writing = True
            gevent.spawn(self._write_rest, rest)

    def end(self) -> None:
        """Close the sending side once everything is written."""
        if not self._is_ending:
            self._is_ending = True
            self.flush()

    def drain(self) -> None:
        """Wait until the sending side is closed, for a bounded time."""
        self.end()
        with gevent.Timeout(_CLOSE_SECONDS, exception=False):
            while self._is_writing and not self._is_closed:
                gevent.sleep(_DRAIN_STEP_SECONDS)

    def close(self) -> None:
        """Close the socket at once."""
        if not self._is_closed:
            self._is_closed = True
            self.outbox.clear()
            self._sock.close()

    def _write_now(self, whole: bytes) -> bytes:
        # A direct write saves a switch to another greenlet. The descriptor
        # is non-blocking, as those of all gevent sockets are.
        if not whole:
            return whole
        try:
            written = os.write(self._descriptor, whole)
        except BlockingIOError:
            return whole
        except OSError:
            # The reading greenlet meets the same error and ends the stream.
            return b''
        return whole[written:]

    def _write_rest(self, rest: bytes) -> None:
        try:
            self._write_all(rest)
        except OSError:
            # The reading greenlet ends the stream.
            self._shutdown(socket.SHUT_RDWR)
        finally:
            self._is_writing = False

    def _write_all(self, rest: bytes) -> None:
        self._sock.sendall(rest)
        while not self._is_closed and self.outbox.queued_bytes:
            self._sock.sendall(self.outbox.take_next())
        if self._is_ending:
            self._shutdown(socket.SHUT_WR)

    def _shutdown(self, how: int) -> None:
        if self._is_closed:
            return
        try:
            self._sock.shutdown(how)
        except OSError:
            self.close()


def _remote_address(sock: socket.socket) -> str:
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return 'closed'
    return f'{host}:{port}'
