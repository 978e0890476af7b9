"""Rendezvous hashing: all daemons rank instances in the same order."""

from hashlib import blake2b
from typing import Final

RANK_BYTES: Final = 8


def rank(scope: str, instance: str) -> int:
    """Return the rank of an instance within a scope.

    The rank is a hash that is identical in every process.
    """
    text = f'{scope}\0{instance}'.encode()
    return int.from_bytes(blake2b(text, digest_size=RANK_BYTES).digest())
