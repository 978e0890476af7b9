"""Rendezvous hashing: every daemon puts instances in the same order."""

from hashlib import blake2b
from typing import Final

RANK_BYTES: Final = 8


def rank(scope: str, instance: str) -> int:
    """Hash an instance within a scope, alike in every process."""
    text = f'{scope}\0{instance}'.encode()
    return int.from_bytes(blake2b(text, digest_size=RANK_BYTES).digest())
