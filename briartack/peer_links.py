"""The life of streams: dialling, accepting, one stream for each peer.

If two daemons dial each other at once, both streams come up. Both sides keep
the one that the lower instance id dialled. Its dialler then ends the other
stream, which is read to its end, so no message in flight is lost.
"""

from collections.abc import Iterable
from typing import Final, final

import gevent
from gevent import socket
from gevent.server import StreamServer

from briartack.addresses import Address, parse_address
from briartack.core.effects import Connect, LogLevel
from briartack.core.events import PeerConnected, PeerDisconnected
from briartack.core.identity import Identity
from briartack.core.messages import PROTOCOL_VERSION, Hello, PeerMessage
from briartack.core.units import InstanceId
from briartack.error_texts import MALFORMED_FRAME
from briartack.framing import MalformedFrameError, encode
from briartack.peer_inbox import PeerInbox
from briartack.peer_stream import PeerStream
from briartack.peer_traffic import PeerTraffic
from briartack.ports import BACKLOG, Clock, Deliver, Observer

_DIAL_SECONDS: Final = 2.0
_HELLO_SECONDS: Final = 3.0


@final
class PeerLinks:
    """Keep at most one stream in use for each peer."""

    __slots__ = (
        '_identity',
        '_deliver',
        '_clock',
        '_observer',
        '_inbox',
        '_streams',
        '_dialling',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        inbox: PeerInbox,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Start without streams."""
        self._identity = identity
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._inbox = inbox
        self._streams: dict[InstanceId, PeerStream] = {}
        self._dialling: set[InstanceId] = set()

    @property
    def streams(self) -> Iterable[PeerStream]:
        """Return the streams in use."""
        return self._streams.values()

    def stream(self, peer: InstanceId) -> PeerStream | None:
        """Return the stream to a peer."""
        return self._streams.get(peer)

    def server(self, address: Address) -> StreamServer:
        """Make the server for peers; it does not listen yet."""
        return StreamServer(address, self._accept, backlog=BACKLOG)

    def connect(self, effect: Connect) -> None:
        """Dial a peer unless a stream to it is up or being made."""
        peer = effect.peer
        if peer in self._streams or peer in self._dialling:
            return
        self._dialling.add(peer)
        gevent.spawn(self._dial, peer, effect.address)

    def end(self, peer: InstanceId) -> None:
        """End the stream to a peer; no event follows."""
        stream = self._streams.pop(peer, None)
        if stream is not None:
            self._inbox.forget(peer)
            stream.end()

    def lose(self, peer: InstanceId, stream: PeerStream, reason: str) -> None:
        """Close a stream and report it, unless it was a spare one."""
        if self._streams.get(peer) is not stream:
            # A spare stream ended; the one in use goes on.
            stream.drain()
            return
        self._streams.pop(peer)
        self._inbox.forget(peer)
        stream.close()
        self._report_lost(peer, reason)

    def _hello(self) -> bytes:
        identity = self._identity
        return encode(
            Hello(
                protocol_version=PROTOCOL_VERSION,
                instance=identity.instance,
                incarnation=identity.incarnation,
                service=identity.service,
                data_centre=identity.data_centre,
                region=identity.region,
                clock=self._clock(),
            ),
        )

    def _dial(self, peer: InstanceId, address: str) -> None:
        try:
            sock = socket.create_connection(
                parse_address(address),
                timeout=_DIAL_SECONDS,
            )
        except (OSError, ValueError) as error:
            self._dialling.discard(peer)
            self._report_lost(peer, f'dialling failed: {error}')
            return
        stream = self._stream(sock, is_outgoing=True)
        stream.outbox.queue(self._hello())
        stream.flush()
        reason = self._run(stream, expected=peer)
        if peer in self._dialling:
            self._dialling.discard(peer)
            self._report_lost(peer, reason)

    def _accept(self, sock: socket.socket, address: Address) -> None:
        self._run(self._stream(sock, is_outgoing=False), expected=None)

    def _stream(self, sock: socket.socket, *, is_outgoing: bool) -> PeerStream:
        return PeerStream(
            sock=sock,
            is_outgoing=is_outgoing,
            traffic=PeerTraffic(self._observer),
        )

    def _run(self, stream: PeerStream, *, expected: InstanceId | None) -> str:
        reason = 'closed by peer'
        try:
            self._read(stream, expected)
        except MalformedFrameError as error:
            reason = f'malformed frame: {error}'
            self._log_malformed(stream, expected, str(error))
        except OSError as error:
            reason = f'connection failed: {error}'
        if stream.hello is not None:
            self.lose(stream.hello.instance, stream, reason)
        stream.close()
        return reason

    def _read(
        self,
        stream: PeerStream,
        expected: InstanceId | None,
    ) -> None:
        stream.set_timeout(None)
        # A timeout of the socket would begin again with each byte.
        timeout = gevent.Timeout.start_new(
            _HELLO_SECONDS,
            TimeoutError('no hello in time'),
        )
        try:
            self._read_messages(stream, expected, timeout)
        finally:
            timeout.close()

    def _read_messages(
        self,
        stream: PeerStream,
        expected: InstanceId | None,
        hello_timeout: gevent.Timeout,
    ) -> None:
        own = self._identity.instance
        for message in stream.messages():
            if stream.hello is None:
                hello_timeout.close()
                self._greet(stream, _checked_hello(message, expected, own))
            else:
                self._observer.count('peers.messages_received')
                stream.traffic.received(stream.frame_bytes, message)
                self._inbox.receive(stream.hello.instance, message)

    def _greet(self, stream: PeerStream, hello: Hello) -> None:
        peer = hello.instance
        own_hello = self._hello()
        stream.hello = hello
        if not stream.is_outgoing:
            # The dialler may only end another stream once it knows that this
            # side has this one, so the acceptor sends its hello second.
            stream.outbox.queue(own_hello)
            stream.flush()
        # A dialler has sent a hello of the same size before it knew this.
        stream.traffic.hello_received(
            is_remote=hello.region != self._identity.region,
            sent_bytes=len(own_hello),
            received_bytes=stream.frame_bytes,
        )
        self._dialling.discard(peer)
        present = self._streams.get(peer)
        if present is None:
            self._streams[peer] = stream
            self._report_connected(hello)
        elif _is_second_of_two(present, stream):
            self._keep_one(peer, present, stream)
        else:
            # The peer restarted or lost the old stream without our notice.
            self.lose(peer, present, 'replaced by a new stream')
            present.close()
            self._streams[peer] = stream
            self._report_connected(hello)

    def _keep_one(
        self,
        peer: InstanceId,
        present: PeerStream,
        new: PeerStream,
    ) -> None:
        is_lower = self._identity.instance < peer
        kept, spare = (
            (new, present) if new.is_outgoing == is_lower else (present, new)
        )
        self._streams[peer] = kept
        self._observer.count('peers.simultaneous_dials')
        if is_lower:
            spare.end()

    def _report_connected(self, hello: Hello) -> None:
        self._deliver(
            PeerConnected(
                now=self._clock(),
                peer=hello.instance,
                hello=hello,
            ),
        )

    def _report_lost(self, peer: InstanceId, reason: str) -> None:
        if peer in self._streams:
            return
        self._observer.count('peers.disconnects')
        self._deliver(
            PeerDisconnected(now=self._clock(), peer=peer, reason=reason),
        )

    def _log_malformed(
        self,
        stream: PeerStream,
        expected: InstanceId | None,
        reason: str,
    ) -> None:
        peer = expected if stream.hello is None else stream.hello.instance
        self._observer.count('peers.malformed_frames')
        self._observer.log(
            LogLevel.WARNING,
            MALFORMED_FRAME,
            peer=peer or 'unknown',
            address=stream.remote_address,
            reason=reason,
        )


def _is_second_of_two(present: PeerStream, new: PeerStream) -> bool:
    return (
        present.hello is not None
        and new.hello is not None
        and present.hello.incarnation == new.hello.incarnation
        and present.is_outgoing != new.is_outgoing
    )


def _checked_hello(
    message: PeerMessage,
    expected: InstanceId | None,
    own: InstanceId,
) -> Hello:
    if not isinstance(message, Hello):
        raise MalformedFrameError('the first message is not hello')
    if message.protocol_version != PROTOCOL_VERSION:
        raise MalformedFrameError(
            f'protocol version {message.protocol_version}, '
            f'expected {PROTOCOL_VERSION}',
        )
    if message.instance == own:
        # Its goodbye would take this daemon out of service.
        raise MalformedFrameError(f'the peer claims to be {own} itself')
    if expected is not None and message.instance != expected:
        raise MalformedFrameError(
            f'dialled {expected}, answered by {message.instance}',
        )
    return message
