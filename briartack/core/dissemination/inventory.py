"""Comparison of two daemons' versions by digests of buckets of keys.

A pull by revision can't find a gap below the highest revision; this can.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Final, final

from briartack.core.entries import KeyVersion
from briartack.core.messages import Inventory, InventoryReply
from briartack.core.units import Digest, Revision

BUCKET_COUNT: Final = 64
BUCKET_DIGEST_BYTES: Final = 8
# Twice the keys of 2,600 instances and 210 subtrees, rounded up.
HASH_CACHE_SIZE: Final = 8192
NOTHING_HELD: Final = KeyVersion(revision=Revision(0))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Hold what two daemons lack of each other's versions."""

    to_send: tuple[str, ...]
    wanted: tuple[tuple[str, KeyVersion], ...]  # with the version held here


@lru_cache(maxsize=HASH_CACHE_SIZE)
def bucket_of(key: str) -> int:
    """Find the bucket of a key."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def bucket_digests(versions: Mapping[str, KeyVersion]) -> tuple[Digest, ...]:
    """Digest the versions in each bucket, whatever their order."""
    sums = [0 for _ in range(BUCKET_COUNT)]
    for key, held in versions.items():
        sums[bucket_of(key)] ^= _version_hash(key, held.revision, held.digest)
    return tuple(
        Digest(bucket_sum.to_bytes(BUCKET_DIGEST_BYTES)) for bucket_sum in sums
    )


def reply_to(
    inventory: Inventory,
    versions: Mapping[str, KeyVersion],
) -> InventoryReply | None:
    """List the versions in the buckets that differ, if any do."""
    pairs = zip(inventory.buckets, bucket_digests(versions), strict=False)
    differing = {
        bucket for bucket, (theirs, ours) in enumerate(pairs) if theirs != ours
    }
    if not differing:
        return None
    listed = tuple(
        (key, held)
        for key, held in versions.items()
        if bucket_of(key) in differing
    )
    return InventoryReply(buckets=tuple(sorted(differing)), versions=listed)


def compare(
    reply: InventoryReply,
    versions: Mapping[str, KeyVersion],
) -> Difference:
    """Find what to send and what to ask for.

    A reply without buckets only asks: it lists the keys that its sender wants
    with the versions that it holds. Nothing is asked back, or two daemons that
    hold one revision with another digest would ask each other for ever.
    """
    theirs = dict(reply.versions)
    to_send = tuple(
        key
        for key, held in versions.items()
        if _is_covered(key, reply.buckets, theirs)
        and _may_lack(theirs.get(key, NOTHING_HELD), held)
    )
    wanted = tuple(
        (key, versions.get(key, NOTHING_HELD))
        for key, held in theirs.items()
        if reply.buckets and _may_lack(versions.get(key, NOTHING_HELD), held)
    )
    return Difference(to_send=to_send, wanted=wanted)


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _version_hash(key: str, revision: Revision, digest: Digest) -> int:
    text = f'{revision} {key} {digest.hex()}'.encode()
    hashed = blake2b(text, digest_size=BUCKET_DIGEST_BYTES).digest()
    return int.from_bytes(hashed)


def _may_lack(held: KeyVersion, offered: KeyVersion) -> bool:
    """Tell whether the holder of one version may lack a part of another."""
    if offered.revision == held.revision:
        return offered.digest != held.digest
    return offered.revision > held.revision


def _is_covered(
    key: str,
    buckets: Collection[int],
    listed: Mapping[str, KeyVersion],
) -> bool:
    return key in listed or bool(buckets and bucket_of(key) in buckets)
