"""Parse the head of a caller's request strictly and fast.

pywsgi parses headers with the `email` package, which takes longer than all
other work on a call. It also accepts Content-Length values that other servers
read differently, which enables request smuggling.
"""

import math
import re
from collections.abc import Callable
from typing import BinaryIO, Final, TypeAlias, final

from briartack.core.messages import MAX_HEAD_BYTES, Headers
from briartack.headers import (
    API_KEY,
    CONTENT_LENGTH,
    DEADLINE,
    IDEMPOTENCY_KEY,
    TENANT,
)

MAX_REQUEST_LINE_BYTES: Final = 8190
# Of a header, unless operators allow larger heads.
_MAX_LINE_BYTES: Final = 16384
_MAX_HEADERS: Final = 128
_KIBIBYTE: Final = 1024
# The objects of one header, beside its text.
_HEADER_OVERHEAD_BYTES: Final = 200
# Room is reserved for a line that is longer while the line arrives.
_LINE_PART_BYTES: Final = 2048
_TOKEN_PATTERN: Final = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# A value contains no control characters except tabs, and no line breaks.
_HEADER_LINE_PATTERN: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):"
    rb'[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r?\n',
)
# pywsgi also splits at bytes such as 0xA0, which occur in UTF-8, and would
# mistake the part before such a byte for the whole target.
_REQUEST_LINE_PATTERN: Final = re.compile(r'\S+ \S+ HTTP/1\.[01]\r?\n')
_UNDERSCORE: Final = '_'
_HYPHEN: Final = '-'
_DAEMON_HEADER_PREFIX: Final = 'briartack-'
# If one of these headers is repeated, two servers may use different values.
_SINGLE_VALUED_HEADERS: Final = frozenset(
    (
        API_KEY,
        CONTENT_LENGTH,
        DEADLINE,
        IDEMPOTENCY_KEY,
        TENANT,
        'host',
        'transfer-encoding',
    ),
)
_MAX_QUOTED_CHARACTERS: Final = 32
# A fragment (#) is not part of a request target; an upstream may cut it off.
_TARGET_PATTERN: Final = re.compile('/[\x21\x22\x24-\x7e\x80-\xff]*')
_MAX_CONTENT_LENGTH_DIGITS: Final = 15


# Reserves memory for the number of bytes of a head that have arrived.
ReserveHead: TypeAlias = Callable[[int], None]


def _reserve_nothing(size: int) -> None:
    """Leave the memory of a head uncounted."""


@final
class RequestError(ValueError):
    """Report a malformed request; the message is sent to the caller."""


