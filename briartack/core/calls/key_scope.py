"""What ties an idempotency key to one tenant and to one request."""

from hashlib import blake2b
from typing import Final

from briartack.core.calls.call_headers import TENANT
from briartack.core.calls.idempotency import parse_key
from briartack.core.messages import Attempt

_REQUEST_DIGEST_BYTES: Final = 16


def scoped_key(attempt: Attempt) -> str:
    """Return the key under which an outcome is kept; empty for none.

    Tenants choose their keys without knowing of each other, so such a key
    counts for one tenant only. The line break at the end, which no header
    holds, keeps the result from being read as an issued key.
    """
    key = attempt.idempotency_key
    if not key or parse_key(key) is not None:
        return key
    return f'{_tenant(attempt)}\n{key}\n'


def request_digest(attempt: Attempt) -> bytes:
    """Digest what a repeat has in common with the first request."""
    parts = (
        _tenant(attempt),
        attempt.method,
        attempt.target,
        str(attempt.body_bytes),
        attempt.body_digest.hex(),
    )
    return blake2b(
        '\n'.join(parts).encode(),
        digest_size=_REQUEST_DIGEST_BYTES,
    ).digest()


def _tenant(attempt: Attempt) -> str:
    name = TENANT.lower()
    return next(
        (text for header, text in attempt.headers if header.lower() == name),
        '',
    )
