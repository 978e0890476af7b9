"""Pass messages from peers to the reducer, and store their bodies.

Bodies that arrive in chunks are assembled here.
"""

from typing import TypeAlias, final

import msgspec

from briartack.bodies import BodyAssembler, BodyStore, verify_body
from briartack.core.body_ids import answer_body_id, attempt_body_id
from briartack.core.events import AttemptBodyRead, PeerMessageReceived
from briartack.core.messages import (
    MAX_CHUNK_BYTES,
    Answer,
    Attempt,
    Cancel,
    Chunk,
    Hello,
    PeerMessage,
)
from briartack.core.units import AttemptId, InstanceId
from briartack.framing import MalformedFrameError
from briartack.shell_interfaces import Clock, DeliverEvent

# The bool says whether the body is that of an answer.
_AssemblyKey: TypeAlias = tuple[InstanceId, AttemptId, bool]


@final
class PeerInbox:
    """Deliver the messages of peers as events and store their bodies."""

    __slots__ = ('_bodies', '_deliver', '_clock', '_assemblies')

    def __init__(
        self,
        *,
        bodies: BodyStore,
        deliver: DeliverEvent,
        clock: Clock,
    ) -> None:
        self._bodies = bodies
        self._deliver = deliver
        self._clock = clock
        self._assemblies: dict[_AssemblyKey, BodyAssembler] = {}

    def handle_message(self, peer: InstanceId, message: PeerMessage) -> None:
        """Deliver a message of a peer as an event, or add a chunk to a body.

        Raises MalformedFrameError.
        """
        if isinstance(message, Attempt | Answer):
            self._handle_head(peer, message)
        elif isinstance(message, Chunk):
            self._handle_chunk(peer, message)
        elif isinstance(message, Hello):
            raise MalformedFrameError('hello is repeated')
        else:
            if isinstance(message, Cancel):
                self.drop_request_body(peer, message.attempt_id)
            self._deliver_message(peer, message)

    def drop_request_body(
        self, peer: InstanceId, attempt_id: AttemptId
    ) -> None:
        """Ignore the remaining chunks of an unneeded request body."""
        self._assemblies.pop((peer, attempt_id, False), None)

    def drop_incomplete_bodies(self, peer: InstanceId) -> None:
        """Drop the incomplete bodies of a peer whose stream ended."""
        self._assemblies = {
            key: assembly
            for key, assembly in self._assemblies.items()
            if key[0] != peer
        }

    def _handle_head(
        self,
        peer: InstanceId,
        head: Attempt | Answer,
    ) -> None:
        is_answer = isinstance(head, Answer)
        if head.body_bytes > MAX_CHUNK_BYTES:
            if head.body:
                raise MalformedFrameError(
                    'a body above the chunk limit is sent inline'
                )
            key = (peer, head.attempt_id, is_answer)
            self._assemblies[key] = BodyAssembler(head)
            if not is_answer:
                self._deliver_message(peer, head)
            return
        body = head.body
        verify_body(head, body)
        if body:
            self._store_body(head, body)
            # The core receives only the size, so traces contain no payload.
            head = msgspec.structs.replace(head, body=b'')
        self._deliver_message(peer, head)
        if body and not is_answer:
            self._deliver_body_read(peer, head.attempt_id)

    def _handle_chunk(self, peer: InstanceId, chunk: Chunk) -> None:
        key = (peer, chunk.attempt_id, chunk.is_answer)
        assembly = self._assemblies.get(key)
        if assembly is None:
            # The attempt was withdrawn or refused while its chunks were in
            # transit.
            return
        body = assembly.add(chunk)
        if body is None:
            return
        self._assemblies.pop(key)
        self._store_body(assembly.head, body)
        if chunk.is_answer:
            self._deliver_message(peer, assembly.head)
        else:
            self._deliver_body_read(peer, chunk.attempt_id)

    def _deliver_body_read(
        self, peer: InstanceId, attempt_id: AttemptId
    ) -> None:
        self._deliver(
            AttemptBodyRead(
                now=self._clock(),
                peer=peer,
                attempt_id=attempt_id,
            ),
        )

    def _store_body(self, head: Attempt | Answer, body: bytes) -> None:
        if isinstance(head, Answer):
            self._bodies.put(answer_body_id(head.attempt_id), body)
        else:
            self._bodies.put(attempt_body_id(head.attempt_id), body)

    def _deliver_message(self, peer: InstanceId, message: PeerMessage) -> None:
        self._deliver(
            PeerMessageReceived(
                now=self._clock(),
                peer=peer,
                message=message,
            ),
        )
