"""Digests of API keys, which no daemon keeps in clear."""

import base64
import hashlib


def digest_key(key: bytes) -> str:
    """Return the SHA-256 digest of an API key as URL-safe base64.

    Base64 is a third shorter than hexadecimal digits, and the subtree with the
    digests of all tenants has to stay below 1 MB.
    """
    digest = hashlib.sha256(key).digest()
    return base64.urlsafe_b64encode(digest).decode().rstrip('=')


def digest_header(text: str | None) -> str:
    """Return the digest of the key in a header, empty without a key."""
    return digest_key(text.encode('latin-1')) if text else ''