@final
class RequestHeaders:
    """Represent the headers of one request.

    pywsgi reads some of the headers through `get`.
    """

    __slots__ = ('status', '_pairs', '_first_values')

    def __init__(
        self,
        stream: BinaryIO,
        *,
        reserve: ReserveHead = _reserve_nothing,
        max_bytes: int = MAX_HEAD_BYTES,
    ) -> None:
        """Read and check the headers, of so many bytes, up to the empty line.

        Raises RequestError, and what `reserve` raises without room.
        """
        self.status = ''  # pywsgi rejects the request if this is set
        self._pairs = _read_headers(stream, reserve, max_bytes)
        self._first_values: dict[str, str] = {}
        for name, text in self._pairs:
            lower = name.lower()
            if lower in _SINGLE_VALUED_HEADERS and lower in self._first_values:
                raise RequestError(f'{name} is given more than once.')
            if _UNDERSCORE in lower:
                _check_underscore_alias(lower)
            self._first_values.setdefault(lower, text)
        self._check_framing()

    def __delitem__(self, name: str) -> None:  # noqa: WPS603
        """Remove a header from lookup by `get`.

        pywsgi calls this method with the name in lower case.
        """
        self._first_values.pop(name)

    @property
    def pairs(self) -> Headers:
        """Return all headers in the order of the request."""
        return self._pairs

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header, or the default."""
        return self._first_values.get(name.lower(), default)

    def parse_deadline_ms(self) -> float | None:
        """Return the remaining time of the call in ms, or None if not given.

        Raises RequestError.
        """
        return parse_milliseconds(
            'Briartack-Deadline-Ms', self._first_values.get(DEADLINE)
        )

    def _check_framing(self) -> None:
        length = self._first_values.get(CONTENT_LENGTH)
        coding = self._first_values.get('transfer-encoding')
        if length is not None and not _is_content_length(length):
            raise RequestError(
                f'Content-Length is {_quote(length)}; give a decimal number.',
            )
        if coding is None:
            return
        if length is not None:
            raise RequestError(
                'Content-Length and Transfer-Encoding are both given; '
                'send only one of them.',
            )
        if coding.lower() != 'chunked':
            raise RequestError(
                f'Transfer-Encoding is {_quote(coding)}; use only chunked.',
            )


def parse_milliseconds(name: str, text: str | None) -> float | None:
    """Parse a header value in milliseconds; return None for an absent header.

    Raises RequestError unless the value is a finite number of at least 0.
    """
    if text is None:
        return None
    try:
        remaining = float(text)
    except ValueError:
        remaining = math.nan
    if not 0 <= remaining < math.inf:
        raise RequestError(
            f'{name} is {_quote(text)}; '
            'give the remaining milliseconds as a number.',
        )
    return remaining


def check_raw_request_line(line: str) -> None:
    """Check the form of a request line before pywsgi splits it.

    pywsgi splits at any white space. Raises RequestError.
    """
    if _REQUEST_LINE_PATTERN.fullmatch(line) is None:
        raise RequestError(
            f'The request line {_quote(line)} is not METHOD TARGET HTTP/1.1 '
            f'with single spaces and at most {MAX_REQUEST_LINE_BYTES} bytes.',
        )


def check_request_line(method: str, target: str) -> None:
    """Check the method and target, which pywsgi does not validate.

    Raises RequestError.
    """
    if _TOKEN_PATTERN.fullmatch(method) is None:
        raise RequestError(f'The method {_quote(method)} is not a token.')
    if _TARGET_PATTERN.fullmatch(target) is None or target.startswith('//'):
        raise RequestError(
            'The target must be a path that begins with one slash.',
        )


def _check_underscore_alias(name: str) -> None:
    """Reject an alias of a header name that daemons interpret.

    WSGI and CGI upstreams do not distinguish underscores from dashes in
    header names. Raises RequestError.
    """
    alias = name.replace(_UNDERSCORE, _HYPHEN)
    if alias in _SINGLE_VALUED_HEADERS or alias.startswith(
        _DAEMON_HEADER_PREFIX
    ):
        raise RequestError(
            f'The header {_quote(name)} has an underscore; use {alias}.',
        )


def _quote(text: str) -> str:
    return repr(text[:_MAX_QUOTED_CHARACTERS])


def _is_content_length(text: str) -> bool:
    return (
        text.isascii()
        and text.isdigit()
        and len(text) <= _MAX_CONTENT_LENGTH_DIGITS
    )


def _read_headers(
    stream: BinaryIO, reserve: ReserveHead, max_bytes: int
) -> Headers:
    max_line_bytes = _MAX_LINE_BYTES
    if max_bytes > MAX_HEAD_BYTES:
        max_line_bytes = max_bytes
    pairs: list[tuple[str, str]] = []
    total = 0
    while True:
        held = total + _HEADER_OVERHEAD_BYTES * len(pairs)
        # Drops the line before, whose text is held already.
        line = b''
        line = _read_line(stream, held, reserve, max_line_bytes)
        if line in {b'\r\n', b'\n'}:
            return tuple(pairs)
        total += len(line)
        if len(line) > max_line_bytes or total > max_bytes:
            raise RequestError(
                f'The headers exceed {max_bytes // _KIBIBYTE} KiB, or one line '
                f'of them exceeds {max_line_bytes // _KIBIBYTE} KiB.'
            )
        if len(pairs) == _MAX_HEADERS:
            raise RequestError(f'There are more than {_MAX_HEADERS} headers.')
        pairs.append(_parse_header_line(line))


def _read_line(
    stream: BinaryIO, held: int, reserve: ReserveHead, max_bytes: int
) -> bytes:
    reserve(held)
    line = stream.readline(_LINE_PART_BYTES)
    if len(line) < _LINE_PART_BYTES:
        return line
    parts = [line]
    size = len(line)
    while size <= max_bytes and not line.endswith(b'\n'):
        reserve(held + size)
        line = stream.readline(_LINE_PART_BYTES)
        if not line:
            break
        parts.append(line)
        size += len(line)
    return b''.join(parts)


def _parse_header_line(line: bytes) -> tuple[str, str]:
    match = _HEADER_LINE_PATTERN.fullmatch(line)
    if match is None:
        quoted = _quote(line.decode('latin-1'))
        raise RequestError(
            f'The header line {quoted} is not NAME: VALUE in one line.',
        )
    name, text = match.groups()
    return name.decode(), text.decode('latin-1')
