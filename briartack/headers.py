"""Define names of HTTP headers, and select the headers to forward."""

from typing import Final

from briartack.core.messages import Headers

DEADLINE: Final = 'briartack-deadline-ms'
ATTEMPT: Final = 'briartack-attempt'
VERDICT: Final = 'briartack-verdict'
TENANT: Final = 'x-tenant'
IDEMPOTENCY_KEY: Final = 'idempotency-key'
API_KEY: Final = 'briartack-api-key'
CONTENT_LENGTH: Final = 'content-length'

_HOP_BY_HOP_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
        CONTENT_LENGTH,
    ),
)
_DAEMON_HEADERS: Final = frozenset((DEADLINE, ATTEMPT, VERDICT, API_KEY))
_UNFORWARDED_HEADERS: Final = _HOP_BY_HOP_HEADERS | _DAEMON_HEADERS


def select_end_to_end(headers: Headers) -> Headers:
    """Return the headers to forward.

    Drops hop-by-hop headers, those that a Connection header lists, and those
    that daemons set themselves.
    """
    kept = tuple(
        pair for pair in headers if pair[0].lower() not in _UNFORWARDED_HEADERS
    )
    named = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    if not named:
        return kept
    return tuple(pair for pair in kept if pair[0].lower() not in named)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None.

    `name` is in lower case; header names match in any case.
    """
    for candidate, text in headers:
        if candidate.lower() == name:
            return text
    return None
