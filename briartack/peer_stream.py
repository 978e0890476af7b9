"""One msgpack stream to or from a peer: frames out, messages in."""

import os
from collections import deque
from collections.abc import Iterator
from typing import Final, final

import gevent
from gevent import socket

from briartack.core.messages import (
    MAX_CHUNK_BYTES,
    Chunk,
    Hello,
    PeerMessage,
)
from briartack.core.units import AttemptId
from briartack.framing import FrameReader, encode

MAX_QUEUED_BYTES: Final = 33_554_432
_RECEIVE_BYTES: Final = 262144
_CLOSE_SECONDS: Final = 5.0
_DRAIN_STEP_SECONDS: Final = 0.01


@final
class _BulkBody:
    """Hold a body that leaves in chunks between smaller messages."""

    __slots__ = ('attempt_id', 'of_answer', '_body', '_offset')

    def __init__(
        self,
        *,
        attempt_id: AttemptId,
        of_answer: bool,
        body: bytes,
    ) -> None:
        self.attempt_id: Final = attempt_id
        self.of_answer: Final = of_answer
        self._body = body
        self._offset = 0

    @property
    def left_bytes(self) -> int:
        """Count the bytes that have not become chunks."""
        return len(self._body) - self._offset

    def next_chunk(self) -> Chunk:
        """Cut off the next chunk."""
        offset = self._offset
        self._offset = min(offset + MAX_CHUNK_BYTES, len(self._body))
        return Chunk(
            attempt_id=self.attempt_id,
            of_answer=self.of_answer,
            offset=offset,
            payload=self._body[offset : self._offset],
        )


@final
class PeerStream:
    """Read and write one connected socket."""

    __slots__ = (
        '_sock',
        '_descriptor',
        '_frames',
        '_pending',
        '_pending_bytes',
        '_bulk',
        '_bulk_bytes',
        '_is_writing',
        '_is_ending',
        '_is_closed',
        '_remote_address',
        'hello',
        'is_outgoing',
    )

    def __init__(
        self,
        *,
        sock: socket.socket,
        is_outgoing: bool,
    ) -> None:
        """Take over a connected socket."""
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NODELAY,
            1,
        )
        self.is_outgoing: Final = is_outgoing
        self.hello: Hello | None = None
        self._sock = sock
        self._descriptor = sock.fileno()
        self._frames = FrameReader()
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        self._bulk: deque[_BulkBody] = deque()
        self._bulk_bytes = 0
        self._is_writing = False
        self._is_ending = False
        self._is_closed = False
        self._remote_address = _remote_address(sock)

    @property
    def queued_bytes(self) -> int:
        """Count what waits to be written."""
        return self._pending_bytes + self._bulk_bytes

    @property
    def is_over_limit(self) -> bool:
        """Tell whether the peer reads too slowly."""
        return self.queued_bytes > MAX_QUEUED_BYTES

    @property
    def is_closed(self) -> bool:
        """Tell whether the socket has been closed here."""
        return self._is_closed

    @property
    def remote_address(self) -> str:
        """Return the address of the other side, for logs."""
        return self._remote_address

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

    def queue(self, frame: bytes) -> None:
        """Append a frame; `flush` sends it."""
        self._pending.append(frame)
        self._pending_bytes += len(frame)

    def queue_body(
        self,
        *,
        attempt_id: AttemptId,
        of_answer: bool,
        body: bytes,
    ) -> None:
        """Append a body that leaves in chunks."""
        self._bulk.append(
            _BulkBody(
                attempt_id=attempt_id,
                of_answer=of_answer,
                body=body,
            ),
        )
        self._bulk_bytes += len(body)

    def drop_body(self, attempt_id: AttemptId) -> None:
        """Stop sending the bodies of a withdrawn attempt."""
        self._bulk = deque(
            body for body in self._bulk if body.attempt_id != attempt_id
        )
        self._bulk_bytes = sum(body.left_bytes for body in self._bulk)

    def flush(self) -> None:
        """Write what the socket takes now and leave the rest to a greenlet."""
        if self._is_closed or self._is_writing:
            return
        rest = self._write_now(self._take_pending())
        if rest or self._bulk or self._is_ending:
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
            self._pending.clear()
            self._bulk.clear()
            self._pending_bytes = 0
            self._bulk_bytes = 0
            self._sock.close()

    def _take_pending(self) -> bytes:
        whole = (
            self._pending[0]
            if len(self._pending) == 1
            else b''.join(self._pending)
        )
        self._pending.clear()
        self._pending_bytes = 0
        return whole

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
        while not self._is_closed and (self._pending or self._bulk):
            # Small messages go first, so a large body does not delay them.
            if self._pending:
                self._sock.sendall(self._take_pending())
            if self._bulk:
                self._sock.sendall(self._next_chunk())
        if self._is_ending:
            self._shutdown(socket.SHUT_WR)

    def _next_chunk(self) -> bytes:
        body = self._bulk.popleft()
        chunk = body.next_chunk()
        self._bulk_bytes -= len(chunk.payload)
        if body.left_bytes:
            self._bulk.append(body)
        return encode(chunk)

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
