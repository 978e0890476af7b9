"""Tests of the streams between daemons, over real sockets.

A raw peer is a plain socket of the test that sends frames by hand.
"""

import unittest
from typing import Any
from unittest.mock import patch

import gevent
import msgpack
from gevent import socket
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.body_ids import answer_body_id
from briartack.core.messages import (
    MAX_BODY_BYTES,
    Answer,
    Cancel,
    Pull,
    Summary,
)
from briartack.core.units import (
    AttemptId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict
from briartack.framing import compute_body_digest, encode
from briartack.memory_budget import MemoryBudget
from briartack.peer_connections import PeerConnections
from briartack.peer_outbox import PeerOutbox
from briartack.peer_stream import PeerStream
from briartack.socket_options import DEFAULT_SILENCE_SECONDS
from briartack.test.fake_reducer import (
    LOCAL_HOST,
    WAIT_SECONDS,
    EchoServer,
    wait_until,
)
from briartack.test.shell_fixture import ShellFixture, read_answer

RAW_PEER = InstanceId('raw')
HELLO = ['hello', 1, 'raw', 'i1', 'saldo', 'costa-1', 'costa', 1.0]
BUFFER_BYTES = 65536
LONG_BIN_START = b'\xc6\x00\x10\x00\x00'  # msgpack: 1 MiB follow


class PeersTest(unittest.TestCase):
    def start_shell(self, name: str, **settings: Any) -> ShellFixture:
        """Return a running shell that stops at the end of the test."""
        shell = ShellFixture(name, **settings)
        self.addCleanup(shell.stop)
        return shell

    def test_both_sides_see_connection_and_disconnection(self) -> None:
        """Guard against a stream that only one side knows of.

        The second dial must not open a second stream.
        """
        left, right = self.start_shell('a'), self.start_shell('b')
        left.dial(right)
        left.dial(right)
        seen = left.state.wait_for(events.PeerConnected)
        self.assertEqual(seen[0].hello.instance, 'b')
        right.state.wait_for(events.PeerConnected)
        left.peers.disconnect(effects.Disconnect(peer=right.name, reason=''))
        right.state.wait_for(events.PeerDisconnected)
        self.assertEqual(len(right.state.events_of(events.PeerConnected)), 1)

    # Guards against connections that fill the memory with large frames before
    # their peer has introduced itself, or with one that never ends after that.
    @params((4000, False, True), (5000, False, False), (5000, True, True))
    def test_frame_before_the_hello_is_small(
        self, size: int, has_hello: bool, stays_open: bool
    ) -> None:
        shell = self.start_shell('a')
        host, _, port = shell.peer_address.rpartition(':')
        peer = socket.create_connection((host, int(port)))
        self.addCleanup(peer.close)
        if has_hello:
            peer.sendall(msgpack.packb(HELLO))
            shell.state.wait_for(events.PeerConnected)
            peer.recv(BUFFER_BYTES)
        peer.sendall(LONG_BIN_START + bytes(size))
        peer.settimeout(0.3)
        is_open = False
        try:
            is_open = bool(peer.recv(BUFFER_BYTES))
        except TimeoutError:
            is_open = True
        self.assertIs(is_open, stays_open)

    # Guards against a peer that is never dialled again, or whose stream counts
    # as open for good, after an unexpected error.
    @params(
        (PeerConnections, '_create_stream', MemoryError('no memory')),
        (PeerConnections, '_encode_hello', RecursionError('too deep')),
        (PeerConnections, '_read_stream', gevent.Timeout(1, 'leaked')),
        (PeerStream, 'flush', gevent.Timeout(1, 'leaked')),
        (PeerConnections, '_handle_hello', MemoryError('no memory')),
    )
    def test_peer_is_dialled_again_after_an_unexpected_error(
        self, owner: type, name: str, error: BaseException
    ) -> None:
        left, right = self.start_shell('a'), self.start_shell('b')
        with patch.object(owner, name, side_effect=error):
            left.dial(right)
            lost = left.state.wait_for(events.PeerDisconnected)
        self.assertEqual([one.peer for one in lost], ['b'])
        # The server of the other side may wait after an error in an accept.
        gevent.sleep(0.05)
        left.dial(right)
        left.state.wait_for(events.PeerConnected)

    @params(('a', 'b'), ('b', 'a'))
    def test_simultaneous_dials_leave_one_stream_and_no_loss(
        self, first: str, second: str
    ) -> None:
        """Guard against two streams, no stream, or a lost message.

        Both daemons dial at the same time and send all the while.
        """
        left, right = self.start_shell(first), self.start_shell(second)
        left.dial(right)
        right.dial(left)
        pairs = ((left, right), (right, left))
        with gevent.Timeout(WAIT_SECONDS):
            while _sent_count(left) < 200 or _sent_count(right) < 200:
                for sender, receiver in pairs:
                    sender.send_messages(_pull_effect(receiver.name))
                gevent.sleep(0.0001)
        for sender, receiver in pairs:
            receiver.state.wait_for(
                events.PeerMessageReceived, _sent_count(sender)
            )
        for shell in (left, right):
            self.assertEqual(
                shell.observer.counts['peers.simultaneous_dials'],
                1,
            )
            self.assertEqual(
                len(shell.state.events_of(events.PeerConnected)), 1
            )
            self.assertEqual(shell.state.events_of(events.PeerDisconnected), [])

    def test_lower_name_closes_the_spare_stream_after_its_queue(self) -> None:
        """Guard against messages that are lost with the closed stream.

        The daemon with the lower name sends what it has queued on the spare
        stream before it closes the stream.
        """
        shell, dialled, spare = self._dial_simultaneously('b')
        message = _summary(digest=b'x' * 1_000_000)
        for _ in range(5):
            shell.send_messages(
                effects.SendMessage(peer=RAW_PEER, message=message)
            )
        dialled.sendall(msgpack.packb(HELLO))
        wait_until(lambda: 'peers.simultaneous_dials' in shell.observer.counts)
        spare.sendall(encode(message))
        shell.state.wait_for(events.PeerMessageReceived)
        unpacker = msgpack.Unpacker()
        while received := spare.recv(1 << 20):
            unpacker.feed(received)
        tags = [frame[0] for frame in unpacker]
        self.assertEqual(tags, ['hello', *('summary' for _ in range(5))])
        spare.close()
        shell.send_messages(_pull_effect(RAW_PEER))
        self._assert_tags(dialled, ['hello', 'pull'])
        self.assertEqual(shell.state.events_of(events.PeerDisconnected), [])

    def test_higher_name_keeps_the_spare_stream(self) -> None:
        """Guard against a close that overtakes the hello of the other stream.

        The daemon with the higher name keeps both streams until the peer
        closes one.
        """
        shell, dialled, spare = self._dial_simultaneously('z')
        dialled.sendall(msgpack.packb(HELLO))
        spare.sendall(encode(_summary()))
        shell.state.wait_for(events.PeerMessageReceived)
        self._assert_tags(dialled, ['hello'])
        dialled.settimeout(0)
        with self.assertRaises(BlockingIOError):
            dialled.recv(1)
        dialled.settimeout(WAIT_SECONDS)
        dialled.shutdown(socket.SHUT_WR)
        self.assertEqual(dialled.recv(1), b'')
        shell.send_messages(_pull_effect(RAW_PEER))
        self._assert_tags(spare, ['hello', 'pull'])
        self.assertEqual(shell.state.events_of(events.PeerDisconnected), [])

    @params(
        (b'\xc1', 'not msgpack'),
        (msgpack.packb(['pull', -1.5]), 'pull'),
        (msgpack.packb(HELLO), 'repeated'),
        (b'x' * 10, 'not an array'),
    )
    def test_malformed_frame_closes_only_its_stream(
        self,
        frame: bytes,
        reason: str,
    ) -> None:
        """Guard against a faulty peer that cuts off the other peers."""
        left, right = self.start_shell('a'), self.start_shell('b')
        left.dial(right)
        right.state.wait_for(events.PeerConnected)
        raw = self._connect_raw(right)
        raw.sendall(msgpack.packb(HELLO))
        right.state.wait_for(events.PeerConnected, 2)
        raw.sendall(frame)
        lost = right.state.wait_for(events.PeerDisconnected)
        self.assertEqual([event.peer for event in lost], ['raw'])
        self.assertIn(reason, lost[0].reason)
        code, fields = right.observer.logs[0]
        self.assertEqual((code, fields['peer']), ('malformed-frame', 'raw'))
        left.send_messages(
            effects.SendMessage(peer=right.name, message=_summary()),
        )
        right.state.wait_for(events.PeerMessageReceived)

    @params(
        encode(Pull(after=Revision(1))),
        msgpack.packb(['hello', 99, *HELLO[2:]]),
        msgpack.packb(['hello', 1, 'b', *HELLO[3:]]),
    )
    def test_stream_without_valid_hello_is_closed(self, frame: bytes) -> None:
        """Guard against messages from a peer that has not identified itself.

        The rows send a message before the hello, another protocol version, and
        the daemon's own name.
        """
        shell = self.start_shell('b')
        raw = self._connect_raw(shell)
        raw.sendall(frame)
        self.assertEqual(raw.recv(1), b'')
        self.assertEqual(shell.state.events, [])

    def test_slow_hello_is_timed_out(self) -> None:
        """Guard against peers that hold streams without a whole hello."""
        shell = self.start_shell('b')
        raw = self._connect_raw(shell)
        with patch('briartack.peer_connections._HELLO_TIMEOUT_SECONDS', 0.05):
            for byte in msgpack.packb(HELLO)[:-1]:
                gevent.sleep(0.01)
                try:
                    raw.sendall(bytes((byte,)))
                except OSError:
                    break
            else:
                self.fail('the stream is still open after the time limit')

    def test_failed_dial_is_reported(self) -> None:
        """Guard against a wait for a peer that is down."""
        shell = self.start_shell('a')
        peer = InstanceId('b')
        shell.peers.connect(
            effects.Connect(peer=peer, address=f'{LOCAL_HOST}:1')
        )
        lost = shell.state.wait_for(events.PeerDisconnected)
        self.assertEqual(lost[0].peer, 'b')

    def test_restarted_peer_replaces_its_stream(self) -> None:
        """Guard against messages to an incarnation that has ended."""
        shell = self.start_shell('b')
        old, new = self._connect_raw(shell), self._connect_raw(shell)
        old.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        new.sendall(msgpack.packb([*HELLO[:3], 'i2', *HELLO[4:]]))
        shell.state.wait_for(events.PeerConnected, 2)
        kinds = [type(event).__name__ for event in shell.state.events]
        self.assertEqual(
            kinds,
            ['PeerConnected', 'PeerDisconnected', 'PeerConnected'],
        )

    def test_peer_that_does_not_read_is_disconnected(self) -> None:
        """Guard against an unbounded queue for a frozen peer."""
        shell = self.start_shell('b')
        raw = self._connect_raw(shell)
        raw.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        message = _summary(digest=b'x' * 1_000_000)
        for _ in range(60):
            shell.send_messages(
                effects.SendMessage(peer=RAW_PEER, message=message),
            )
        lost = shell.state.wait_for(events.PeerDisconnected)
        self.assertIn('queue is full', lost[0].reason)
        self.assertEqual(shell.peers.unsent_bytes, 0)

    # Guards against a stream that is closed, and attempts that are lost with it
    # (502), because large answers are ready faster than they are sent.
    @params((3, False), (12, True))
    def test_several_large_answers_do_not_close_the_stream(
        self, count: int, is_closed: bool
    ) -> None:
        shell = self.start_shell('b')
        raw = self._connect_raw(shell)
        raw.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        body = bytes(MAX_BODY_BYTES)
        for number in range(count):
            attempt_id = AttemptId(f'a{number}')
            shell.bodies.put(answer_body_id(attempt_id), body)
            shell.peers.send_answer(
                effects.SendAnswer(
                    peer=RAW_PEER,
                    answer=_answer(attempt_id, body),
                    body_id=answer_body_id(attempt_id),
                )
            )
        shell.send_messages(
            effects.SendMessage(peer=RAW_PEER, message=_summary(digest=b''))
        )
        lost = shell.state.events_of(events.PeerDisconnected)
        self.assertEqual(bool(lost), is_closed)

    # Guards against a peer that takes no bytes and whose queue is kept.
    def test_large_answers_for_a_stalled_peer_close_the_stream(self) -> None:
        outbox = PeerOutbox(memory=MemoryBudget(max_bytes=1_000_000_000))
        with patch('briartack.peer_outbox.monotonic', return_value=1.0) as now:
            for number in range(3):
                outbox.queue_body(
                    attempt_id=AttemptId(f'a{number}'),
                    is_answer=True,
                    body=bytes(MAX_BODY_BYTES),
                )
            outbox.take_frames_and_chunk()
            self.assertFalse(outbox.is_over_limit)
            now.return_value += DEFAULT_SILENCE_SECONDS - 0.1
            outbox.take_frames_and_chunk()
            now.return_value += DEFAULT_SILENCE_SECONDS - 0.1
            self.assertFalse(outbox.is_over_limit)
            now.return_value += 0.2
            self.assertTrue(outbox.is_over_limit)

    @params(10, 65536, 65537, 5_000_000)
    def test_bodies_arrive_whole_in_both_directions(self, size: int) -> None:
        """Guard against bodies that are truncated or mixed with messages.

        The sizes lie on both sides of the size that fits into one message.
        """
        bodies = [bytes([65 + number]) * size for number in range(3)]
        server = EchoServer()
        self.addCleanup(server.stop, timeout=0)
        owner = self.start_shell('b', upstream=(LOCAL_HOST, server.server_port))
        sender = self.start_shell('a', peer=owner.name)
        sender.dial(owner)
        sender.state.wait_for(events.PeerConnected)
        callers = [sender.connect_caller() for _ in bodies]
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
        for number, body in enumerate(bodies):
            gevent.spawn(callers[number].sendall, b''.join((head, body)))
        answers = [read_answer(caller)[2] for caller in callers]
        self.assertEqual(answers, bodies)

    @params(('costa', 'own'), ('sierra', 'other'))
    def test_bytes_are_counted_by_purpose_and_region(
        self, peer_region: str, region_label: str
    ) -> None:
        """Guard against bytes counted for the wrong purpose or region.

        Bytes between regions are paid; bytes of calls are not control bytes.
        """
        shell = self.start_shell('b')
        raw = self._connect_raw(shell)
        hello = msgpack.packb([*HELLO[:6], peer_region, 1.0])
        pull, cancel = (
            encode(message)
            for message in (
                Pull(after=Revision(1)),
                Cancel(attempt_id=AttemptId('a1')),
            )
        )
        raw.sendall(hello + pull + cancel)
        shell.state.wait_for(events.PeerMessageReceived, 2)
        shell.send_messages(_pull_effect(InstanceId('raw')))
        counts = shell.observer.counts
        self.assertEqual(
            counts[f'peers.bytes received control {region_label}'],
            len(hello + pull),
        )
        self.assertEqual(
            counts[f'peers.bytes received call {region_label}'],
            len(cancel),
        )
        sent = counts[f'peers.bytes sent control {region_label}']
        self.assertEqual(sent, len(_receive_at_least(raw, sent)))

    def _dial_simultaneously(self, name: str) -> tuple[ShellFixture, Any, Any]:
        """Let a shell dial a raw peer that dials back before its hello.

        Return the shell, the stream that it dialled and the spare stream.
        """
        shell = self.start_shell(name)
        # `create_server` of gevent makes a listener that blocks the process.
        listener = socket.socket()
        listener.bind((LOCAL_HOST, 0))
        listener.listen()
        self.addCleanup(listener.close)
        address = '{}:{}'.format(*listener.getsockname())
        shell.peers.connect(effects.Connect(peer=RAW_PEER, address=address))
        dialled, _ = listener.accept()
        self.addCleanup(dialled.close)
        dialled.settimeout(WAIT_SECONDS)
        spare = self._connect_raw(shell)
        spare.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        return shell, dialled, spare

    def _assert_tags(self, raw: Any, tags: list[str]) -> None:
        """Check that the messages with these tags arrive at a raw peer."""
        unpacker = msgpack.Unpacker()
        seen: list[str] = []
        while len(seen) < len(tags):
            received = raw.recv(65536)
            if not received:
                raise EOFError(seen)
            unpacker.feed(received)
            seen.extend(frame[0] for frame in unpacker)
        self.assertEqual(seen, tags)

    def _connect_raw(self, shell: ShellFixture) -> Any:
        """Return a raw connection to the peer address of a shell."""
        raw = socket.create_connection(
            (LOCAL_HOST, shell.peer_server.server_port),
        )
        self.addCleanup(raw.close)
        raw.settimeout(WAIT_SECONDS)
        return raw


def _receive_at_least(raw: Any, size: int) -> bytes:
    """Receive until at least the given number of bytes have arrived."""
    raw.settimeout(WAIT_SECONDS)
    received = b''
    while len(received) < size:
        received += raw.recv(65536)
    return received


def _sent_count(shell: ShellFixture) -> int:
    """Return the number of messages that a shell has sent."""
    return shell.observer.counts.get('peers.messages_sent', 0)


def _pull_effect(peer: InstanceId) -> effects.SendMessage:
    """Return the effect that sends a pull to a peer."""
    return effects.SendMessage(peer=peer, message=Pull(after=Revision(1)))


def _answer(attempt_id: AttemptId, body: bytes) -> Answer:
    return Answer(
        attempt_id=attempt_id,
        verdict=Verdict.RAN,
        status=200,
        reason='',
        headers=(),
        body_bytes=len(body),
        body_digest=compute_body_digest(body),
        load=0,
        owner_clock=0,
    )


def _summary(digest: bytes = b'') -> Summary:
    """Return a summary whose size depends on its digest."""
    return Summary(
        incarnation=Incarnation('i1'),
        highest=Revision(1),
        configuration_digest=Digest(digest),
        instances_digest=Digest(b''),
        clock=1,
    )
