"""Comparison of the versions of two daemons by digests of key buckets.

An inventory finds gaps below the highest revision, which a pull by revision
cannot find.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Final, final

from briartack.core.entries import KeyVersion, is_later_version
from briartack.core.messages import Inventory, InventoryReply
from briartack.core.units import Digest, Revision

BUCKET_COUNT: Final = 64
BUCKET_DIGEST_BYTES: Final = 8
# Twice the keys of 2,600 instances and 210 subtrees, rounded up.
HASH_CACHE_SIZE: Final = 8192
ABSENT_VERSION: Final = KeyVersion(revision=Revision(0))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class InventoryDifference:
    """List the keys whose versions two daemons have to exchange.

    Each requested key comes with the version that this daemon holds.
    """

    to_send: tuple[str, ...]
    to_request: tuple[tuple[str, KeyVersion], ...]


@lru_cache(maxsize=HASH_CACHE_SIZE)
def bucket_of(key: str) -> int:
    """Return the bucket of a key."""
    return blake2b(key.encode(), digest_size=1).digest()[0] % BUCKET_COUNT


def bucket_digests(versions: Mapping[str, KeyVersion]) -> tuple[Digest, ...]:
    """Return a digest for each bucket; the order of versions is irrelevant."""
    sums = [0 for _ in range(BUCKET_COUNT)]
    for key, held in versions.items():
        sums[bucket_of(key)] ^= _version_hash(key, held.revision, held.digest)
    return tuple(
        Digest(bucket_sum.to_bytes(BUCKET_DIGEST_BYTES)) for bucket_sum in sums
    )


def build_reply(
    inventory: Inventory,
    versions: Mapping[str, KeyVersion],
) -> InventoryReply | None:
    """Return the versions in the buckets that differ, or `None` if none do."""
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


def find_difference(
    reply: InventoryReply,
    versions: Mapping[str, KeyVersion],
) -> InventoryDifference:
    """Return the keys to send to a peer and those to request from the peer.

    A reply without buckets is only a request: it lists the keys that its
    sender wants, each with the version that the sender holds. Such a reply
    causes no request in return; otherwise two daemons that hold the same
    revision with different digests would send requests to each other for ever.
    """
    theirs = dict(reply.versions)
    to_send = tuple(
        key
        for key, held in versions.items()
        if _is_covered_by_reply(key, reply.buckets, theirs)
        and _may_lack(theirs.get(key, ABSENT_VERSION), held)
    )
    to_request = tuple(
        (key, versions.get(key, ABSENT_VERSION))
        for key, held in theirs.items()
        if reply.buckets and _may_lack(versions.get(key, ABSENT_VERSION), held)
    )
    return InventoryDifference(to_send=to_send, to_request=to_request)


@lru_cache(maxsize=HASH_CACHE_SIZE)
def _version_hash(key: str, revision: Revision, digest: Digest) -> int:
    text = f'{revision} {key} {digest.hex()}'.encode()
    hashed = blake2b(text, digest_size=BUCKET_DIGEST_BYTES).digest()
    return int.from_bytes(hashed)


def _may_lack(held: KeyVersion, offered: KeyVersion) -> bool:
    """Return whether the holder of `held` may lack a part of `offered`."""
    if offered.revision == held.revision:
        return offered.digest != held.digest
    return is_later_version(offered, held)


def _is_covered_by_reply(
    key: str,
    buckets: Collection[int],
    listed: Mapping[str, KeyVersion],
) -> bool:
    return key in listed or bool(buckets and bucket_of(key) in buckets)
