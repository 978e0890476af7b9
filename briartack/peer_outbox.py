"""Queue the frames and bodies to be written to one peer."""

from collections import deque
from time import monotonic
from typing import Final, TypeAlias, final

import gevent

from briartack.core.messages import (
    MAX_CHUNK_BYTES,
    Chunk,
)
from briartack.core.units import AttemptId
from briartack.framing import encode
from briartack.memory_budget import MemoryBudget
from briartack.socket_options import DEFAULT_SILENCE_SECONDS

# A peer whose queue exceeds this size reads too slowly.
MAX_QUEUED_BYTES: Final = 33_554_432
# Bodies that wait for a silent peer take at most this part of the memory.
_MAX_SILENT_SHARE: Final = 0.25
# Several large answers may be ready faster than a link carries them. More of
# them are kept while the stream doesn't count as silent.
MAX_QUEUED_BODY_BYTES: Final = 3 * MAX_QUEUED_BYTES
# So are requests that operators allow to be larger than an answer.
_MAX_QUEUED_BODIES: Final = 3


# The body of an answer, and what ends its wait at the deadline, if anything.
_WaitingAnswer: TypeAlias = tuple[bytes, gevent.Greenlet | None]


@final
class _ChunkedBody:
    """Hold a body that is sent in chunks, and the offset of the next chunk."""

    __slots__ = ('attempt_id', 'is_answer', '_body', '_offset')

    def __init__(
        self,
        *,
        attempt_id: AttemptId,
        is_answer: bool,
        body: bytes,
    ) -> None:
        self.attempt_id: Final = attempt_id
        self.is_answer: Final = is_answer
        self._body = body
        self._offset = 0

    @property
    def held_bytes(self) -> int:
        """Return the size of the body, which is held to its last chunk."""
        return len(self._body)

    @property
    def remaining_bytes(self) -> int:
        """Return the number of bytes not yet taken in chunks."""
        return len(self._body) - self._offset

    def take_chunk(self) -> Chunk:
        """Remove and return the next chunk."""
        offset = self._offset
        self._offset = min(offset + MAX_CHUNK_BYTES, len(self._body))
        return Chunk(
            attempt_id=self.attempt_id,
            is_answer=self.is_answer,
            offset=offset,
            payload=self._body[offset : self._offset],
        )


