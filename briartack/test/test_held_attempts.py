"""Test that the bodies of attempts are held and granted between daemons."""

import unittest
from typing import Any, Final

import msgpack
from gevent import socket
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    Chunk,
    Grant,
    Hello,
    PeerMessage,
)
from briartack.core.units import (
    AttemptId,
    BodyId,
    CallId,
    Digest,
    Incarnation,
    InstanceId,
)
from briartack.core.verdict import Verdict
from briartack.framing import FrameReader, compute_body_digest, encode
from briartack.test.fake_reducer import (
    LOCAL_HOST,
    make_identity,
    wait_until,
)
from briartack.test.shell_fixture import ShellFixture

PEER: Final = InstanceId('peer')
ATTEMPT: Final = AttemptId('a1')
BODY_ID: Final = BodyId('call:a1')
LINK_RATE: Final = 625_000
UNGRANTED_BYTES: Final = 12_500
SIZE: Final = 30_000
LARGE_SIZE: Final = 200_000
BUDGET_BYTES: Final = 1_000_000
QUIET_SECONDS: Final = 0.2
READ_BYTES: Final = 65536
CHUNKS: Final = ('Chunk', 'Chunk', 'Chunk', 'Chunk')
# As a daemon of an earlier release encodes it.
OLD_HELLO: Final = ['hello', 1, 'peer', 'i1', 'saldo', 'costa-1', 'costa', 1.0]


def build_attempt(
    size: int = SIZE, attempt_id: AttemptId = ATTEMPT, **fields: Any
) -> Attempt:
    """Build an attempt whose body are zeros."""
    return Attempt(
        attempt_id=attempt_id,
        owner_incarnation=Incarnation('i1'),
        owner_clock=0,
        remaining_ms=5000,
        service='saldo',
        method='POST',
        target='/',
        headers=(),
        body_bytes=size,
        body_digest=compute_body_digest(bytes(size)) if size else Digest(b''),
        interactive=True,
        **fields,
    )


def build_chunk(size: int = SIZE) -> Chunk:
    """Build the only chunk of a body of zeros."""
    return Chunk(
        attempt_id=ATTEMPT, is_answer=False, offset=0, payload=bytes(size)
    )


def build_refusal() -> Answer:
    """Build the answer of an owner that refuses the attempt."""
    return Answer(
        attempt_id=ATTEMPT,
        verdict=Verdict.NOT_RUN,
        status=503,
        reason='overload',
        headers=(),
        body_bytes=0,
        body_digest=Digest(b''),
        load=1,
        owner_clock=0,
    )


class RawPeerTest(unittest.TestCase):
    """Let a raw socket be the peer of a daemon with a link of 5 Mbit/s."""

    def setUp(self) -> None:
        self.shell = ShellFixture(
            'b', link_bytes_per_second=LINK_RATE, budget_bytes=BUDGET_BYTES
        )
        self.addCleanup(self.shell.stop)
        self.memory = self.shell.bodies.memory
        self.raw = socket.create_connection(
            (LOCAL_HOST, self.shell.peer_server.server_port)
        )
        self.addCleanup(self.raw.close)
        self.raw.settimeout(QUIET_SECONDS)
        self.reader = FrameReader()

    def introduce(
        self, ungranted_bytes: int | None = UNGRANTED_BYTES
    ) -> list[PeerMessage]:
        """Say hello as the peer, and return what comes back."""
        identity = make_identity(PEER)
        hello = Hello(
            protocol_version=1,
            instance=identity.instance,
            incarnation=identity.incarnation,
            service=identity.service,
            data_centre=identity.data_centre,
            region=identity.region,
            clock=0,
            grants_answers=True,
            ungranted_body_bytes=ungranted_bytes,
        )
        self.raw.sendall(encode(hello))
        self.shell.state.wait_for(events.PeerConnected)
        return self.read_messages()

    def send(self, *messages: PeerMessage) -> None:
        """Send messages as the peer."""
        self.raw.sendall(b''.join(map(encode, messages)))

    def read_messages(self) -> list[PeerMessage]:
        """Return the messages that the peer gets until none comes."""
        messages: list[PeerMessage] = []
        while True:
            try:
                received = self.raw.recv(READ_BYTES)
            except (TimeoutError, ConnectionError):
                return messages
            if not received:
                return messages
            messages.extend(self.reader.feed(received))


