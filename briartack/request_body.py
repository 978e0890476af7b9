"""Read the body of a request from its connection.

pywsgi reads a chunk line and the trailers byte by byte, up to 8 KB for each
chunk, and switches to no other greenlet while bytes have arrived. 100 clients
with one such line for each byte of their bodies stopped a daemon for 16 s.
"""

import re
from typing import BinaryIO, Final

from gevent.pywsgi import Input

from briartack.turns import TURN_BYTES, TurnLimit

# The size of a chunk and its extensions. The longest extensions in use are
# signatures, which take about 100 bytes.
MAX_CHUNK_LINE_BYTES: Final = 1024
# The trailers in all, as the headers of a request; they are not passed on.
MAX_TRAILER_BYTES: Final = 65_536
# One trailer, as in pywsgi.
MAX_TRAILER_LINE_BYTES: Final = 8192
# A line takes a few microseconds beside its bytes, so that a thousand of them
# are a turn.
_LINE_OVERHEAD_BYTES: Final = 64
# Lines are counted together, since a turn counts each read as some KB.
_COUNTED_BYTES: Final = 4096
_HEXADECIMAL: Final = 16
_CRLF: Final = b'\r\n'
# Without control characters except tabs, as in a header value.
_CHUNK_LINE_PATTERN: Final = re.compile(
    rb'([0-9A-Fa-f]{1,16})(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n'
)
_TRAILER_PATTERN: Final = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\x00-\x08\x0a-\x1f\x7f]*\r\n"
)


class BrokenBodyError(OSError):
    """Report a body that is cut off, malformed or has too long a chunk line.

    It is an OSError because pywsgi reports such bodies by one.
    """


class RequestBody(Input):  # type: ignore[misc]
    """Read a body by its length or by chunks whose lines are limited.

    After a request, pywsgi discards what has not been read.
    """

    __slots__ = ('_turn', '_line_bytes', '_left_bytes', '_is_ended')

    def __init__(
        self,
        stream: BinaryIO,
        content_length: int | None,
        *,
        is_chunked: bool,
    ) -> None:
        """Read from the stream of a connection, up to the end of the body.

        Without a socket, pywsgi sends no "100 Continue".
        """
        super().__init__(
            stream, content_length, socket=None, chunked_input=is_chunked
        )
        self._turn = TurnLimit()
        self._line_bytes = 0  # of lines that are not counted yet
        self._left_bytes = 0  # of the present chunk
        self._is_ended = False

    def _chunked_read(
        self,
        length: int | None = None,
        use_readline: bool = False,  # noqa: FBT001, FBT002
    ) -> bytes:
        """Return so many bytes, or fewer at the end of the body.

        pywsgi defines the name and the arguments, and calls it from `read`.
        Raises BrokenBodyError.
        """
        wanted = TURN_BYTES if length is None else length
        parts = bytearray()
        while len(parts) < wanted and not self._is_ended:
            if self._left_bytes:
                parts += self._read_data(wanted - len(parts))
            else:
                self._begin_chunk()
        return bytes(parts)

    def _read_data(self, wanted: int) -> bytes:
        """Return bytes of the present chunk, and check its end."""
        part: bytes = self.rfile.read(min(wanted, self._left_bytes))
        if not part:
            raise BrokenBodyError('the body ends within a chunk')
        self._left_bytes -= len(part)
        if not self._left_bytes and self.rfile.read(len(_CRLF)) != _CRLF:
            raise BrokenBodyError('a chunk is longer than its size says')
        return part

    def _begin_chunk(self) -> None:
        """Read the next chunk line, and the trailers behind the last one."""
        line = self._read_line(MAX_CHUNK_LINE_BYTES, 'a chunk line')
        match = _CHUNK_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise BrokenBodyError('a chunk line is not SIZE or SIZE;EXTENSION')
        self._left_bytes = int(match.group(1), _HEXADECIMAL)
        if not self._left_bytes:
            self._skip_trailers()
            self._is_ended = True

    def _skip_trailers(self) -> None:
        total = 0
        while total <= MAX_TRAILER_BYTES:
            line = self._read_line(MAX_TRAILER_LINE_BYTES, 'a trailer')
            if line == _CRLF:
                return
            if _TRAILER_PATTERN.fullmatch(line) is None:
                raise BrokenBodyError('a trailer is not NAME: VALUE')
            total += len(line)
        raise BrokenBodyError(f'the trailers exceed {MAX_TRAILER_BYTES} bytes')

    def _read_line(self, max_bytes: int, what: str) -> bytes:
        line: bytes = self.rfile.readline(max_bytes + 1)
        self._line_bytes += len(line) + _LINE_OVERHEAD_BYTES
        if self._line_bytes >= _COUNTED_BYTES:
            self._turn.count_read(self._line_bytes)
            self._line_bytes = 0
        if len(line) > max_bytes:
            raise BrokenBodyError(f'{what} exceeds {max_bytes} bytes')
        return line
