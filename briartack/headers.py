"""Which HTTP headers a proxy passes on, and which it sets itself."""

from typing import Final

from briartack.core.messages import Headers

DEADLINE: Final = 'briartack-deadline-ms'
ATTEMPT: Final = 'briartack-attempt'
VERDICT: Final = 'briartack-verdict'
TENANT: Final = 'x-tenant'
IDEMPOTENCY_KEY: Final = 'idempotency-key'
CONTENT_LENGTH: Final = 'content-length'

_HOP_BY_HOP: Final = frozenset(
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
_SET_BY_DAEMONS: Final = frozenset((DEADLINE, ATTEMPT, VERDICT))
_DROPPED: Final = _HOP_BY_HOP | _SET_BY_DAEMONS


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that travel on, without those of one connection."""
    kept = tuple(pair for pair in headers if pair[0].lower() not in _DROPPED)
    named = {
        token.strip().lower()
        for name, text in headers
        if name.lower() == 'connection'
        for token in text.split(',')
    }
    if not named:
        return kept
    return tuple(pair for pair in kept if pair[0].lower() not in named)


def first_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, given in lower case."""
    for candidate, text in headers:
        if candidate.lower() == name:
            return text
    return None
