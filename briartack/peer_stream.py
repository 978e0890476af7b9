"""Write frames to and read messages from the socket of one peer."""

import os
from collections.abc import Iterator
from typing import Final, final

import gevent
from gevent import socket

from briartack.core.messages import (
    Hello,
    PeerMessage,
)
from briartack.core.units import AttemptId
from briartack.framing import (
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    FrameReader,
)
from briartack.memory_budget import MemoryBudget
from briartack.peer_outbox import PeerOutbox
from briartack.peer_traffic import PeerTraffic
from briartack.socket_options import (
    configure_socket,
    count_unacknowledged_bytes,
    limit_receive_buffer,
)
from briartack.turns import TurnLimit

# The system would enlarge the buffer of a busy stream to megabytes, and unread
# bytes count towards the memory of the process. Linux announces a window of one
# and a half times as much, which carries 8 MB/s over round trips of 24 ms.
_RECEIVE_BUFFER_BYTES: Final = 131_072
_MAX_RECEIVE_BYTES: Final = 262144
# One buffer serves all streams, since its bytes are copied before another
# greenlet runs. A buffer for each read would be larger than most messages.
_RECEIVE_BUFFER: Final = memoryview(bytearray(_MAX_RECEIVE_BYTES))
_DRAIN_TIMEOUT_SECONDS: Final = 5.0
_DRAIN_POLL_SECONDS: Final = 0.01


