"""The form of peer messages on the wire: a stream of msgpack arrays.

The first element of an array is the tag of the message. `Entries` above 4 KB
travel as `['zlib', bytes]`, where the bytes are the compressed array.
"""

import zlib
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, final

import msgpack
import msgspec

from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    Chunk,
    Entries,
    Goodbye,
    Hello,
    Inventory,
    InventoryReply,
    PeerMessage,
    Pull,
    Summary,
)
from briartack.core.units import Digest

MAX_FRAME_BYTES: Final = 20_000_000
MAX_UNCOMPRESSED_BYTES: Final = 64_000_000
COMPRESS_ABOVE_BYTES: Final = 4096
# Level 1 takes a third of the time of level 6 and blocks the event loop less.
_COMPRESSION_LEVEL: Final = 1
_COMPRESSED_TAG: Final = 'zlib'
_DIGEST_BYTES: Final = 4
_SHOWN_CHARACTERS: Final = 32
_NATIVE_TYPES: Final = (bytes,)

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
    | type[Cancel]
    | type[Goodbye]
)

# Converting by concrete class is many times faster than by the union.
_CLASSES: Final[Mapping[str, PeerMessageType]] = MappingProxyType(
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
        'cancel': Cancel,
        'goodbye': Goodbye,
    }
)


@final
class MalformedFrameError(Exception):
    """Report bytes that are not a message, with the reason."""


def digest_of(body: bytes | bytearray) -> Digest:
    """Digest a body to detect truncation and corruption, not forgery.

    CRC-32 takes 20 µs for 64 KB where blake2b takes 115 µs, and the length is
    checked apart.
    """
    return Digest(zlib.crc32(body).to_bytes(_DIGEST_BYTES, 'big'))


def encode(message: PeerMessage) -> bytes:
    """Encode a message as one frame."""
    packed: bytes = msgpack.packb(
        msgspec.to_builtins(message, builtin_types=_NATIVE_TYPES),
    )
    if isinstance(message, Entries) and len(packed) > COMPRESS_ABOVE_BYTES:
        compressed = zlib.compress(packed, _COMPRESSION_LEVEL)
        packed = msgpack.packb([_COMPRESSED_TAG, compressed])
    return packed


@final
class FrameReader:
    """Split the bytes of one stream into messages."""

    __slots__ = ('_unpacker', '_position', '_frame_bytes')

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        self._position = 0
        self._frame_bytes = 0

    @property
    def frame_bytes(self) -> int:
        """Return the size on the wire of the last message."""
        return self._frame_bytes

    def feed(self, received: bytes) -> Iterator[PeerMessage]:
        """Yield the messages that are complete.

        Raises MalformedFrameError.
        """
        try:
            self._unpacker.feed(received)
        except msgpack.BufferFull:
            raise MalformedFrameError(
                f'frame is larger than {MAX_FRAME_BYTES} bytes',
            ) from None
        while True:
            try:
                frame = self._unpacker.unpack()
            except msgpack.OutOfData:
                return
            except (ValueError, msgpack.UnpackException) as error:
                raise MalformedFrameError(
                    f'not msgpack: {type(error).__name__} {error}',
                ) from None
            position = self._unpacker.tell()
            self._frame_bytes = position - self._position
            self._position = position
            yield decode(frame)


def decode(frame: object) -> PeerMessage:
    """Convert one unpacked frame.

    Raises MalformedFrameError.
    """
    if not isinstance(frame, list) or not frame:
        raise MalformedFrameError('frame is not an array with a tag')
    tag = frame[0]
    if tag == _COMPRESSED_TAG:
        return _decode_compressed(frame)
    message_class = _CLASSES.get(tag) if isinstance(tag, str) else None
    if message_class is None:
        raise MalformedFrameError(
            f'unknown tag {str(tag)[:_SHOWN_CHARACTERS]!r}'
        )
    try:
        return msgspec.convert(frame, message_class)
    except msgspec.ValidationError as error:
        raise MalformedFrameError(f'{tag}: {error}') from None


def _decode_compressed(frame: list[object]) -> PeerMessage:
    if len(frame) != 2 or not isinstance(frame[1], bytes):
        raise MalformedFrameError('compressed frame has no bytes')
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(frame[1], MAX_UNCOMPRESSED_BYTES)
    except zlib.error as error:
        raise MalformedFrameError(f'compressed frame: {error}') from None
    if not decompressor.eof:
        raise MalformedFrameError('compressed frame is cut or too large')
    try:
        inner = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        raise MalformedFrameError(f'compressed frame: {error}') from None
    if not isinstance(inner, list) or inner[:1] != ['entries']:
        raise MalformedFrameError('compressed frame does not hold entries')
    return decode(inner)
