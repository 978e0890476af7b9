"""Dial and accept streams, and keep one stream to each peer.

If two daemons dial each other at the same time, two streams are opened. Both
sides keep the stream that the daemon with the lower instance id dialled. The
daemon with the lower id then ends the other stream, and both sides read the
other stream to its end, so no message in transit is lost.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, final

import gevent
from gevent import socket

from briartack.accepting import PeerServer
from briartack.addresses import Address, parse_address
from briartack.core.calls.body_grants import compute_ungranted_body_bytes
from briartack.core.effects import Connect, LogLevel
from briartack.core.events import PeerConnected, PeerDisconnected
from briartack.core.identity import Identity
from briartack.core.messages import (
    MAX_BODY_BYTES,
    PROTOCOL_VERSION,
    Answer,
    Cancel,
    Grant,
    Hello,
    PeerMessage,
)
from briartack.core.units import InstanceId
from briartack.error_texts import ENTRY_REFUSED, MALFORMED_FRAME
from briartack.framing import MalformedFrameError, encode
from briartack.greenlets import UNEXPECTED, report_failed_task
from briartack.memory_budget import MemoryBudget
from briartack.peer_inbox import PeerInbox
from briartack.peer_stream import PeerStream
from briartack.peer_traffic import PeerTraffic
from briartack.shell_interfaces import (
    LISTEN_BACKLOG,
    Clock,
    DeliverEvent,
    Observer,
)

_DIAL_TIMEOUT_SECONDS: Final = 2.0
_HELLO_TIMEOUT_SECONDS: Final = 3.0
# A stream takes about 65 KB, and the descriptors of a daemon are shared with
# its callers. A daemon has fewer peers than this, see docs/CAPACITY.md.
MAX_PEERS: Final = 512
# A dialler sends its hello with the first packet, so streams without one are
# few even after a pause of this process.
MAX_UNINTRODUCED: Final = 64


@final
class PeerConnections:
    """Manage the streams to peers, with at most one in use for each peer."""

    __slots__ = (
        'identity',
        '_deliver',
        '_clock',
        '_observer',
        '_inbox',
        '_memory',
        '_streams_by_peer',
        '_unintroduced',
        '_dialling',
        'link_bytes_per_second',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        inbox: PeerInbox,
        memory: MemoryBudget,
        deliver: DeliverEvent,
        clock: Clock,
        observer: Observer,
        link_bytes_per_second: float | None,
    ) -> None:
        self.identity = identity
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._inbox = inbox
        self._memory = memory
        self._streams_by_peer: dict[InstanceId, PeerStream] = {}
        # Accepted streams without a hello, the oldest one first.
        self._unintroduced: OrderedDict[PeerStream, None] = OrderedDict()
        self._dialling: set[InstanceId] = set()
        # The hello of each new stream asks peers for grants accordingly.
        self.link_bytes_per_second = link_bytes_per_second

    @property
    def streams(self) -> Iterable[PeerStream]:
        """Return the streams in use."""
        return self._streams_by_peer.values()

    def find_stream(self, peer: InstanceId) -> PeerStream | None:
        """Return the stream in use for a peer, or None."""
        return self._streams_by_peer.get(peer)

    def create_server(self, address: Address) -> PeerServer:
        """Create the server for peers, which does not listen yet."""
        return PeerServer(address, self._accept, backlog=LISTEN_BACKLOG)

    def connect(self, effect: Connect) -> None:
        """Dial a peer unless the peer has a stream or is being dialled."""
        peer = effect.peer
        if peer in self._streams_by_peer or peer in self._dialling:
            return
        self._dialling.add(peer)
        gevent.spawn(self._dial, peer, effect.address)

    def end_stream(self, peer: InstanceId) -> None:
        """End the stream to a peer without a `PeerDisconnected` event."""
        stream = self._streams_by_peer.pop(peer, None)
        if stream is not None:
            self._inbox.drop_incomplete_bodies(peer)
            stream.end()

    def handle_lost_stream(
        self, peer: InstanceId, stream: PeerStream, reason: str
    ) -> None:
        """Close a stream that ended, and report the peer as disconnected.

        A redundant stream is drained instead and nothing is reported, since the
        stream in use continues.
        """
        if self._streams_by_peer.get(peer) is not stream:
            stream.drain()
            return
        self._streams_by_peer.pop(peer)
        self._inbox.drop_incomplete_bodies(peer)
        stream.close()
        self._report_disconnected(peer, reason)

    def _encode_hello(self) -> bytes:
        identity = self.identity
        return encode(
            Hello(
                protocol_version=PROTOCOL_VERSION,
                instance=identity.instance,
                incarnation=identity.incarnation,
                service=identity.service,
                data_centre=identity.data_centre,
                region=identity.region,
                clock=self._clock(),
                grants_answers=True,
                ungranted_body_bytes=compute_ungranted_body_bytes(
                    self.link_bytes_per_second
                ),
                max_body_bytes=max(
                    MAX_BODY_BYTES, self._memory.max_request_bytes
                ),
                leases_caps=True,
            ),
        )

    def _dial(self, peer: InstanceId, address: str) -> None:
        try:
            reason = self._run_outgoing(peer, address)
        except UNEXPECTED as error:
            # Otherwise the peer would never be dialled again.
            reason = f'unexpected error: {type(error).__name__}'
            report_failed_task(self._observer, 'dial')
        if peer in self._dialling:
            self._dialling.discard(peer)
            self._report_disconnected(peer, reason)

    def _run_outgoing(self, peer: InstanceId, address: str) -> str:
        """Dial a peer and read its stream; return why the stream has ended."""
        try:
            sock = socket.create_connection(
                parse_address(address),
                timeout=_DIAL_TIMEOUT_SECONDS,
            )
        except (OSError, ValueError) as error:
            return f'dialling failed: {error}'
        stream = self._create_stream(sock, is_outgoing=True)
        stream.outbox.queue(self._encode_hello())
        stream.flush()
        return self._process_stream(stream, expected=peer)

    def _accept(self, sock: socket.socket, address: Address) -> None:
        stream = self._create_stream(sock, is_outgoing=False)
        if len(self._unintroduced) >= MAX_UNINTRODUCED:
            self._observer.count('peers.refused')
            oldest, _ = self._unintroduced.popitem(last=False)
            oldest.close()
        self._unintroduced[stream] = None
        try:
            self._process_stream(stream, expected=None)
        finally:
            self._unintroduced.pop(stream, None)

    def _create_stream(
        self, sock: socket.socket, *, is_outgoing: bool
    ) -> PeerStream:
        return PeerStream(
            sock=sock,
            is_outgoing=is_outgoing,
            traffic=PeerTraffic(self._observer),
            memory=self._memory,
        )

    def _process_stream(
        self, stream: PeerStream, *, expected: InstanceId | None
    ) -> str:
        reason = 'closed by peer'
        try:
            self._read_stream(stream, expected)
        except MalformedFrameError as error:
            reason = f'malformed frame: {error}'
            self._log_malformed(stream, expected, str(error))
        except OSError as error:
            reason = f'connection failed: {error}'
        except UNEXPECTED as error:
            reason = f'unexpected error: {type(error).__name__}'
            report_failed_task(self._observer, 'peer stream')
        if stream.hello is not None:
            self.handle_lost_stream(stream.hello.instance, stream, reason)
        stream.close()
        return reason

    def _read_stream(
        self,
        stream: PeerStream,
        expected: InstanceId | None,
    ) -> None:
        stream.set_timeout(None)
        # A socket timeout would restart with each received byte.
        timeout = gevent.Timeout.start_new(
            _HELLO_TIMEOUT_SECONDS,
            TimeoutError('no hello within the time limit'),
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
        own = self.identity.instance
        for message in stream.read_messages():
            if stream.hello is None:
                hello_timeout.close()
                hello = _validate_hello(message, expected, own)
                self._unintroduced.pop(stream, None)
                self._check_room(hello.instance)
                self._handle_hello(stream, hello)
            else:
                self._observer.count('peers.messages_received')
                stream.traffic.count_received(stream.last_frame_bytes, message)
                self._report_refused(stream.hello.instance, stream)
                self._update_outbox(stream, stream.hello, message)
                if not isinstance(message, Grant):
                    self._inbox.handle_message(stream.hello.instance, message)

    def _update_outbox(
        self, stream: PeerStream, hello: Hello, message: PeerMessage
    ) -> None:
        """Apply what a message says about the bodies queued for its sender."""
        # A body waits at the stream in use, which may be another one.
        current = self._streams_by_peer.get(hello.instance, stream)
        if isinstance(message, Answer):
            # An owner that answers early needs no more of the body.
            stream.outbox.drop_body(message.attempt_id)
            if current is not stream:
                current.outbox.drop_body(message.attempt_id)
        elif isinstance(message, Grant):
            current.grant(message.attempt_id)
        elif isinstance(message, Cancel) and hello.grants_answers:
            # Other peers expect the rest of a body that has begun.
            current.drop_answer(message.attempt_id)

    def _check_room(self, peer: InstanceId) -> None:
        """Raise ConnectionRefusedError if there are too many peers."""
        is_full = len(self._streams_by_peer) >= MAX_PEERS
        if is_full and peer not in self._streams_by_peer:
            self._observer.count('peers.refused')
            raise ConnectionRefusedError('there are too many peers')

    def _handle_hello(self, stream: PeerStream, hello: Hello) -> None:
        peer = hello.instance
        own_hello = self._encode_hello()
        stream.introduce(hello, own_hello)
        # A dialler sent its hello, which has the same size, before it knew the
        # region of the peer, so the hellos of both sides are counted here.
        stream.traffic.count_hellos(
            is_remote=hello.region != self.identity.region,
            sent_bytes=len(own_hello),
            received_bytes=stream.last_frame_bytes,
        )
        self._dialling.discard(peer)
        current = self._streams_by_peer.get(peer)
        if current is None:
            self._streams_by_peer[peer] = stream
            self._report_connected(hello, stream)
        elif _is_simultaneous_dial(current, stream):
            self._resolve_simultaneous_dials(peer, current, stream)
        else:
            # The peer restarted, or lost the old stream unnoticed by this side.
            self.handle_lost_stream(peer, current, 'replaced by a new stream')
            current.close()
            self._streams_by_peer[peer] = stream
            self._report_connected(hello, stream)

    def _resolve_simultaneous_dials(
        self,
        peer: InstanceId,
        current: PeerStream,
        new: PeerStream,
    ) -> None:
        is_lower = self.identity.instance < peer
        kept, redundant = (
            (new, current) if new.is_outgoing == is_lower else (current, new)
        )
        self._streams_by_peer[peer] = kept
        kept.outbox.take_over(redundant.outbox)
        self._observer.count('peers.simultaneous_dials')
        if is_lower:
            redundant.end()

    def _report_connected(self, hello: Hello, stream: PeerStream) -> None:
        self._deliver(
            PeerConnected(
                now=self._clock(),
                peer=hello.instance,
                hello=hello,
                is_outgoing=stream.is_outgoing,
            ),
        )

    def _report_disconnected(self, peer: InstanceId, reason: str) -> None:
        if peer in self._streams_by_peer:
            return
        self._observer.count('peers.disconnects')
        self._deliver(
            PeerDisconnected(now=self._clock(), peer=peer, reason=reason),
        )

    def _report_refused(self, peer: InstanceId, stream: PeerStream) -> None:
        refused = stream.take_refused()
        if not refused:
            return
        self._observer.count('peers.entries_refused')
        self._observer.log(
            LogLevel.WARNING,
            ENTRY_REFUSED,
            peer=peer,
            entries=str(len(refused)),
            reason=refused[0],
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


def _is_simultaneous_dial(current: PeerStream, new: PeerStream) -> bool:
    return (
        current.hello is not None
        and new.hello is not None
        and current.hello.incarnation == new.hello.incarnation
        and current.is_outgoing != new.is_outgoing
    )


def _validate_hello(
    message: PeerMessage,
    expected: InstanceId | None,
    own: InstanceId,
) -> Hello:
    if not isinstance(message, Hello):
        raise MalformedFrameError('the first message is not a hello')
    if message.protocol_version != PROTOCOL_VERSION:
        raise MalformedFrameError(
            f'protocol version {message.protocol_version}, '
            f'expected {PROTOCOL_VERSION}',
        )
    if message.instance == own:
        # A goodbye from this peer would take this daemon out of service.
        raise MalformedFrameError(f'the peer claims to be {own} itself')
    if expected is not None and message.instance != expected:
        raise MalformedFrameError(
            f'dialled {expected}, answered by {message.instance}',
        )
    return message
