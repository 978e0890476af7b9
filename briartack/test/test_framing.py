"""Frames of peers: what a broken or hostile stream may not do."""

import unittest

import msgpack
from nose2.tools import params

from briartack.bodies import BodyAssembler
from briartack.core.entries import Entry
from briartack.core.messages import (
    Answer,
    Attempt,
    Chunk,
    Entries,
    PeerMessage,
    Pull,
)
from briartack.core.units import AttemptId, Digest, Incarnation, Revision
from briartack.core.verdict import Verdict
from briartack.framing import (
    FrameReader,
    MalformedFrameError,
    compute_body_digest,
    encode,
)

ATTEMPT = Attempt(
    attempt_id=AttemptId('a1'),
    owner_incarnation=Incarnation('i1'),
    owner_clock=1.5,
    remaining_ms=20,
    service='saldo',
    method='POST',
    target='/saldo/1',
    headers=(('X-Tenant', 'galapagos'),),
    body_bytes=3,
    body_digest=compute_body_digest(b'abc'),
    interactive=True,
    body=b'abc',
)
ANSWER = Answer(
    attempt_id=AttemptId('a1'),
    verdict=Verdict.RAN,
    status=200,
    reason='',
    headers=(),
    body_bytes=6,
    body_digest=compute_body_digest(b'abcdef'),
    load=0.5,
    owner_clock=2,
)
ENTRIES = Entries(
    highest=Revision(9),
    entries=tuple(
        Entry(key=f'teams/t{number}', revision=Revision(9), value='{}' * 90)
        for number in range(100)
    ),
)


HUGE_FRAME = b'\xc6\xff\xff\xff\xff%b'


def read_all(received: bytes) -> list[PeerMessage]:
    """Read a stream that arrives at once."""
    return list(FrameReader().feed(received))


class FramingTest(unittest.TestCase):
    @params(ATTEMPT, ANSWER, ENTRIES, Pull(after=Revision(3)))
    def test_round_trip(self, message: PeerMessage) -> None:
        """Guards against fields that are lost or change type."""
        self.assertEqual(read_all(encode(message)), [message])

    def test_every_cut_of_a_stream(self) -> None:
        """Guards against messages that depend on packet borders."""
        frames = encode(ATTEMPT) + encode(ANSWER)
        for cut, _ in enumerate(frames):
            reader = FrameReader()
            early = list(reader.feed(frames[:cut]))
            late = list(reader.feed(frames[cut:]))
            self.assertEqual([*early, *late], [ATTEMPT, ANSWER], cut)

    def test_large_entries_are_compressed(self) -> None:
        """Guards against paying for uncompressed configuration."""
        self.assertLess(len(encode(ENTRIES)), 2000)

    @params(
        (b'\xc1', 'not msgpack'),
        (msgpack.packb({'tag': 'pull'}), 'not an array'),
        (msgpack.packb([]), 'not an array'),
        (msgpack.packb(['no-such-tag', 1]), 'unknown tag'),
        (msgpack.packb([7, 1]), 'unknown tag'),
        (msgpack.packb(['pull', 'text']), 'pull: '),
        (msgpack.packb(['pull']), 'pull: '),
        (msgpack.packb(['zlib', b'garbage']), 'compressed frame'),
        (msgpack.packb(['zlib', 'text']), 'no bytes'),
        (encode(ENTRIES)[:4] + b'\0' * 3 + encode(ENTRIES)[7:], ''),
    )
    def test_malformed(self, received: bytes, reason: str) -> None:
        """Guards against taking or hanging on bytes that are no message."""
        with self.assertRaisesRegex(MalformedFrameError, reason):
            read_all(received)

    def test_message_before_a_malformed_frame_arrives(self) -> None:
        """Guards against losing what was sent before the fault."""
        seen = []
        with self.assertRaises(MalformedFrameError):
            for message in FrameReader().feed(b'%b\xc1' % encode(ANSWER)):
                seen.append(message)
        self.assertEqual(seen, [ANSWER])

    def test_oversized_frame(self) -> None:
        """Guards against a peer that fills the memory with one frame."""
        reader = FrameReader()
        with self.assertRaises(MalformedFrameError):
            for _ in range(25):
                list(reader.feed(HUGE_FRAME % (b'x' * 1_000_000)))


class AssemblyTest(unittest.TestCase):
    @params(
        ((0, b'abc'), (4, b'ef')),
        ((3, b'def'),),
        ((0, b'abc'), (0, b'abc')),
        ((0, b'abc'), (3, b'deX')),
        ((0, b'abcdefg'),),
        ((0, b''),),
    )
    def test_wrong_chunks(self, *chunks: tuple[int, bytes]) -> None:
        """Guards against a body with a gap, an overlap or a changed byte."""
        assembly = BodyAssembler(ANSWER)
        with self.assertRaises(MalformedFrameError):
            for offset, payload in chunks:
                assembly.add(_chunk(offset, payload))

    def test_whole_body(self) -> None:
        """Guards against a body that is handed over before its end."""
        assembly = BodyAssembler(ANSWER)
        self.assertIsNone(assembly.add(_chunk(0, b'abc')))
        self.assertEqual(assembly.add(_chunk(3, b'def')), b'abcdef')

    def test_digest_notices_truncation_and_change(self) -> None:
        """Guards against a digest that ignores the end of a body."""
        digests: set[Digest] = {
            compute_body_digest(body)
            for body in (b'', b'\0', b'\0\0', b'a', b'b')
        }
        self.assertEqual(len(digests), 5)


def _chunk(offset: int, payload: bytes) -> Chunk:
    return Chunk(
        attempt_id=AttemptId('a1'),
        is_answer=True,
        offset=offset,
        payload=payload,
    )
