"""Messages from peers on their way to the reducer, with bodies put aside."""

from typing import TypeAlias, final

import msgspec

from briartack.bodies import Assembly, Bodies, verify
from briartack.core.body_ids import answer_body, attempt_body
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
from briartack.ports import Clock, Deliver

_AssemblyKey: TypeAlias = tuple[InstanceId, AttemptId, bool]


@final
class PeerInbox:
    """Deliver messages; bodies go to the store of bodies."""

    __slots__ = ('_bodies', '_deliver', '_clock', '_assemblies')

    def __init__(
        self,
        *,
        bodies: Bodies,
        deliver: Deliver,
        clock: Clock,
    ) -> None:
        """Start without bodies in transit."""
        self._bodies = bodies
        self._deliver = deliver
        self._clock = clock
        self._assemblies: dict[_AssemblyKey, Assembly] = {}

    def receive(self, peer: InstanceId, message: PeerMessage) -> None:
        """Take one message of a peer.

        Raises MalformedFrameError.
        """
        if isinstance(message, Attempt | Answer):
            self._receive_head(peer, message)
        elif isinstance(message, Chunk):
            self._receive_chunk(peer, message)
        elif isinstance(message, Hello):
            raise MalformedFrameError('hello is repeated')
        else:
            if isinstance(message, Cancel):
                self.drop_attempt(peer, message.attempt_id)
            self._report(peer, message)

    def drop_attempt(self, peer: InstanceId, attempt_id: AttemptId) -> None:
        """Pass over the rest of a request body that nothing needs."""
        self._assemblies.pop((peer, attempt_id, False), None)

    def forget(self, peer: InstanceId) -> None:
        """Drop the unfinished bodies of a peer whose stream ended."""
        self._assemblies = {
            key: assembly
            for key, assembly in self._assemblies.items()
            if key[0] != peer
        }

    def _receive_head(
        self,
        peer: InstanceId,
        head: Attempt | Answer,
    ) -> None:
        is_answer = isinstance(head, Answer)
        if head.body_bytes > MAX_CHUNK_BYTES:
            if head.body:
                raise MalformedFrameError('a body in chunks is inline too')
            key = (peer, head.attempt_id, is_answer)
            self._assemblies[key] = Assembly(head)
            if not is_answer:
                self._report(peer, head)
            return
        body = head.body
        verify(head, body)
        if body:
            self._put(head, body)
            # The core sees sizes only, so traces hold no payload.
            head = msgspec.structs.replace(head, body=b'')
        self._report(peer, head)
        if body and not is_answer:
            self._report_body(peer, head.attempt_id)

    def _receive_chunk(self, peer: InstanceId, chunk: Chunk) -> None:
        key = (peer, chunk.attempt_id, chunk.of_answer)
        assembly = self._assemblies.get(key)
        if assembly is None:
            # The attempt was withdrawn or refused while chunks were on the
            # way.
            return
        body = assembly.add(chunk)
        if body is None:
            return
        self._assemblies.pop(key)
        self._put(assembly.head, body)
        if chunk.of_answer:
            self._report(peer, assembly.head)
        else:
            self._report_body(peer, chunk.attempt_id)

    def _report_body(self, peer: InstanceId, attempt_id: AttemptId) -> None:
        self._deliver(
            AttemptBodyRead(
                now=self._clock(),
                peer=peer,
                attempt_id=attempt_id,
            ),
        )

    def _put(self, head: Attempt | Answer, body: bytes) -> None:
        if isinstance(head, Answer):
            self._bodies.put(answer_body(head.attempt_id), body)
        else:
            self._bodies.put(attempt_body(head.attempt_id), body)

    def _report(self, peer: InstanceId, message: PeerMessage) -> None:
        self._deliver(
            PeerMessageReceived(
                now=self._clock(),
                peer=peer,
                message=message,
            ),
        )
