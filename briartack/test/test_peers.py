"""Streams between daemons over real sockets."""

import unittest
from typing import Any
from unittest.mock import patch

import gevent
import msgpack
from gevent import socket
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.messages import Cancel, Pull, Summary
from briartack.core.units import (
    AttemptId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.framing import encode
from briartack.test.fake_reducer import (
    LOCAL,
    WAIT_SECONDS,
    EchoServer,
    wait_until,
)
from briartack.test.small_shell import SmallShell, read_answer

RAW = InstanceId('raw')
HELLO = ['hello', 1, 'raw', 'i1', 'saldo', 'costa-1', 'costa', 1.0]


class PeersTest(unittest.TestCase):
    def shell(self, name: str, **settings: Any) -> SmallShell:
        shell = SmallShell(name, **settings)
        self.addCleanup(shell.stop)
        return shell

    def test_connect_and_disconnect(self) -> None:
        """Guards against a stream that only one side knows of."""
        left, right = self.shell('a'), self.shell('b')
        left.dial(right)
        left.dial(right)
        seen = left.state.wait_for(events.PeerConnected)
        self.assertEqual(seen[0].hello.instance, 'b')
        right.state.wait_for(events.PeerConnected)
        left.peers.disconnect(effects.Disconnect(peer=right.name, reason=''))
        right.state.wait_for(events.PeerDisconnected)
        self.assertEqual(len(right.state.seen(events.PeerConnected)), 1)

    @params(('a', 'b'), ('b', 'a'))
    def test_simultaneous_dial(self, first: str, second: str) -> None:
        """Guards against two streams, none, or a lost message."""
        left, right = self.shell(first), self.shell(second)
        left.dial(right)
        right.dial(left)
        pairs = ((left, right), (right, left))
        with gevent.Timeout(WAIT_SECONDS):
            while _sent(left) < 200 or _sent(right) < 200:
                for sender, receiver in pairs:
                    sender.execute(_pull(receiver.name))
                gevent.sleep(0.0001)
        for sender, receiver in pairs:
            receiver.state.wait_for(events.PeerMessageReceived, _sent(sender))
        for shell in (left, right):
            self.assertEqual(
                shell.observer.counts['peers.simultaneous_dials'],
                1,
            )
            self.assertEqual(len(shell.state.seen(events.PeerConnected)), 1)
            self.assertEqual(shell.state.seen(events.PeerDisconnected), [])

    def test_lower_side_ends_the_spare_stream_after_its_queue(self) -> None:
        """Guards against messages lost with the stream that is given up."""
        shell, dialled, spare = self._crossed('b')
        message = _summary(digest=b'x' * 1_000_000)
        for _ in range(5):
            shell.execute(effects.SendMessage(peer=RAW, message=message))
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
        shell.execute(_pull(RAW))
        self._expect_tags(dialled, ['hello', 'pull'])
        self.assertEqual(shell.state.seen(events.PeerDisconnected), [])

    def test_higher_side_keeps_the_spare_stream_until_its_end(self) -> None:
        """Guards against an end that overtakes the hello of the other."""
        shell, dialled, spare = self._crossed('z')
        dialled.sendall(msgpack.packb(HELLO))
        spare.sendall(encode(_summary()))
        shell.state.wait_for(events.PeerMessageReceived)
        self._expect_tags(dialled, ['hello'])
        dialled.settimeout(0)
        with self.assertRaises(BlockingIOError):
            dialled.recv(1)
        dialled.settimeout(WAIT_SECONDS)
        dialled.shutdown(socket.SHUT_WR)
        self.assertEqual(dialled.recv(1), b'')
        shell.execute(_pull(RAW))
        self._expect_tags(spare, ['hello', 'pull'])
        self.assertEqual(shell.state.seen(events.PeerDisconnected), [])

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
        """Guards against one broken peer that cuts off the others."""
        left, right = self.shell('a'), self.shell('b')
        left.dial(right)
        right.state.wait_for(events.PeerConnected)
        raw = self._raw(right)
        raw.sendall(msgpack.packb(HELLO))
        right.state.wait_for(events.PeerConnected, 2)
        raw.sendall(frame)
        lost = right.state.wait_for(events.PeerDisconnected)
        self.assertEqual([event.peer for event in lost], ['raw'])
        self.assertIn(reason, lost[0].reason)
        code, fields = right.observer.logs[0]
        self.assertEqual((code, fields['peer']), ('malformed-frame', 'raw'))
        left.execute(
            effects.SendMessage(peer=right.name, message=_summary()),
        )
        right.state.wait_for(events.PeerMessageReceived)

    @params(
        encode(Pull(after=Revision(1))),
        msgpack.packb(['hello', 99, *HELLO[2:]]),
        msgpack.packb(['hello', 1, 'b', *HELLO[3:]]),
    )
    def test_wrong_greeting(self, frame: bytes) -> None:
        """Guards against messages from a peer that has not said its name."""
        shell = self.shell('b')
        raw = self._raw(shell)
        raw.sendall(frame)
        self.assertEqual(raw.recv(1), b'')
        self.assertEqual(shell.state.events, [])

    def test_slow_greeting(self) -> None:
        """Guards against peers that hold streams without saying a name."""
        shell = self.shell('b')
        raw = self._raw(shell)
        with patch('briartack.peer_connections._HELLO_SECONDS', 0.05):
            for byte in msgpack.packb(HELLO)[:-1]:
                gevent.sleep(0.01)
                try:
                    raw.sendall(bytes((byte,)))
                except OSError:
                    break
            else:
                self.fail('the stream is still open')

    def test_failed_dial_is_reported(self) -> None:
        """Guards against waiting for a peer that is down."""
        shell = self.shell('a')
        peer = InstanceId('b')
        shell.peers.connect(effects.Connect(peer=peer, address=f'{LOCAL}:1'))
        lost = shell.state.wait_for(events.PeerDisconnected)
        self.assertEqual(lost[0].peer, 'b')

    def test_restarted_peer_replaces_its_stream(self) -> None:
        """Guards against messages to a dead incarnation."""
        shell = self.shell('b')
        old, new = self._raw(shell), self._raw(shell)
        old.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        new.sendall(msgpack.packb([*HELLO[:3], 'i2', *HELLO[4:]]))
        shell.state.wait_for(events.PeerConnected, 2)
        kinds = [type(event).__name__ for event in shell.state.events]
        self.assertEqual(
            kinds,
            ['PeerConnected', 'PeerDisconnected', 'PeerConnected'],
        )

    def test_peer_that_does_not_read_loses_its_stream(self) -> None:
        """Guards against memory without bound for a frozen peer."""
        shell = self.shell('b')
        raw = self._raw(shell)
        raw.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        message = _summary(digest=b'x' * 1_000_000)
        for _ in range(60):
            shell.execute(
                effects.SendMessage(peer=RAW, message=message),
            )
        lost = shell.state.wait_for(events.PeerDisconnected)
        self.assertIn('queue is full', lost[0].reason)
        self.assertEqual(shell.peers.queued_bytes, 0)

    @params(10, 65536, 65537, 5_000_000)
    def test_bodies_both_ways_over_one_hop(self, size: int) -> None:
        """Guards against bodies that are cut or mixed with other messages."""
        bodies = [bytes([65 + number]) * size for number in range(3)]
        server = EchoServer()
        self.addCleanup(server.stop, timeout=0)
        owner = self.shell('b', upstream=(LOCAL, server.server_port))
        sender = self.shell('a', peer=owner.name)
        sender.dial(owner)
        sender.state.wait_for(events.PeerConnected)
        callers = [sender.caller() for _ in bodies]
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n' % size
        for number, body in enumerate(bodies):
            gevent.spawn(callers[number].sendall, b''.join((head, body)))
        answers = [read_answer(caller)[2] for caller in callers]
        self.assertEqual(answers, bodies)

    @params(('costa', 'own'), ('sierra', 'other'))
    def test_bytes_are_told_apart(self, home: str, region: str) -> None:
        """Guards against paid bytes and bytes of calls counted as others."""
        shell = self.shell('b')
        raw = self._raw(shell)
        hello = msgpack.packb([*HELLO[:6], home, 1.0])
        pull, cancel = (
            encode(message)
            for message in (
                Pull(after=Revision(1)),
                Cancel(attempt_id=AttemptId('a1')),
            )
        )
        raw.sendall(hello + pull + cancel)
        shell.state.wait_for(events.PeerMessageReceived, 2)
        shell.execute(_pull(InstanceId('raw')))
        counts = shell.observer.counts
        self.assertEqual(
            counts[f'peers.bytes received control {region}'],
            len(hello + pull),
        )
        self.assertEqual(
            counts[f'peers.bytes received call {region}'],
            len(cancel),
        )
        sent = counts[f'peers.bytes sent control {region}']
        self.assertEqual(sent, len(_received(raw, sent)))

    def _crossed(self, name: str) -> tuple[SmallShell, Any, Any]:
        """Let a shell dial a raw peer that dials back before its hello."""
        shell = self.shell(name)
        # `create_server` of gevent makes a listener that blocks the process.
        listener = socket.socket()
        listener.bind((LOCAL, 0))
        listener.listen()
        self.addCleanup(listener.close)
        address = '{}:{}'.format(*listener.getsockname())
        shell.peers.connect(effects.Connect(peer=RAW, address=address))
        dialled, _ = listener.accept()
        self.addCleanup(dialled.close)
        dialled.settimeout(WAIT_SECONDS)
        spare = self._raw(shell)
        spare.sendall(msgpack.packb(HELLO))
        shell.state.wait_for(events.PeerConnected)
        return shell, dialled, spare

    def _expect_tags(self, raw: Any, tags: list[str]) -> None:
        unpacker = msgpack.Unpacker()
        seen: list[str] = []
        while len(seen) < len(tags):
            received = raw.recv(65536)
            if not received:
                raise EOFError(seen)
            unpacker.feed(received)
            seen.extend(frame[0] for frame in unpacker)
        self.assertEqual(seen, tags)

    def _raw(self, shell: SmallShell) -> Any:
        raw = socket.create_connection(
            (LOCAL, shell.peer_server.server_port),
        )
        self.addCleanup(raw.close)
        raw.settimeout(WAIT_SECONDS)
        return raw


def _received(raw: Any, size: int) -> bytes:
    """Receive a number of bytes, and more if more is there."""
    raw.settimeout(WAIT_SECONDS)
    received = b''
    while len(received) < size:
        received += raw.recv(65536)
    return received


def _sent(shell: SmallShell) -> int:
    return shell.observer.counts.get('peers.messages_sent', 0)


def _pull(peer: InstanceId) -> effects.SendMessage:
    return effects.SendMessage(peer=peer, message=Pull(after=Revision(1)))


def _summary(digest: bytes = b'') -> Summary:
    return Summary(
        incarnation=Incarnation('i1'),
        highest=Revision(1),
        configuration_digest=Digest(digest),
        instances_digest=Digest(b''),
        clock=1,
    )
