"""Tests of the framing of messages between daemons.

A peer may send malformed, oversized or truncated frames. None of them may
reach the core as a message or exhaust the memory of the daemon.
"""

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
    Summary,
)
from briartack.core.units import AttemptId, Digest, Incarnation, Revision
from briartack.core.verdict import Verdict
from briartack.framing import (
    FrameReader,
    MalformedFrameError,
    compute_body_digest,
    encode,
)
from briartack.memory_budget import Lease, MemoryBudget

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

# The head of a msgpack byte string that announces 4 GiB, and part of its data.
OVERSIZED_FRAME = b'\xc6\xff\xff\xff\xff%b'


def decode_stream(received: bytes) -> list[PeerMessage]:
    """Return the messages of a stream that arrives in one piece."""
    return list(FrameReader().feed(received))


class FramingTest(unittest.TestCase):
    @params(ATTEMPT, ANSWER, ENTRIES, Pull(after=Revision(3)))
    def test_messages_survive_encoding_and_decoding(
        self, message: PeerMessage
    ) -> None:
        """Guard against a field that encoding loses or gives another type."""
        self.assertEqual(decode_stream(encode(message)), [message])

    def test_stream_split_at_any_byte_yields_the_same_messages(self) -> None:
        """Guard against messages that depend on where TCP splits a stream."""
        frames = encode(ATTEMPT) + encode(ANSWER)
        for cut, _ in enumerate(frames):
            reader = FrameReader()
            before_cut = list(reader.feed(frames[:cut]))
            after_cut = list(reader.feed(frames[cut:]))
            self.assertEqual([*before_cut, *after_cut], [ATTEMPT, ANSWER], cut)

    @params(
        (['summary', 'i', 7, b'a', b'b', 1.0, False, False, None], (7, 7)),
        (
            ['summary', 'i', 7, b'a', b'b', 1.0, False, False, None, 5, 7],
            (5, 7),
        ),
        (['pull', 5], (5, 5)),
        (['pull', 5, 7, 'a field of a later release'], (5, 7)),
    )
    def test_other_releases_are_understood(
        self, fields: list[object], revisions: tuple[int, int]
    ) -> None:
        """Guard against streams that close during a rolling upgrade.

        Each row states a message with fewer or more fields, and the revisions
        of configuration and instances that it means.
        """
        found = [
            message.highest_revisions
            if isinstance(message, Summary)
            else message.after_revisions
            for message in decode_stream(msgpack.packb(fields))
            if isinstance(message, Summary | Pull)
        ]
        self.assertEqual(found, [revisions])

    @params(
        (['teams/a', 5, '{}', []], ()),
        (['teams/a', 5, '{}', [], [12], 'a field of a later release'], (12,)),
    )
    def test_entries_of_other_releases_are_understood(
        self, entry: list[object], stated: tuple[int, ...]
    ) -> None:
        """Guard against streams that close during a rolling upgrade.

        An earlier release does not send what the writer of an entry states.
        """
        packed = msgpack.packb(['entries', 5, [entry]])
        found = [
            (entry.revision, entry.stated)
            for message in decode_stream(packed)
            if isinstance(message, Entries)
            for entry in message.entries
        ]
        self.assertEqual(found, [(5, stated)])

    def test_large_entries_are_compressed(self) -> None:
        """Guard against configuration sent uncompressed on paid links."""
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
    def test_malformed_frame_raises(self, received: bytes, reason: str) -> None:
        """Guard against bytes that are accepted or awaited as a message.

        The last row zeroes three bytes inside a compressed frame.
        """
        with self.assertRaisesRegex(MalformedFrameError, reason):
            decode_stream(received)

    def test_message_before_a_malformed_frame_is_delivered(self) -> None:
        """Guard against the loss of messages sent before a malformed frame."""
        seen = []
        with self.assertRaises(MalformedFrameError):
            for message in FrameReader().feed(b'%b\xc1' % encode(ANSWER)):
                seen.append(message)
        self.assertEqual(seen, [ANSWER])

    def test_oversized_frame_raises(self) -> None:
        """Guard against a peer that fills the memory with a single frame."""
        reader = FrameReader()
        with self.assertRaises(MalformedFrameError):
            for _ in range(25):
                list(reader.feed(OVERSIZED_FRAME % (b'x' * 1_000_000)))


class AssemblyTest(unittest.TestCase):
    @params(
        ((0, b'abc'), (4, b'ef')),
        ((3, b'def'),),
        ((0, b'abc'), (0, b'abc')),
        ((0, b'abc'), (3, b'deX')),
        ((0, b'abcdefg'),),
        ((0, b''),),
    )
    def test_invalid_chunk_sequence_raises(
        self, *chunks: tuple[int, bytes]
    ) -> None:
        """Guard against a body with a gap, an overlap or a changed byte.

        The last two rows send more bytes than announced, and an empty chunk.
        """
        assembly = BodyAssembler(ANSWER, _lease())
        with self.assertRaises(MalformedFrameError):
            for offset, payload in chunks:
                assembly.add(_answer_chunk(offset, payload))

    def test_body_is_returned_with_its_last_chunk(self) -> None:
        """Guard against a body that is returned before its last chunk."""
        assembly = BodyAssembler(ANSWER, _lease())
        self.assertIsNone(assembly.add(_answer_chunk(0, b'abc')))
        self.assertEqual(assembly.add(_answer_chunk(3, b'def')), b'abcdef')

    def test_digest_depends_on_content_and_length(self) -> None:
        """Guard against a digest that misses a truncated or changed body."""
        digests: set[Digest] = {
            compute_body_digest(body)
            for body in (b'', b'\0', b'\0\0', b'a', b'b')
        }
        self.assertEqual(len(digests), 5)


def _lease() -> Lease:
    return MemoryBudget(max_bytes=1000).lease()


def _answer_chunk(offset: int, payload: bytes) -> Chunk:
    """Return a chunk of the body of `ANSWER`."""
    return Chunk(
        attempt_id=AttemptId('a1'),
        is_answer=True,
        offset=offset,
        payload=payload,
    )
