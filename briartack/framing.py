"""Encode and decode the messages between daemons.

A stream is a sequence of msgpack arrays. The first element of an array is the
tag of the message. `Entries` above 4 KB are sent as `['zlib', bytes]`, where
the bytes are the compressed array.
"""

import zlib
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, final

import msgpack
import msgspec

from briartack.core.entries import Entry, KeyVersion
from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    CapGrant,
    CapRequest,
    Chunk,
    Entries,
    Goodbye,
    Grant,
    Hello,
    Inventory,
    InventoryReply,
    PeerMessage,
    Pull,
    Summary,
)
from briartack.core.units import Digest

MAX_FRAME_BYTES: Final = 20_000_000
# A peer that has yet to introduce itself gets no more memory than its hello.
MAX_HELLO_BYTES: Final = 4096
MAX_UNCOMPRESSED_BYTES: Final = 64_000_000
COMPRESSION_THRESHOLD_BYTES: Final = 4096
# Most reads of a stream are smaller. A buffer that has grown beyond it is
# freed once it is empty: msgpack would keep its size as long as the stream.
_BUFFER_BYTES: Final = 16_384
# How msgpack enlarges a buffer that is too small.
_BUFFER_GROWTH: Final = 2
# Compression blocks the event loop, and level 1 takes a third of the time of
# level 6.
_COMPRESSION_LEVEL: Final = 1
_COMPRESSED_TAG: Final = 'zlib'
_DIGEST_BYTES: Final = 4
_MAX_SHOWN_TAG_CHARACTERS: Final = 32
_BUILTIN_TYPES: Final = (bytes,)

PeerMessageType: TypeAlias = (
    type[Hello]
    | type[Summary]
    | type[Pull]
    | type[Entries]
    | type[Inventory]
    | type[InventoryReply]
    | type[Attempt]
    | type[Chunk]
    | type[Answer]
    | type[Grant]
    | type[Cancel]
    | type[Goodbye]
    | type[CapRequest]
    | type[CapGrant]
)

# msgspec converts to a concrete class many times faster than to the union.
_MESSAGE_CLASSES: Final[Mapping[str, PeerMessageType]] = MappingProxyType(
    {
        'hello': Hello,
        'summary': Summary,
        'pull': Pull,
        'entries': Entries,
        'inventory': Inventory,
        'inventory_reply': InventoryReply,
        'attempt': Attempt,
        'chunk': Chunk,
        'answer': Answer,
        'grant': Grant,
        'cancel': Cancel,
        'goodbye': Goodbye,
        'cap_request': CapRequest,
        'cap_grant': CapGrant,
    }
)


# Messages with a list that contains what other processes have written.
_LIST_INDEX: Final = 2
_ELEMENT_TYPES: Final[Mapping[str, object]] = MappingProxyType(
    {'entries': Entry, 'inventory_reply': tuple[str, KeyVersion]}
)


@final
class MalformedFrameError(Exception):
    """Report why received bytes are not a valid message."""


def compute_body_digest(body: bytes | bytearray) -> Digest:
    """Return the CRC-32 of a body, which detects corruption but not forgery.

    CRC-32 takes 20 µs for 64 KB where blake2b takes 115 µs. The length of a
    body is checked separately.
    """
    return Digest(zlib.crc32(body).to_bytes(_DIGEST_BYTES, 'big'))


def encode(message: PeerMessage) -> bytes:
    """Encode a message as one frame."""
    packed = _pack(message)
    if (
        isinstance(message, Entries)
        and len(packed) > COMPRESSION_THRESHOLD_BYTES
    ):
        compressed = zlib.compress(packed, _COMPRESSION_LEVEL)
        packed = msgpack.packb([_COMPRESSED_TAG, compressed])
    return packed


def _pack(message: PeerMessage) -> bytes:
    packed: bytes = msgpack.packb(
        msgspec.to_builtins(message, builtin_types=_BUILTIN_TYPES),
    )
    return packed


