"""Strict and fast parsing of the head of a caller's request.

pywsgi parses headers with the `email` package, which takes longer than all
other work on a call. It also accepts lengths that other servers read
differently, which request smuggling builds on.
"""

import math
import re
from typing import BinaryIO, Final, final

from briartack.core.messages import Headers
from briartack.headers import (
    CONTENT_LENGTH,
    DEADLINE,
    IDEMPOTENCY_KEY,
    TENANT,
)

MAX_REQUEST_LINE_BYTES: Final = 8190
_MAX_LINE_BYTES: Final = 16384
_MAX_HEAD_BYTES: Final = 65536
_MAX_HEADERS: Final = 128
_TOKEN: Final = re.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Values hold no control characters but tabs, and no line breaks.
_HEADER_LINE: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):"
    rb'[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r?\n',
)
# pywsgi splits at bytes such as 0xA0 too, which occur in UTF-8, and would
# take the part before them as the whole target.
_REQUEST_LINE: Final = re.compile(r'\S+ \S+ HTTP/1\.[01]\r?\n')
_UNDERSCORE: Final = '_'
_DASH: Final = '-'
_OWN_PREFIX: Final = 'briartack-'
# Two servers may choose different ones of several values of these.
_SINGLE: Final = frozenset(
    (
        CONTENT_LENGTH,
        DEADLINE,
        IDEMPOTENCY_KEY,
        TENANT,
        'host',
        'transfer-encoding',
    ),
)
_SHOWN_CHARACTERS: Final = 32
# A fragment (#) is not part of a request; an upstream may cut it off.
_TARGET: Final = re.compile('/[\x21\x22\x24-\x7e\x80-\xff]*')
_MAX_LENGTH_DIGITS: Final = 15


@final
class RequestError(ValueError):
    """Report a malformed request with a text for the caller."""


@final
class RequestHeaders:
    """Hold the headers of one request; pywsgi reads some through `get`."""

    __slots__ = ('status', '_pairs', '_first')

    def __init__(self, stream: BinaryIO, seekable: int = 0) -> None:
        """Read up to the empty line.

        Raises RequestError.
        """
        self.status = ''  # pywsgi refuses the request if this is set
        self._pairs = _read_pairs(stream)
        self._first: dict[str, str] = {}
        for name, text in self._pairs:
            lower = name.lower()
            if lower in _SINGLE and lower in self._first:
                raise RequestError(f'{name} is given more than once.')
            if _UNDERSCORE in lower:
                _check_alias(lower)
            self._first.setdefault(lower, text)
        self._check_framing()

    def __delitem__(self, name: str) -> None:  # noqa: WPS603
        """Remove a header; pywsgi calls this, with the name in lower case."""
        self._first.pop(name)

    @property
    def pairs(self) -> Headers:
        """Return all headers in order."""
        return self._pairs

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a header."""
        return self._first.get(name.lower(), default)

    def deadline_ms(self) -> float | None:
        """Return the remaining time of the call.

        Raises RequestError.
        """
        return milliseconds('Briartack-Deadline-Ms', self._first.get(DEADLINE))

    def _check_framing(self) -> None:
        length = self._first.get(CONTENT_LENGTH)
        coding = self._first.get('transfer-encoding')
        if length is not None and not _is_length(length):
            raise RequestError(
                f'Content-Length is {_shown(length)}; give a decimal number.',
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
                f'Transfer-Encoding is {_shown(coding)}; use only chunked.',
            )


def milliseconds(name: str, text: str | None) -> float | None:
    """Read a header that holds milliseconds, if it is there.

    Raises RequestError.
    """
    if text is None:
        return None
    try:
        remaining = float(text)
    except ValueError:
        remaining = math.nan
    if not 0 <= remaining < math.inf:
        raise RequestError(
            f'{name} is {_shown(text)}; '
            'give the remaining milliseconds as a number.',
        )
    return remaining


def check_raw_request_line(line: str) -> None:
    """Check a request line before pywsgi splits it at any white space.

    Raises RequestError.
    """
    if _REQUEST_LINE.fullmatch(line) is None:
        raise RequestError(
            f'The request line {_shown(line)} is not METHOD TARGET HTTP/1.1 '
            f'with single spaces and at most {MAX_REQUEST_LINE_BYTES} bytes.',
        )


def check_request_line(method: str, target: str) -> None:
    """Check what pywsgi splits without looking at it.

    Raises RequestError.
    """
    if _TOKEN.fullmatch(method) is None:
        raise RequestError(f'The method {_shown(method)} is not a token.')
    if _TARGET.fullmatch(target) is None or target.startswith('//'):
        raise RequestError(
            'The target must be a path that begins with one slash.',
        )


def _check_alias(name: str) -> None:
    """Refuse a name that WSGI and CGI upstreams read as another one.

    Raises RequestError.
    """
    alias = name.replace(_UNDERSCORE, _DASH)
    if alias in _SINGLE or alias.startswith(_OWN_PREFIX):
        raise RequestError(
            f'The header {_shown(name)} has an underscore; use {alias}.',
        )


def _shown(text: str) -> str:
    return repr(text[:_SHOWN_CHARACTERS])


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= _MAX_LENGTH_DIGITS


def _read_pairs(stream: BinaryIO) -> Headers:
    pairs: list[tuple[str, str]] = []
    total = 0
    while True:
        line = stream.readline(_MAX_LINE_BYTES + 1)
        if line in {b'\r\n', b'\n'}:
            return tuple(pairs)
        total += len(line)
        if len(line) > _MAX_LINE_BYTES or total > _MAX_HEAD_BYTES:
            raise RequestError('The headers are larger than 64 KiB.')
        if len(pairs) == _MAX_HEADERS:
            raise RequestError(f'There are more than {_MAX_HEADERS} headers.')
        pairs.append(_split(line))


def _split(line: bytes) -> tuple[str, str]:
    match = _HEADER_LINE.fullmatch(line)
    if match is None:
        shown = _shown(line.decode('latin-1'))
        raise RequestError(
            f'The header line {shown} is not NAME: VALUE in one line.',
        )
    name, text = match.groups()
    return name.decode(), text.decode('latin-1')
