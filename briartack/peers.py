"""Execute the effects that send to peers or open and end their streams."""

from typing import final

import gevent
import msgspec

from briartack.accepting import PeerServer
from briartack.addresses import Address
from briartack.answer_grants import CountAhead
from briartack.bodies import BodyStore
from briartack.core.effects import (
    Connect,
    Disconnect,
    GrantBody,
    LogLevel,
    SendAnswer,
    SendAttempt,
    SendMessage,
)
from briartack.core.identity import Identity
from briartack.core.messages import (
    MAX_CHUNK_BYTES,
    Answer,
    Attempt,
    Cancel,
    Grant,
    PeerMessage,
)
from briartack.core.units import AttemptId, InstanceId
from briartack.error_texts import MESSAGE_TOO_LARGE, PEER_QUEUE_FULL
from briartack.framing import MAX_FRAME_BYTES, encode
from briartack.peer_connections import PeerConnections
from briartack.peer_inbox import PeerInbox
from briartack.peer_stream import PeerStream
from briartack.peer_traffic import is_call_message
from briartack.shell_interfaces import Clock, DeliverEvent, Observer


@final
class Peers:
    """Send messages and bodies to peers, and open and end their streams.

    Messages to a peer without a stream are dropped.
    """

    __slots__ = (
        '_bodies',
        '_observer',
        '_clock',
        '_inbox',
        '_connections',
        '_unflushed_streams',
        '_last_encoded',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        bodies: BodyStore,
        deliver: DeliverEvent,
        clock: Clock,
        observer: Observer,
        count_ahead: CountAhead,
        link_bytes_per_second: float | None = None,
    ) -> None:
        """Start without streams.

        `count_ahead` returns how many responses a caller gets before the answer
        to an attempt. If the rate of the link is known, peers let large bodies
        of attempts wait for grants.
        """
        self._bodies = bodies
        self._observer = observer
        self._clock = clock
        self._inbox = PeerInbox(
            bodies=bodies,
            deliver=deliver,
            clock=clock,
            count_ahead=count_ahead,
            send_grant=self._send_grant,
        )
        self._connections = PeerConnections(
            identity=identity,
            inbox=self._inbox,
            memory=bodies.memory,
            deliver=deliver,
            clock=clock,
            observer=observer,
            link_bytes_per_second=link_bytes_per_second,
        )
        self._unflushed_streams: list[PeerStream] = []
        self._last_encoded: tuple[PeerMessage | None, bytes] = (None, b'')

    @property
    def unsent_bytes(self) -> int:
        """Return the number of bytes that peers have yet to get."""
        return sum(stream.unsent_bytes for stream in self._connections.streams)

    @property
    def waiting_bytes(self) -> int:
        """Return the size of the answers that wait for grants of peers."""
        return sum(
            stream.outbox.waiting_bytes for stream in self._connections.streams
        )

    def create_server(self, address: Address) -> PeerServer:
        """Create the server for peers, which does not listen yet."""
        return self._connections.create_server(address)

    def connect(self, effect: Connect) -> None:
        """Dial a peer unless the peer has a stream or is being dialled."""
        self._connections.connect(effect)

    def disconnect(self, effect: Disconnect) -> None:
        """End the stream to a peer without a `PeerDisconnected` event."""
        self._connections.end_stream(effect.peer)

    def send_message(self, effect: SendMessage) -> None:
        """Queue a message, or drop the message if the peer has no stream.

        A cancel also removes the queued bodies of its attempt.
        """
        message = effect.message
        if isinstance(message, Cancel):
            self._inbox.drop_answer(effect.peer, message.attempt_id)
        stream = self._connections.find_stream(effect.peer)
        if stream is None:
            return
        if isinstance(message, Cancel):
            stream.outbox.drop_body(message.attempt_id)
        frame = self._encode_once(message)
        self._queue_frame(
            effect.peer, stream, frame, is_call_traffic=is_call_message(message)
        )

    def send_attempt(self, effect: SendAttempt) -> None:
        """Queue an attempt and its body, which may wait for a grant.

        Only the hello of the stream decides whether it waits. A peer that
        doesn't ask for grants would wait for the body in vain.
        """
        stream = self._connections.find_stream(effect.peer)
        if stream is None:
            return
        body = self._bodies.get(effect.body_id)
        awaits_grant = stream.needs_grant(len(body))
        attempt = effect.attempt
        if attempt.awaits_grant != awaits_grant:
            attempt = msgspec.structs.replace(
                attempt, awaits_grant=awaits_grant
            )
        if not awaits_grant:
            self._queue_head_and_body(effect.peer, stream, attempt, body)
            return
        stream.outbox.hold_attempt(attempt.attempt_id, body)
        self._queue_frame(
            effect.peer, stream, encode(attempt), is_call_traffic=True
        )

    def grant_body(self, effect: GrantBody) -> None:
        """Ask a peer for the body of its attempt, if there is memory for it."""
        self._inbox.grant_body(effect.peer, effect.attempt_id)

    def replace_link_rate(self, bytes_per_second: float | None) -> None:
        """Replace the rate of the link for peers that connect from now on."""
        self._connections.link_bytes_per_second = bytes_per_second

    def replace_identity(self, identity: Identity) -> None:
        """Replace the identity that the hellos of new streams state."""
        self._connections.identity = identity

    def send_answer(self, effect: SendAnswer) -> None:
        """Queue an answer and its body.

        A large body waits until the peer grants it, if the peer does so.
        """
        answer = effect.answer
        body = self._bodies.get(effect.body_id)
        self._inbox.drop_request_body(effect.peer, answer.attempt_id)
        stream = self._connections.find_stream(effect.peer)
        if stream is None:
            return
        if len(body) <= MAX_CHUNK_BYTES or not stream.grants_answers:
            self._queue_head_and_body(effect.peer, stream, answer, body)
            return
        self._hold_answer(
            effect.peer, stream, answer.attempt_id, body, effect.deadline
        )
        head = msgspec.structs.replace(answer, awaits_grant=True)
        self._queue_frame(
            effect.peer, stream, encode(head), is_call_traffic=True
        )

    def flush(self) -> None:
        """Write the frames queued by the last event, one write per stream."""
        unflushed = self._unflushed_streams
        self._unflushed_streams = []
        for stream in unflushed:
            stream.flush()

    def end_all_streams(self) -> None:
        """End each stream once its queued bytes are written."""
        for stream in self._connections.streams:
            stream.end()

    def _hold_answer(
        self,
        peer: InstanceId,
        stream: PeerStream,
        attempt_id: AttemptId,
        body: bytes,
        deadline: float | None,
    ) -> None:
        """Keep a body for a grant, at most until the deadline of its call."""
        stream.traffic.count_sent(len(body), is_call_traffic=True)
        timer = None
        if deadline is not None:
            timer = gevent.spawn_later(
                max(0, deadline - self._clock()),
                self._expire_answer,
                peer,
                attempt_id,
            )
        stream.outbox.hold_answer(attempt_id, body, timer)

    def _expire_answer(self, peer: InstanceId, attempt_id: AttemptId) -> None:
        # The answer may have moved to another stream of the peer.
        stream = self._connections.find_stream(peer)
        if stream is not None:
            stream.expire_answer(attempt_id)

    def _send_grant(self, peer: InstanceId, grant: Grant) -> None:
        self.send_message(SendMessage(peer=peer, message=grant))
        self.flush()

    def _queue_head_and_body(
        self,
        peer: InstanceId,
        stream: PeerStream,
        head: Attempt | Answer,
        body: bytes,
    ) -> None:
        if 0 < len(body) <= MAX_CHUNK_BYTES:
            head = msgspec.structs.replace(head, body=body)
        self._queue_frame(peer, stream, encode(head), is_call_traffic=True)
        if len(body) > MAX_CHUNK_BYTES:
            stream.traffic.count_sent(len(body), is_call_traffic=True)
            stream.outbox.queue_body(
                attempt_id=head.attempt_id,
                is_answer=isinstance(head, Answer),
                body=body,
            )

    def _encode_once(self, message: PeerMessage) -> bytes:
        # The same announcement or entries are sent to several children in turn.
        last, frame = self._last_encoded
        if last is not message:
            frame = encode(message)
            self._last_encoded = (message, frame)
        return frame

    def _queue_frame(
        self,
        peer: InstanceId,
        stream: PeerStream,
        frame: bytes,
        *,
        is_call_traffic: bool,
    ) -> None:
        if len(frame) > MAX_FRAME_BYTES:
            self._observer.count('peers.messages_too_large')
            self._observer.log(
                LogLevel.ERROR,
                MESSAGE_TOO_LARGE,
                peer=peer,
                bytes=str(len(frame)),
            )
            return
        if stream.outbox.is_over_limit:
            self._observer.count('peers.queue_full')
            self._observer.log(LogLevel.WARNING, PEER_QUEUE_FULL, peer=peer)
            self._connections.handle_lost_stream(
                peer, stream, 'outgoing queue is full'
            )
            return
        self._observer.count('peers.messages_sent')
        stream.traffic.count_sent(len(frame), is_call_traffic=is_call_traffic)
        stream.outbox.queue(frame)
        self._unflushed_streams.append(stream)
