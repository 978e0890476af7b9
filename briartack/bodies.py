"""Bodies of requests and answers, which the core names but never sees.

Request bodies and answer bodies are kept apart, so the identifier of an
attempt can name both.
"""

from typing import Final, final

from briartack.core.messages import MAX_BODY_BYTES, Answer, Attempt, Chunk
from briartack.framing import MalformedFrameError, digest_of

EMPTY_BODY: Final = b''


@final
class Bodies:
    """Hold the bodies that calls and attempts in flight need."""

    __slots__ = ('_requests', '_answers')

    def __init__(self) -> None:
        """Start without bodies."""
        self._requests: dict[str, bytes] = {}
        self._answers: dict[str, bytes] = {}

    def __len__(self) -> int:
        """Count the bodies, so that a leak shows in the metrics."""
        return len(self._requests) + len(self._answers)

    def put_request(self, body_id: str, body: bytes) -> None:
        """Keep the body of a request; an empty one needs no place."""
        if body:
            self._requests[body_id] = body

    def put_answer(self, body_id: str, body: bytes) -> None:
        """Keep the body of an answer; an empty one needs no place."""
        if body:
            self._answers[body_id] = body

    def request(self, body_id: str) -> bytes:
        """Return the body of a request."""
        return self._requests.get(body_id, EMPTY_BODY)

    def answer(self, body_id: str | None) -> bytes:
        """Return the body of an answer."""
        if body_id is None:
            return EMPTY_BODY
        return self._answers.get(body_id, EMPTY_BODY)

    def drop(self, body_id: str) -> None:
        """Forget the bodies under an identifier."""
        self._requests.pop(body_id, None)
        self._answers.pop(body_id, None)


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
