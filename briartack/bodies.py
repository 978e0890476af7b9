"""Bodies of requests and answers, which the core names but never sees.

The names are those of `briartack.core.body_ids`; the core says when a body is
no longer needed.
"""

from typing import Final, final

from briartack.core.messages import MAX_BODY_BYTES, Answer, Attempt, Chunk
from briartack.core.units import BodyId
from briartack.framing import MalformedFrameError, digest_of

EMPTY_BODY: Final = b''


@final
class Bodies:
    """Hold the bodies that calls and attempts in flight need."""

    __slots__ = ('_bodies',)

    def __init__(self) -> None:
        """Start without bodies."""
        self._bodies: dict[BodyId, bytes] = {}

    def __len__(self) -> int:
        """Count the bodies, so that a leak shows in the metrics."""
        return len(self._bodies)

    def put(self, body_id: BodyId, body: bytes) -> None:
        """Keep a body; an empty one needs no place."""
        if body:
            self._bodies[body_id] = body

    def get(self, body_id: BodyId | None) -> bytes:
        """Return a body; one without an identifier is empty."""
        if body_id is None:
            return EMPTY_BODY
        return self._bodies.get(body_id, EMPTY_BODY)

    def drop(self, body_id: BodyId) -> None:
        """Forget a body."""
        self._bodies.pop(body_id, None)


@final
class Assembly:
    """Put the chunks of one body together and verify them."""

    __slots__ = ('_head', '_parts', '_received')

    def __init__(self, head: Attempt | Answer) -> None:
        """Start with the message that announces the body.

        Raises MalformedFrameError.
        """
        if not 0 < head.body_bytes <= MAX_BODY_BYTES:
            raise MalformedFrameError(
                f'body of {head.body_bytes} bytes is announced',
            )
        self._head = head
        self._parts: list[bytes] = []
        self._received = 0

    @property
    def head(self) -> Attempt | Answer:
        """Return the message that announced the body."""
        return self._head

    def add(self, chunk: Chunk) -> bytes | None:
        """Add the next chunk and return the body once it is whole.

        Raises MalformedFrameError.
        """
        if chunk.offset != self._received or not chunk.payload:
            raise MalformedFrameError(
                f'chunk at {chunk.offset}, expected {self._received}',
            )
        self._parts.append(chunk.payload)
        self._received += len(chunk.payload)
        if self._received < self._head.body_bytes:
            return None
        body = EMPTY_BODY.join(self._parts)
        verify(self._head, body)
        return body


def verify(head: Attempt | Answer, body: bytes) -> None:
    """Compare a body with what its message announced.

    Raises MalformedFrameError.
    """
    if len(body) != head.body_bytes:
        raise MalformedFrameError(
            f'body has {len(body)} bytes, announced {head.body_bytes}',
        )
    if body and digest_of(body) != head.body_digest:
        raise MalformedFrameError('body does not match its digest')
