"""Scope of idempotency keys: one tenant and one request for each key."""

from hashlib import blake2b
from typing import Final

from briartack.core.calls.call_headers import TENANT_HEADER
from briartack.core.calls.idempotency import parse_key
from briartack.core.messages import Attempt

_REQUEST_DIGEST_BYTES: Final = 16


def build_scoped_key(attempt: Attempt) -> str:
    """Return the key under which an outcome is stored; empty without a key.

    Tenants choose keys independently, so a chosen key is valid for one tenant
    only. The line break at the end, which cannot occur in a header, prevents
    the result from being parsed as an issued key.
    """
    key = attempt.idempotency_key
    if not key or parse_key(key) is not None:
        return key
    return f'{_find_tenant(attempt)}\n{key}\n'


def compute_request_digest(attempt: Attempt) -> bytes:
    """Digest the parts that a repeat must share with the first request."""
    parts = (
        _find_tenant(attempt),
        attempt.method,
        attempt.target,
        str(attempt.body_bytes),
        attempt.body_digest.hex(),
    )
    return blake2b(
        '\n'.join(parts).encode(),
        digest_size=_REQUEST_DIGEST_BYTES,
    ).digest()


def _find_tenant(attempt: Attempt) -> str:
    name = TENANT_HEADER.lower()
    return next(
        (text for header, text in attempt.headers if header.lower() == name),
        '',
    )