class HeldAttemptsTest(RawPeerTest):
    """The shell sends attempts, and the raw peer is their owner."""

    def send_attempt(self, size: int = SIZE, **fields: Any) -> None:
        self.shell.bodies.put(BODY_ID, bytes(size))
        self.shell.peers.send_attempt(
            effects.SendAttempt(
                peer=PEER,
                attempt=build_attempt(size, **fields),
                body_id=BODY_ID,
            )
        )
        self.shell.peers.flush()

    def read_tags(self) -> list[str]:
        return [type(message).__name__ for message in self.read_messages()]

    # Guards against bodies that fill the link of an owner before it asks for
    # them, and small ones that wait for a round trip.
    @params(
        (UNGRANTED_BYTES, False, ['Attempt'], []),
        (UNGRANTED_BYTES + 1, True, ['Attempt'], ['Chunk']),
        (SIZE, True, ['Attempt'], ['Chunk']),
        (LARGE_SIZE, True, ['Attempt'], list(CHUNKS)),
    )
    def test_body_waits_for_the_grant(
        self, size: int, awaits: bool, before: list[str], after: list[str]
    ) -> None:
        self.introduce()
        self.send_attempt(size)
        messages = self.read_messages()
        self.assertEqual([type(one).__name__ for one in messages], before)
        head = messages[0]
        assert isinstance(head, Attempt)
        self.assertEqual(head.awaits_grant, awaits)
        self.assertEqual(len(head.body), 0 if awaits else size)
        self.send(Grant(attempt_id=ATTEMPT))
        self.assertEqual(self.read_tags(), after)

    # Guards against heads without bodies at a peer that never grants them,
    # also if the core still believes that it does.
    @params(False, True)
    def test_peer_without_grants_gets_the_body(self, is_expected: bool) -> None:
        self.raw.sendall(msgpack.packb(OLD_HELLO))
        self.shell.state.wait_for(events.PeerConnected)
        self.send_attempt(awaits_grant=is_expected)
        head = self.read_messages()[-1]
        assert isinstance(head, Attempt)
        self.assertFalse(head.awaits_grant)
        self.assertEqual(len(head.body), SIZE)

    # Guards against small messages that are stuck behind bodies that wait.
    def test_small_messages_pass(self) -> None:
        self.introduce()
        self.send_attempt(LARGE_SIZE)
        self.send_attempt(0, attempt_id=AttemptId('a2'))
        self.assertEqual(self.read_tags(), ['Attempt', 'Attempt'])
        self.assertEqual(self.shell.peers.unsent_bytes, 0)

    # Guards against bodies that are kept or sent for attempts that have ended.
    @params('cancel', 'answer')
    def test_body_of_an_ended_attempt_is_dropped(self, cause: str) -> None:
        self.introduce()
        self.send_attempt()
        if cause == 'cancel':
            cancel = Cancel(attempt_id=ATTEMPT)
            self.shell.send_messages(
                effects.SendMessage(peer=PEER, message=cancel)
            )
        else:
            # The fake reducer answers a call that it doesn't know.
            self.shell.state.calls[CallId(ATTEMPT)] = None  # type: ignore
            self.send(build_refusal())
            self.shell.state.wait_for(events.PeerMessageReceived)
        self.read_messages()
        self.send(Grant(attempt_id=ATTEMPT))
        self.assertEqual(self.read_tags(), [])


