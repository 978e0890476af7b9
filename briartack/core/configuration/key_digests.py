"""Hashes of what is accepted under each key, for comparison with peers."""

from collections.abc import Mapping
from typing import TypeAlias, final

from briartack.core.configuration.accepted import Accepted
from briartack.core.configuration.exchange import Exchange
from briartack.core.configuration.intake import Slot
from briartack.core.configuration.versions import (
    Held,
    ResourceId,
    Version,
    digest_of,
)
from briartack.core.units import Digest

_Pooled: TypeAlias = tuple[tuple[ResourceId, Held], ...]
_Parts: TypeAlias = tuple[Version | None, Version | None, _Pooled]


@final
class KeyDigests:
    """Hash again only the keys whose parts are others than before."""

    __slots__ = ('_parts', '_digests')

    def __init__(self) -> None:
        """Start without keys."""
        self._parts: dict[str, _Parts] = {}
        self._digests: dict[str, Digest] = {}

    @property
    def digests(self) -> dict[str, Digest]:
        """Give the hash of each key, the same object until a renewal."""
        return self._digests

    def renew(self, accepted: Accepted) -> None:
        """Follow a change of what is accepted."""
        pool = dict(accepted.pool.definitions)
        exchange = Exchange(accepted)
        parts = {
            key: _parts_of(accepted.slot(key), exchange.names_of(key), pool)
            for key in exchange.keys
        }
        self._digests = {
            key: self._digests[key]
            if self._parts.get(key) == of_key
            else _digest(of_key)
            for key, of_key in parts.items()
        }
        self._parts = parts


def _parts_of(
    slot: Slot,
    names: frozenset[ResourceId],
    pool: Mapping[ResourceId, Held],
) -> _Parts:
    pooled = tuple((name, pool[name]) for name in sorted(names) if name in pool)
    return slot.active, slot.waiting, pooled


def _digest(parts: _Parts) -> Digest:
    active, waiting, pooled = parts
    return digest_of(
        active and active.digest,
        waiting and waiting.digest,
        *(part for name, held in pooled for part in (name, held.order)),
    )
