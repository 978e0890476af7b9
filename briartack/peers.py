"""Messages and bodies to peers, and the effects that concern streams."""

from typing import final

import msgspec
from gevent.server import StreamServer

from briartack.addresses import Address
from briartack.bodies import Bodies
from briartack.core.effects import (
    Connect,
    Disconnect,
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
    PeerMessage,
)
from briartack.core.units import InstanceId
from briartack.error_texts import MESSAGE_TOO_LARGE, PEER_QUEUE_FULL
from briartack.framing import MAX_FRAME_BYTES, encode
from briartack.peer_inbox import PeerInbox
from briartack.peer_links import PeerLinks
from briartack.peer_stream import PeerStream
from briartack.peer_traffic import is_call
from briartack.ports import Clock, Deliver, Observer


@final
class Peers:
    """Send to peers; a peer without a stream gets nothing."""

    __slots__ = (
        '_bodies',
        '_observer',
        '_inbox',
        '_links',
        '_unflushed',
        '_encoded',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        bodies: Bodies,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Start without streams."""
        self._bodies = bodies
        self._observer = observer
        self._inbox = PeerInbox(bodies=bodies, deliver=deliver, clock=clock)
        self._links = PeerLinks(
            identity=identity,
            inbox=self._inbox,
            deliver=deliver,
            clock=clock,
            observer=observer,
        )
        self._unflushed: list[PeerStream] = []
        self._encoded: tuple[PeerMessage | None, bytes] = (None, b'')

    @property
    def queued_bytes(self) -> int:
        """Count what waits to be written to all peers."""
        return sum(stream.outbox.queued_bytes for stream in self._links.streams)

    def server(self, address: Address) -> StreamServer:
        """Make the server for peers; it does not listen yet."""
        return self._links.server(address)

    def connect(self, effect: Connect) -> None:
        """Dial a peer unless a stream to it is up or being made."""
        self._links.connect(effect)

    def disconnect(self, effect: Disconnect) -> None:
        """End the stream to a peer; no event follows."""
        self._links.end(effect.peer)

    def send_message(self, effect: SendMessage) -> None:
        """Queue a message; a peer without a stream does not get it."""
        stream = self._links.stream(effect.peer)
        if stream is None:
            return
        message = effect.message
        if isinstance(message, Cancel):
            stream.outbox.drop_body(message.attempt_id)
        frame = self._encode_once(message)
        self._queue(effect.peer, stream, frame, of_call=is_call(message))

    def send_attempt(self, effect: SendAttempt) -> None:
        """Queue an attempt and its body."""
        stream = self._links.stream(effect.peer)
        if stream is not None:
            body = self._bodies.get(effect.body_id)
            self._queue_with_body(effect.peer, stream, effect.attempt, body)

    def send_answer(self, effect: SendAnswer) -> None:
        """Queue an answer and its body."""
        answer = effect.answer
        body = self._bodies.get(effect.body_id)
        self._inbox.drop_attempt(effect.peer, answer.attempt_id)
        stream = self._links.stream(effect.peer)
        if stream is not None:
            self._queue_with_body(effect.peer, stream, answer, body)

    def flush(self) -> None:
        """Write what the last event queued, one write for each stream."""
        unflushed = self._unflushed
        self._unflushed = []
        for stream in unflushed:
            stream.flush()

    def end_all(self) -> None:
        """End all streams after what is queued."""
        for stream in self._links.streams:
            stream.end()

    def _queue_with_body(
        self,
        peer: InstanceId,
        stream: PeerStream,
        head: Attempt | Answer,
        body: bytes,
    ) -> None:
        if 0 < len(body) <= MAX_CHUNK_BYTES:
            head = msgspec.structs.replace(head, body=body)
        self._queue(peer, stream, encode(head), of_call=True)
        if len(body) > MAX_CHUNK_BYTES:
            stream.traffic.sent(len(body), of_call=True)
            stream.outbox.queue_body(
                attempt_id=head.attempt_id,
                of_answer=isinstance(head, Answer),
                body=body,
            )

    def _encode_once(self, message: PeerMessage) -> bytes:
        # The same announcement or entries go to several children in a row.
        last, frame = self._encoded
        if last is not message:
            frame = encode(message)
            self._encoded = (message, frame)
        return frame

    def _queue(
        self,
        peer: InstanceId,
        stream: PeerStream,
        frame: bytes,
        *,
        of_call: bool,
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
            self._links.lose(peer, stream, 'outgoing queue is full')
            return
        self._observer.count('peers.messages_sent')
        stream.traffic.sent(len(frame), of_call=of_call)
        stream.outbox.queue(frame)
        self._unflushed.append(stream)
