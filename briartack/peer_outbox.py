"""What waits to be written to one peer."""

from collections import deque
from typing import Final, final

from briartack.core.messages import MAX_CHUNK_BYTES, Chunk
from briartack.core.units import AttemptId
from briartack.framing import encode

MAX_QUEUED_BYTES: Final = 33_554_432


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
class PeerOutbox:
    """Queue frames, and bodies that leave in chunks between them."""

    __slots__ = ('_frames', '_frame_bytes', '_bodies', '_body_bytes')

    def __init__(self) -> None:
        """Start empty."""
        self._frames: deque[bytes] = deque()
        self._frame_bytes = 0
        self._bodies: deque[_BulkBody] = deque()
        self._body_bytes = 0

    @property
    def queued_bytes(self) -> int:
        """Count what waits to be written."""
        return self._frame_bytes + self._body_bytes

    @property
    def is_over_limit(self) -> bool:
        """Tell whether the peer reads too slowly."""
        return self.queued_bytes > MAX_QUEUED_BYTES

    def queue(self, frame: bytes) -> None:
        """Append a frame."""
        self._frames.append(frame)
        self._frame_bytes += len(frame)

    def queue_body(
        self,
        *,
        attempt_id: AttemptId,
        of_answer: bool,
        body: bytes,
    ) -> None:
        """Append a body that leaves in chunks."""
        self._bodies.append(
            _BulkBody(
                attempt_id=attempt_id,
                of_answer=of_answer,
                body=body,
            ),
        )
        self._body_bytes += len(body)

    def drop_body(self, attempt_id: AttemptId) -> None:
        """Stop sending the bodies of a withdrawn attempt."""
        self._bodies = deque(
            body for body in self._bodies if body.attempt_id != attempt_id
        )
        self._body_bytes = sum(body.left_bytes for body in self._bodies)

    def take_frames(self) -> bytes:
        """Take all frames in one piece."""
        if len(self._frames) == 1:
            whole = self._frames[0]
        else:
            whole = b''.join(self._frames)
        self._frames.clear()
        self._frame_bytes = 0
        return whole

    def take_next(self) -> bytes:
        """Take all frames and one chunk, so no body delays a frame."""
        whole = self.take_frames()
        if not self._bodies:
            return whole
        body = self._bodies.popleft()
        chunk = body.next_chunk()
        self._body_bytes -= len(chunk.payload)
        if body.left_bytes:
            self._bodies.append(body)
        return whole + encode(chunk)

    def clear(self) -> None:
        """Forget everything."""
        self._frames.clear()
        self._bodies.clear()
        self._frame_bytes = 0
        self._body_bytes = 0
