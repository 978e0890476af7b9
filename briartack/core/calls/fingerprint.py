"""Fingerprints of requests, which a caller's repeats share."""

from hashlib import blake2b
from typing import Final, NewType

from briartack.core.units import Digest

Fingerprint = NewType('Fingerprint', bytes)

FINGERPRINT_BYTES: Final = 8
END_ID_BYTES: Final = 8  # of the id of an upstream's end


def compute_fingerprint(
    *,
    service: str,
    method: str,
    target: str,
    body_bytes: int,
    body_digest: Digest,
) -> Fingerprint:
    """Digest the service, the method, the target and the body of a request.

    A caller's repeat has a new id, and may have other headers.
    """
    parts = (service, method, target, str(body_bytes), body_digest.hex())
    return Fingerprint(
        blake2b(
            '\n'.join(parts).encode(), digest_size=FINGERPRINT_BYTES
        ).digest(),
    )
