"""Pass messages from peers to the reducer, and store their bodies.

Bodies that arrive in chunks are assembled here.
"""

from collections.abc import Callable
from typing import TypeAlias, final

import msgspec

from briartack.answer_grants import AnswerGrants, CountAhead
from briartack.bodies import (
    BodyAssembler,
    BodyStore,
    is_held_attempt,
    verify_announcement,
)
from briartack.core.body_ids import answer_body_id, attempt_body_id
from briartack.core.calls.reasons import NO_ROOM
from briartack.core.events import (
    AttemptBodyRead,
    BodyRoomMissing,
    PeerMessageReceived,
)
from briartack.core.messages import (
    MAX_CHUNK_BYTES,
    Answer,
    Attempt,
    Cancel,
    Chunk,
    Grant,
    Hello,
    PeerMessage,
)
from briartack.core.units import AttemptId, InstanceId
from briartack.core.verdict import Verdict
from briartack.framing import MalformedFrameError
from briartack.memory_budget import Lease
from briartack.shell_interfaces import Clock, DeliverEvent

# The bool says whether the body is that of an answer.
_HeldKey: TypeAlias = tuple[InstanceId, AttemptId]
_AssemblyKey: TypeAlias = tuple[InstanceId, AttemptId, bool]
SendGrant: TypeAlias = Callable[[InstanceId, Grant], None]