@final
class PeerStream:
    """Represent the stream to one peer over a connected socket."""

    __slots__ = (
        '_sock',
        '_descriptor',
        '_frame_reader',
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
        memory: MemoryBudget,
    ) -> None:
        """Set the options of a connected socket and take its ownership.

        An accepted one has the small receive buffer of the port until the peer
        has introduced itself.
        """
        configure_socket(sock)
        if is_outgoing:
            limit_receive_buffer(sock, _RECEIVE_BUFFER_BYTES)
        self.is_outgoing: Final = is_outgoing
        self.outbox: Final = PeerOutbox(memory=memory)
        self.traffic: Final = traffic
        self.hello: Hello | None = None
        self._sock = sock
        self._descriptor = sock.fileno()
        self._frame_reader = FrameReader()
        self._frame_reader.max_frame_bytes = MAX_HELLO_BYTES
        self._is_writing = False
        self._is_ending = False
        self._is_closed = False
        self._remote_address = _format_remote_address(sock)

    @property
    def is_closed(self) -> bool:
        """Return whether this side has closed the socket."""
        return self._is_closed

    @property
    def grants_answers(self) -> bool:
        """Return whether the peer grants the large answers that it gets."""
        return self.hello is not None and self.hello.grants_answers

    def needs_grant(self, body_bytes: int) -> bool:
        """Return whether the body of an attempt waits for the peer's grant."""
        if self.hello is None or self.hello.ungranted_body_bytes is None:
            return False
        return body_bytes > self.hello.ungranted_body_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that the peer has yet to get."""
        outbox_bytes = self.outbox.queued_bytes + self.outbox.waiting_bytes
        return outbox_bytes + count_unacknowledged_bytes(self._sock)

    @property
    def remote_address(self) -> str:
        """Return the address of the peer as HOST:PORT, for logs."""
        return self._remote_address

    @property
    def last_frame_bytes(self) -> int:
        """Return the encoded size of the last received message in bytes."""
        return self._frame_reader.last_frame_bytes

    def introduce(self, hello: Hello, own_hello: bytes) -> None:
        """Record the hello of the peer, and answer it on an accepted stream.

        The peer may send large messages from now on.
        """
        self.hello = hello
        if not self.is_outgoing:
            limit_receive_buffer(self._sock, _RECEIVE_BUFFER_BYTES)
            # The dialler must not end a redundant stream before this side has
            # registered the new stream, so the acceptor sends its hello second.
            self.outbox.queue(own_hello)
            self.flush()

    def take_refused(self) -> tuple[str, ...]:
        """Return why elements of messages were left out since the last call."""
        return self._frame_reader.take_refused()

    def set_timeout(self, seconds: float | None) -> None:
        """Limit the time of each socket operation; None removes the limit."""
        if not self._is_closed:
            self._sock.settimeout(seconds)

    def read_messages(self) -> Iterator[PeerMessage]:
        """Yield messages until the peer ends or this side closes the stream.

        Raises MalformedFrameError and OSError.
        """
        turn = TurnLimit()
        while True:
            count = self._sock.recv_into(_RECEIVE_BUFFER)
            if not count:
                return
            for message in self._frame_reader.feed(_RECEIVE_BUFFER[:count]):
                yield message
                # The first message introduces the peer.
                self._frame_reader.max_frame_bytes = MAX_FRAME_BYTES
                # One read may hold thousands of messages.
                turn.count_read(self.last_frame_bytes)
                if self._is_closed:
                    return

    def flush(self) -> None:
        """Write what the socket accepts now and the rest in a greenlet."""
        if self._is_closed or self._is_writing:
            return
        rest = self._write_available(self.outbox.take_frames())
        if rest or self.outbox.queued_bytes or self._is_ending:
            self._is_writing = True
            gevent.spawn(self._write_rest, rest)

    def end(self) -> None:
        """Close the sending side once all bytes are written.

        Answers that wait for a grant are written after it.
        """
        if not self._is_ending:
            self._is_ending = True
            self.flush()

    def grant(self, attempt_id: AttemptId) -> None:
        """Send the body for which the peer has room."""
        attempt_bytes = self.outbox.grant(attempt_id)
        if attempt_bytes:
            # Those of answers were counted as they began to wait.
            self.traffic.count_sent(attempt_bytes, is_call_traffic=True)
        self.flush()

    def drop_answer(self, attempt_id: AttemptId) -> None:
        """Give up the body of an answer that the peer doesn't need."""
        self.outbox.drop_body(attempt_id)
        self.flush()

    def expire_answer(self, attempt_id: AttemptId) -> None:
        """Give up the body of an answer if it still waits for a grant."""
        self.outbox.drop_waiting(attempt_id)
        self.flush()

    def drain(self) -> None:
        """End the stream and wait at most 5 s for the sending side to close."""
        self.end()
        with gevent.Timeout(_DRAIN_TIMEOUT_SECONDS, exception=False):
            while self._is_writing and not self._is_closed:
                gevent.sleep(_DRAIN_POLL_SECONDS)

    def close(self) -> None:
        """Close the socket at once and drop the queued bytes."""
        if not self._is_closed:
            self._is_closed = True
            self.outbox.clear()
            self._sock.close()

    def _write_available(self, frames: bytes) -> bytes:
        # A direct write avoids a switch to another greenlet. The descriptor is
        # non-blocking, like that of every gevent socket.
        if not frames:
            return frames
        try:
            written = os.write(self._descriptor, frames)
        except BlockingIOError:
            return frames
        except OSError:
            # The reading greenlet gets the same error and ends the stream.
            return b''
        return frames[written:]

    def _write_rest(self, rest: bytes) -> None:
        try:
            self._write_all(rest)
        except OSError:
            # Unblock the reading greenlet, which ends the stream.
            self._shut_down(socket.SHUT_RDWR)
        finally:
            self._is_writing = False

    def _write_all(self, rest: bytes) -> None:
        self._sock.sendall(rest)
        while not self._is_closed and self.outbox.queued_bytes:
            self._sock.sendall(self.outbox.take_frames_and_chunk())
        if self._is_ending and not self.outbox.waiting_bytes:
            self._shut_down(socket.SHUT_WR)

    def _shut_down(self, how: int) -> None:
        if self._is_closed:
            return
        try:
            self._sock.shutdown(how)
        except OSError:
            self.close()


def _format_remote_address(sock: socket.socket) -> str:
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return 'closed'
    return f'{host}:{port}'
