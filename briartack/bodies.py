"""Store request and response bodies, and reassemble chunked bodies.

The core refers to a body only by its identifier from
`briartack.core.body_ids`, never sees the bytes, and emits `DropBody` when it
no longer needs the body.
"""

import io
from typing import Final, final

from briartack.core.messages import (
    MAX_ALLOWED_BODY_BYTES,
    MAX_BODY_BYTES,
    MAX_CHUNK_BYTES,
    Answer,
    Attempt,
    Chunk,
)
from briartack.core.units import BodyId
from briartack.framing import MalformedFrameError, compute_body_digest
from briartack.memory_budget import Lease, MemoryBudget

EMPTY_BODY: Final = b''


@final
class BodyStore:
    """Map body identifiers to the bodies of calls and attempts in flight.

    Each body has a lease on the memory budget until it is dropped.
    """

    __slots__ = ('_bodies', '_leases', '_memory')

    def __init__(self, *, memory: MemoryBudget) -> None:
        self._bodies: dict[BodyId, bytes] = {}
        self._leases: dict[BodyId, Lease] = {}
        self._memory = memory

    def __len__(self) -> int:
        """Return the number of bodies, reported as a metric to reveal leaks."""
        return len(self._bodies)

    @property
    def memory(self) -> MemoryBudget:
        """Return the budget of everything that the daemon holds."""
        return self._memory

    def put(
        self, body_id: BodyId, body: bytes, lease: Lease | None = None
    ) -> None:
        """Store a body under its identifier; an empty body is not stored.

        `lease` is the one that was reserved for the body, if any.
        """
        self.drop(body_id)
        if lease is None:
            lease = self._memory.lease()
        lease.resize(len(body))
        if body:
            self._bodies[body_id] = body
            self._leases[body_id] = lease

    def get(self, body_id: BodyId | None) -> bytes:
        """Return the stored body, or an empty body if none is stored."""
        if body_id is None:
            return EMPTY_BODY
        return self._bodies.get(body_id, EMPTY_BODY)

    def drop(self, body_id: BodyId) -> None:
        """Delete a body if it is stored."""
        self._bodies.pop(body_id, None)
        lease = self._leases.pop(body_id, None)
        if lease is not None:
            lease.release()


@final
class BodyAssembler:
    """Reassemble one body from its chunks and verify its digest."""

    __slots__ = ('_head', '_received', 'lease')

    def __init__(self, head: Attempt | Answer, lease: Lease) -> None:
        """Prepare for the chunks that follow the announcing message.

        `lease` grows with the body, unless it has its whole size already.
        """
        self._head = head
        # Its value shares the memory in which the chunks are collected.
        self._received = io.BytesIO()
        self.lease: Final = lease

    @property
    def head(self) -> Attempt | Answer:
        """Return the message that announced the body."""
        return self._head

    def add(self, chunk: Chunk) -> bytes | None:
        """Append the next chunk; return the body once it is complete.

        Raises MalformedFrameError if the chunk is empty or out of order, or
        if the complete body differs from its announcement.
        """
        received_bytes = self._received.tell()
        if chunk.offset != received_bytes or not chunk.payload:
            raise MalformedFrameError(
                f'chunk at offset {chunk.offset}, expected {received_bytes}',
            )
        received_bytes += self._received.write(chunk.payload)
        if received_bytes > self.lease.size:
            self.lease.resize(received_bytes)
        if received_bytes < self._head.body_bytes:
            return None
        body = self._received.getvalue()
        verify_body(self._head, body)
        return body


def verify_announcement(head: Attempt | Answer) -> None:
    """Check the size of an announced body, and that it is sent as agreed.

    Raises MalformedFrameError.
    """
    most = MAX_BODY_BYTES
    if isinstance(head, Attempt):
        most = MAX_ALLOWED_BODY_BYTES
    if not 0 <= head.body_bytes <= most:
        raise MalformedFrameError(
            f'announced body of {head.body_bytes} bytes is out of range',
        )
    is_inline = head.body_bytes <= MAX_CHUNK_BYTES and not is_held_attempt(head)
    if is_inline:
        verify_body(head, head.body)
    elif head.body:
        raise MalformedFrameError(
            'a body that has to be sent in chunks is inline'
        )


def is_held_attempt(head: Attempt | Answer) -> bool:
    """Return whether a message announces a request body without sending it."""
    return (
        isinstance(head, Attempt) and head.awaits_grant and head.body_bytes > 0
    )


def verify_body(head: Attempt | Answer, body: bytes) -> None:
    """Check a body against the length and digest in its message.

    Raises MalformedFrameError if either differs.
    """
    if len(body) != head.body_bytes:
        raise MalformedFrameError(
            f'body has {len(body)} bytes, expected {head.body_bytes}',
        )
    if body and compute_body_digest(body) != head.body_digest:
        raise MalformedFrameError('body does not match its digest')