@final
class PeerInbox:
    """Deliver the messages of peers as events and store their bodies."""

    __slots__ = (
        '_bodies',
        '_deliver',
        '_clock',
        '_assemblies',
        '_held',
        '_grants',
        '_send_grant',
    )

    def __init__(
        self,
        *,
        bodies: BodyStore,
        deliver: DeliverEvent,
        clock: Clock,
        count_ahead: CountAhead,
        send_grant: SendGrant,
    ) -> None:
        """Start without bodies; `count_ahead` orders the answers of peers."""
        self._bodies = bodies
        self._deliver = deliver
        self._clock = clock
        self._assemblies: dict[_AssemblyKey, BodyAssembler] = {}
        # Heads whose bodies the core has yet to grant.
        self._held: dict[_HeldKey, Attempt] = {}
        self._grants = AnswerGrants(
            memory=bodies.memory,
            count_ahead=count_ahead,
            begin=self._begin_answer,
        )
        self._send_grant = send_grant

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

    def grant_body(self, peer: InstanceId, attempt_id: AttemptId) -> None:
        """Reserve memory for the body of an attempt and ask for it."""
        head = self._held.get((peer, attempt_id))
        if head is None:
            # Its stream has ended, which the next event reports.
            return
        lease = self._bodies.memory.reserve_request(head.body_bytes)
        if lease is None:
            self._deliver(
                BodyRoomMissing(
                    now=self._clock(), peer=peer, attempt_id=attempt_id
                )
            )
            return
        self._held.pop((peer, attempt_id))
        self._assemblies[peer, attempt_id, False] = BodyAssembler(head, lease)
        self._send_grant(peer, Grant(attempt_id=attempt_id))

    def drop_request_body(
        self, peer: InstanceId, attempt_id: AttemptId
    ) -> None:
        """Ignore what is to come of an unneeded request body."""
        self._held.pop((peer, attempt_id), None)
        self._drop_assembly((peer, attempt_id, False))

    def drop_answer(self, peer: InstanceId, attempt_id: AttemptId) -> None:
        """Ignore what is to come of an answer whose call has ended."""
        self._drop_assembly((peer, attempt_id, True))
        self._grants.end((peer, attempt_id))

    def drop_incomplete_bodies(self, peer: InstanceId) -> None:
        """Drop the incomplete bodies of a peer whose stream ended."""
        for key in tuple(self._assemblies):
            if key[0] == peer:
                self._drop_assembly(key)
        for held in tuple(self._held):
            if held[0] == peer:
                self._held.pop(held)
        self._grants.drop_peer(peer)

    def _handle_head(
        self,
        peer: InstanceId,
        head: Attempt | Answer,
    ) -> None:
        verify_announcement(head)
        if isinstance(head, Answer) and _is_held(head):
            if not self._grants.add(peer, head):
                self._deliver_message(peer, head)
            return
        if isinstance(head, Attempt) and is_held_attempt(head):
            self._hold_attempt(peer, head)
            return
        lease = self._lease_body(head)
        if lease is None:
            # The chunks that follow belong to no body and are ignored.
            head = msgspec.structs.replace(head, body=b'')
            self._deliver_message(peer, head, has_room=False)
        elif head.body_bytes > MAX_CHUNK_BYTES:
            self._await_chunks(peer, head, lease)
        else:
            self._handle_whole(peer, head, lease)

    def _hold_attempt(self, peer: InstanceId, head: Attempt) -> None:
        """Deliver a head; its body takes memory only once it is granted.

        A body that never fits would wait in vain.
        """
        memory = self._bodies.memory
        has_room = head.body_bytes <= memory.max_request_bytes and memory.fits(
            0, 0
        )
        if has_room:
            self._held[peer, head.attempt_id] = head
        self._deliver_message(peer, head, has_room=has_room)

    def _lease_body(self, head: Attempt | Answer) -> Lease | None:
        """Return a lease on the body, or None if an attempt has no room."""
        if isinstance(head, Answer):
            return self._bodies.memory.lease()
        return self._bodies.memory.reserve_request(head.body_bytes)

    def _begin_answer(
        self, peer: InstanceId, answer: Answer, lease: Lease
    ) -> None:
        self._await_chunks(peer, answer, lease)
        self._send_grant(peer, Grant(attempt_id=answer.attempt_id))

    def _await_chunks(
        self, peer: InstanceId, head: Attempt | Answer, lease: Lease
    ) -> None:
        is_answer = isinstance(head, Answer)
        key = (peer, head.attempt_id, is_answer)
        self._drop_assembly(key)
        self._assemblies[key] = BodyAssembler(head, lease)
        if not is_answer:
            self._deliver_message(peer, head)

    def _handle_whole(
        self, peer: InstanceId, head: Attempt | Answer, lease: Lease
    ) -> None:
        body = head.body
        self._store_body(head, body, lease)
        if body:
            # The core receives only the size, so traces contain no payload.
            head = msgspec.structs.replace(head, body=b'')
        self._deliver_message(peer, head)
        if body and not isinstance(head, Answer):
            self._deliver_body_read(peer, head.attempt_id)

    def _handle_chunk(self, peer: InstanceId, chunk: Chunk) -> None:
        key = (peer, chunk.attempt_id, chunk.is_answer)
        assembly = self._assemblies.get(key)
        if assembly is None:
            # The attempt was withdrawn or refused while its chunks were in
            # transit.
            return
        body = assembly.add(chunk)
        if body is not None:
            self._assemblies.pop(key)
            self._store_body(assembly.head, body, assembly.lease)
            self._report_whole_body(peer, assembly.head)
            if chunk.is_answer:
                self._grants.end((peer, chunk.attempt_id))
        elif _is_ungranted(assembly.head):
            if not self._bodies.memory.make_room():
                self._give_up_answer(peer, assembly.head)

    def _report_whole_body(
        self, peer: InstanceId, head: Attempt | Answer
    ) -> None:
        if isinstance(head, Answer):
            self._deliver_message(peer, head)
        else:
            self._deliver_body_read(peer, head.attempt_id)

    def _give_up_answer(
        self, peer: InstanceId, answer: Attempt | Answer
    ) -> None:
        """Let the call fail whose answer does not fit into the memory.

        The peer is of an earlier release and sends without a grant. A reader
        that waited for room would hold up all of its messages.
        """
        self._drop_assembly((peer, answer.attempt_id, True))
        lost = msgspec.structs.replace(
            answer,
            verdict=Verdict.UNKNOWN,
            reason=NO_ROOM.code,
            headers=(),
            body_bytes=0,
        )
        self._deliver_message(peer, lost)

    def _drop_assembly(self, key: _AssemblyKey) -> None:
        assembly = self._assemblies.pop(key, None)
        if assembly is not None:
            assembly.lease.release()

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

    def _store_body(
        self, head: Attempt | Answer, body: bytes, lease: Lease
    ) -> None:
        body_id = attempt_body_id(head.attempt_id)
        if isinstance(head, Answer):
            body_id = answer_body_id(head.attempt_id)
        self._bodies.put(body_id, body, lease)

    def _deliver_message(
        self, peer: InstanceId, message: PeerMessage, *, has_room: bool = True
    ) -> None:
        self._deliver(
            PeerMessageReceived(
                now=self._clock(),
                peer=peer,
                message=message,
                has_room=has_room,
            ),
        )


def _is_held(answer: Answer) -> bool:
    return answer.awaits_grant and answer.body_bytes > MAX_CHUNK_BYTES


def _is_ungranted(head: Attempt | Answer) -> bool:
    return isinstance(head, Answer) and not head.awaits_grant