class GrantedAttemptsTest(RawPeerTest):
    """The raw peer sends attempts, and the shell is their owner."""

    def receive_head(self, size: int = SIZE) -> events.PeerMessageReceived:
        """Send the head of an attempt as the peer."""
        self.introduce()
        self.send(build_attempt(size, awaits_grant=True))
        received: Any = self.shell.state.wait_for(events.PeerMessageReceived)
        head: events.PeerMessageReceived = received[-1]
        return head

    def grant(self) -> list[PeerMessage]:
        """Grant the body, and return what the peer gets."""
        self.shell.peers.grant_body(
            effects.GrantBody(peer=PEER, attempt_id=ATTEMPT)
        )
        return self.read_messages()

    # Guards against peers that push bodies since they don't know the size, and
    # against a size that is stated without a link rate.
    @params((LINK_RATE, UNGRANTED_BYTES), (None, None))
    def test_hello_states_the_size(
        self, rate: float | None, size: int | None
    ) -> None:
        self.shell.peers.replace_link_rate(rate)
        hello = self.introduce()[0]
        assert isinstance(hello, Hello)
        self.assertEqual(hello.ungranted_body_bytes, size)

    # Guards against memory that is taken by bodies which have yet to be sent,
    # and against bodies that arrive without room for them.
    def test_memory_is_reserved_with_the_grant(self) -> None:
        self.assertTrue(self.receive_head().has_room)
        self.assertEqual(self.memory.body_bytes, 0)
        self.assertEqual(self.grant(), [Grant(attempt_id=ATTEMPT)])
        self.assertEqual(self.memory.body_bytes, SIZE)
        self.send(build_chunk())
        self.shell.state.wait_for(events.AttemptBodyRead)
        self.assertEqual(self.memory.body_bytes, SIZE)

    # Guards against a grant above the limit of the memory, and against a head
    # that is lost because there was no room for a moment.
    def test_grant_without_memory_is_reported(self) -> None:
        self.receive_head()
        lease = self.memory.lease(BUDGET_BYTES)
        self.assertEqual(self.grant(), [])
        missing = self.shell.state.wait_for(events.BodyRoomMissing)
        self.assertEqual(missing[0].attempt_id, ATTEMPT)
        lease.release()
        self.assertEqual(self.grant(), [Grant(attempt_id=ATTEMPT)])
        self.assertEqual(self.memory.body_bytes, SIZE)

    # Guards against heads that wait for a body which can never fit.
    def test_head_of_a_body_beyond_the_memory_has_no_room(self) -> None:
        self.assertFalse(self.receive_head(BUDGET_BYTES).has_room)

    # Guards against memory that is reserved for attempts that have ended.
    @params('cancel', 'refusal', 'loss')
    def test_ended_attempt_is_not_granted(self, cause: str) -> None:
        self.receive_head()
        if cause == 'cancel':
            self.send(Cancel(attempt_id=ATTEMPT))
            self.shell.state.wait_for(events.PeerMessageReceived, 2)
        elif cause == 'loss':
            self.raw.close()
            self.shell.state.wait_for(events.PeerDisconnected)
        else:
            self.shell.peers.send_answer(
                effects.SendAnswer(
                    peer=PEER, answer=build_refusal(), body_id=None
                )
            )
            self.shell.peers.flush()
        self.shell.peers.grant_body(
            effects.GrantBody(peer=PEER, attempt_id=ATTEMPT)
        )
        self.assertEqual(self.memory.body_bytes, 0)
        self.assertEqual(self.shell.state.events_of(events.BodyRoomMissing), [])

    # Guards against a body that reaches the upstream although it was not
    # granted, and against streams that end for it.
    def test_body_without_a_grant_is_ignored(self) -> None:
        self.receive_head()
        self.send(build_chunk())
        self.assertEqual(self.grant(), [Grant(attempt_id=ATTEMPT)])
        self.send(build_chunk())
        self.shell.state.wait_for(events.AttemptBodyRead)

    # Guards against a body that is sent twice, with the head and in chunks.
    def test_head_with_its_body_ends_the_stream(self) -> None:
        self.introduce()
        self.send(build_attempt(body=bytes(SIZE), awaits_grant=True))
        wait_until(
            lambda: bool(self.shell.state.events_of(events.PeerDisconnected))
        )