@final
class FrameReader:
    """Decode the bytes of one stream into messages.

    Frames larger than `max_frame_bytes` are refused before they are complete.
    """

    __slots__ = (
        '_unpacker',
        '_buffer_bytes',
        '_fed_bytes',
        '_frame_end',
        '_last_frame_bytes',
        '_refused',
        'max_frame_bytes',
    )

    def __init__(self) -> None:
        self.max_frame_bytes = MAX_FRAME_BYTES
        self._unpacker = _create_unpacker()
        self._buffer_bytes = _BUFFER_BYTES
        self._fed_bytes = 0
        self._frame_end = 0
        self._last_frame_bytes = 0
        self._refused: list[str] = []

    @property
    def last_frame_bytes(self) -> int:
        """Return the encoded size of the last message in bytes."""
        return self._last_frame_bytes

    def take_refused(self) -> tuple[str, ...]:
        """Return why elements were left out since the last call."""
        refused = tuple(self._refused)
        self._refused.clear()
        return refused

    def feed(self, received: bytes | memoryview) -> Iterator[PeerMessage]:
        """Yield the messages that the received bytes complete.

        The bytes are copied before the first message is yielded. Raises
        MalformedFrameError.
        """
        self._feed_buffer(received)
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                self._check_rest()
                if not self._unread_bytes:
                    self._shrink_buffer()
                return
            except (ValueError, msgpack.UnpackException) as error:
                raise MalformedFrameError(
                    f'not msgpack: {type(error).__name__} {error}',
                ) from None
            position = self._unpacker.tell()
            self._last_frame_bytes = position - self._frame_end
            self._frame_end = position
            yield decode(frame, self._refused)

    @property
    def _unread_bytes(self) -> int:
        return self._fed_bytes - self._frame_end

    def _feed_buffer(self, received: bytes | memoryview) -> None:
        needed_bytes = self._unread_bytes + len(received)
        try:
            self._unpacker.feed(received)
        except msgpack.BufferFull:
            raise MalformedFrameError(
                f'frame is larger than {MAX_FRAME_BYTES} bytes',
            ) from None
        self._fed_bytes += len(received)
        if needed_bytes > self._buffer_bytes:
            self._buffer_bytes = min(
                needed_bytes * _BUFFER_GROWTH, MAX_FRAME_BYTES
            )

    def _shrink_buffer(self) -> None:
        if self._buffer_bytes > _BUFFER_BYTES:
            self._unpacker = _create_unpacker()
            self._buffer_bytes = _BUFFER_BYTES
            self._fed_bytes = 0
            self._frame_end = 0

    def _check_rest(self) -> None:
        if self._unread_bytes > self.max_frame_bytes:
            raise MalformedFrameError(
                f'frame is larger than {self.max_frame_bytes} bytes',
            )


def decode(frame: object, refused: list[str]) -> PeerMessage:
    """Convert an unpacked msgpack array to a message.

    Malformed elements of a list that the peer passes on are left out, with the
    reasons added to `refused`. Raises MalformedFrameError.
    """
    if not isinstance(frame, list) or not frame:
        raise MalformedFrameError(
            'frame is not an array that starts with a tag'
        )
    tag = frame[0]
    if not isinstance(tag, str):
        raise MalformedFrameError(f'unknown tag of type {type(tag).__name__}')
    if tag == _COMPRESSED_TAG:
        return _decode_compressed(frame, refused)
    message_class = _MESSAGE_CLASSES.get(tag)
    if message_class is None:
        raise MalformedFrameError(
            f'unknown tag {tag[:_MAX_SHOWN_TAG_CHARACTERS]!r}'
        )
    try:
        return msgspec.convert(frame, message_class)
    except msgspec.ValidationError as error:
        kept = _keep_valid_elements(tag, frame, refused)
        if kept is None:
            raise MalformedFrameError(f'{tag}: {error}') from None
    return _convert(kept, message_class)


def check_entry(entry: Entry) -> str:
    """Return why a peer would leave out an entry; empty if it would not."""
    refused: list[str] = []
    message = Entries(highest=entry.revision, entries=(entry,))
    try:
        decode(msgpack.unpackb(_pack(message)), refused)
    except (MalformedFrameError, OverflowError, ValueError) as error:
        return str(error)
    return '; '.join(refused)


def _create_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        read_size=_BUFFER_BYTES, max_buffer_size=MAX_FRAME_BYTES
    )


def _convert(
    frame: list[object], message_class: PeerMessageType
) -> PeerMessage:
    try:
        return msgspec.convert(frame, message_class)
    except msgspec.ValidationError as error:
        raise MalformedFrameError(f'{frame[0]}: {error}') from None


def _keep_valid_elements(
    tag: str, frame: list[object], refused: list[str]
) -> list[object] | None:
    """Return a frame without the malformed elements of its list.

    Returns None if the message passes on no list. One such element must not
    end the stream, which carries the calls of other routes.
    """
    element_type = _ELEMENT_TYPES.get(tag)
    elements = frame[_LIST_INDEX] if len(frame) > _LIST_INDEX else None
    if element_type is None or not isinstance(elements, list):
        return None
    kept: list[object] = []
    for element in elements:
        try:
            msgspec.convert(element, element_type)
        except msgspec.ValidationError as error:
            refused.append(f'{tag}: {error}')
        else:
            kept.append(element)
    return [*frame[:_LIST_INDEX], kept, *frame[_LIST_INDEX + 1 :]]


def _decode_compressed(frame: list[object], refused: list[str]) -> PeerMessage:
    if len(frame) != 2 or not isinstance(frame[1], bytes):
        raise MalformedFrameError('compressed frame has no bytes')
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(frame[1], MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise MalformedFrameError(f'compressed frame: {error}') from None
    if not decompressor.eof:
        raise MalformedFrameError('compressed frame is truncated or too large')
    try:
        inner = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        raise MalformedFrameError(f'compressed frame: {error}') from None
    if not isinstance(inner, list) or inner[:1] != ['entries']:
        raise MalformedFrameError('compressed frame does not contain entries')
    return decode(inner, refused)