@final
class PeerOutbox:
    """Queue frames, and large bodies whose chunks are sent between frames."""

    __slots__ = (
        '_frames',
        '_frame_bytes',
        '_bodies',
        '_body_bytes',
        '_waiting',
        '_waiting_bytes',
        '_held_attempts',
        '_body_taken_at',
        '_memory',
        '_lease',
    )

    def __init__(self, *, memory: MemoryBudget) -> None:
        """Start empty; queued frames and answers count towards the budget.

        The body of an attempt is counted where it is stored.
        """
        self._memory = memory
        self._lease = memory.lease()
        self._frames: deque[bytes] = deque()
        self._frame_bytes = 0
        self._bodies: deque[_ChunkedBody] = deque()
        self._body_bytes = 0
        # Answers for which the peer has yet to send a grant.
        self._waiting: dict[AttemptId, _WaitingAnswer] = {}
        self._waiting_bytes = 0
        # Bodies of attempts that the peer has yet to grant.
        self._held_attempts: dict[AttemptId, bytes] = {}
        self._body_taken_at: float = 0  # monotonic seconds

    @property
    def queued_bytes(self) -> int:
        """Return the number of bytes of frames and bodies to be sent now."""
        return self._frame_bytes + self._body_bytes

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the answers that wait for a grant of the peer."""
        return self._waiting_bytes

    @property
    def is_over_limit(self) -> bool:
        """Return whether the queue exceeds the limit of frames or bodies."""
        if self._frame_bytes > MAX_QUEUED_BYTES:
            return True
        silent_bytes = _MAX_SILENT_SHARE * self._memory.max_bytes
        if self._body_bytes <= min(MAX_QUEUED_BYTES, silent_bytes):
            return False
        stalled_seconds = monotonic() - self._body_taken_at
        return (
            stalled_seconds > DEFAULT_SILENCE_SECONDS
            or self._body_bytes > self._max_body_bytes
        )

    def queue(self, frame: bytes) -> None:
        """Append a frame to the queue."""
        self._frames.append(frame)
        self._frame_bytes += len(frame)
        self._count()

    def queue_body(
        self,
        *,
        attempt_id: AttemptId,
        is_answer: bool,
        body: bytes,
    ) -> None:
        """Append a body that is sent in chunks."""
        if not self._bodies:
            self._body_taken_at = monotonic()
        self._bodies.append(
            _ChunkedBody(
                attempt_id=attempt_id,
                is_answer=is_answer,
                body=body,
            ),
        )
        self._body_bytes += len(body)
        self._count()

    def hold_answer(
        self, attempt_id: AttemptId, body: bytes, timer: gevent.Greenlet | None
    ) -> None:
        """Keep the body of an answer until the peer sends a grant.

        `timer` is killed at the end of the wait.
        """
        self._waiting[attempt_id] = (body, timer)
        self._waiting_bytes += len(body)
        self._count()

    def hold_attempt(self, attempt_id: AttemptId, body: bytes) -> None:
        """Keep the body of an attempt until the peer sends a grant."""
        self._held_attempts[attempt_id] = body

    def grant(self, attempt_id: AttemptId) -> int:
        """Send the body that waits for a grant, unless it has been dropped.

        Returns the size of the body if it is that of an attempt.
        """
        held = self._held_attempts.pop(attempt_id, None)
        if held is not None:
            self.queue_body(attempt_id=attempt_id, is_answer=False, body=held)
            return len(held)
        body = self.drop_waiting(attempt_id)
        if body:
            self.queue_body(attempt_id=attempt_id, is_answer=True, body=body)
        return 0

    def take_over(self, other: 'PeerOutbox') -> None:
        """Keep the bodies that wait in another queue to the same peer."""
        self._held_attempts.update(other._held_attempts)  # noqa: SLF001
        other._held_attempts.clear()  # noqa: SLF001
        waiting = other._waiting  # noqa: SLF001
        for attempt_id, (body, timer) in waiting.items():
            self.hold_answer(attempt_id, body, timer)
        waiting.clear()
        other.clear_waiting()

    def drop_waiting(self, attempt_id: AttemptId) -> bytes:
        """Remove and return the body of an answer that waits for a grant."""
        body, timer = self._waiting.pop(attempt_id, (b'', None))
        _stop(timer)
        self._waiting_bytes -= len(body)
        self._count()
        return body

    def clear_waiting(self) -> None:
        """Remove all answers that wait for a grant."""
        for _, timer in self._waiting.values():
            _stop(timer)
        self._waiting.clear()
        self._waiting_bytes = 0
        self._count()

    def drop_body(self, attempt_id: AttemptId) -> None:
        """Remove the bodies of an attempt that has ended."""
        self._held_attempts.pop(attempt_id, None)
        self.drop_waiting(attempt_id)
        if not self._bodies:
            return
        self._bodies = deque(
            body for body in self._bodies if body.attempt_id != attempt_id
        )
        self._body_bytes = sum(body.remaining_bytes for body in self._bodies)
        self._count()

    def take_frames(self) -> bytes:
        """Remove all frames and return their concatenation."""
        if len(self._frames) == 1:
            frames = self._frames[0]
        else:
            frames = b''.join(self._frames)
        self._frames.clear()
        self._frame_bytes = 0
        self._count()
        return frames

    def take_frames_and_chunk(self) -> bytes:
        """Remove all frames and one chunk and return their concatenation.

        Frames go first and bodies take turns, so no body delays a frame.
        """
        frames = self.take_frames()
        if not self._bodies:
            return frames
        body = self._bodies.popleft()
        chunk = body.take_chunk()
        self._body_taken_at = monotonic()
        self._body_bytes -= len(chunk.payload)
        if body.remaining_bytes:
            self._bodies.append(body)
        self._count()
        return frames + encode(chunk)

    def clear(self) -> None:
        """Remove all frames and bodies."""
        self._frames.clear()
        self._bodies.clear()
        self._held_attempts.clear()
        self._frame_bytes = 0
        self._body_bytes = 0
        self.clear_waiting()

    @property
    def _max_body_bytes(self) -> int:
        largest_bytes = max(body.held_bytes for body in self._bodies)
        return max(MAX_QUEUED_BODY_BYTES, _MAX_QUEUED_BODIES * largest_bytes)

    def _count(self) -> None:
        answer_bytes = sum(
            body.held_bytes for body in self._bodies if body.is_answer
        )
        self._lease.resize(
            self._frame_bytes + answer_bytes + self._waiting_bytes
        )


def _stop(timer: gevent.Greenlet | None) -> None:
    # The timer itself may be what drops the answer.
    if timer is not None and timer is not gevent.getcurrent():
        timer.kill(block=False)
