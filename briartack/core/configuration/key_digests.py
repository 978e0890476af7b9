"""Digests of the accepted state of each key, for comparison with peers."""

from collections.abc import Mapping
from typing import TypeAlias, final

from briartack.core.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from briartack.core.configuration.batch_decoder import KeySlot
from briartack.core.configuration.entry_exporter import EntryExporter
from briartack.core.configuration.versions import (
    ResourceDefinition,
    ResourceId,
    Version,
    compute_digest,
)
from briartack.core.units import Digest

_PooledDefinitions: TypeAlias = tuple[
    tuple[ResourceId, ResourceDefinition], ...
]
_DigestInputs: TypeAlias = tuple[
    Version | None, Version | None, _PooledDefinitions
]


@final
class KeyDigests:
    """Cache the digest of each key and recompute only changed keys."""

    __slots__ = ('_inputs', '_digests')

    def __init__(self) -> None:
        self._inputs: dict[str, _DigestInputs] = {}
        self._digests: dict[str, Digest] = {}

    @property
    def digests(self) -> dict[str, Digest]:
        """Return the digest of each key.

        The same dict object is returned until the next update.
        """
        return self._digests

    def update(self, accepted: AcceptedConfiguration) -> None:
        """Recompute the digests of the keys whose accepted state changed."""
        pool = dict(accepted.pool.definitions)
        exporter = EntryExporter(accepted)
        inputs = {
            key: _collect_digest_inputs(
                accepted.get_slot(key), exporter.list_definition_ids(key), pool
            )
            for key in exporter.keys
        }
        self._digests = {
            key: self._digests[key]
            if self._inputs.get(key) == key_inputs
            else _compute_key_digest(key_inputs)
            for key, key_inputs in inputs.items()
        }
        self._inputs = inputs


def _collect_digest_inputs(
    slot: KeySlot,
    names: frozenset[ResourceId],
    pool: Mapping[ResourceId, ResourceDefinition],
) -> _DigestInputs:
    pooled = tuple((name, pool[name]) for name in sorted(names) if name in pool)
    return slot.active, slot.waiting, pooled


def _compute_key_digest(inputs: _DigestInputs) -> Digest:
    active, waiting, pooled = inputs
    return compute_digest(
        active and active.digest,
        waiting and waiting.digest,
        *(
            part
            for name, definition in pooled
            for part in (name, definition.sort_key)
        ),
    )
