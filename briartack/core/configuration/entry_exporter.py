"""Conversion of the accepted configuration into entries for peers.

Two daemons whose digests are equal hold the same versions and definitions.
A pooled definition belongs to the digest of every key whose entries carry the
definition: the keys of the versions that refer to it and, while the
definition is newer than the active version of its owner, the owner's key.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.configuration.accepted_configuration import (
    AcceptedConfiguration,
    foreign_references_of,
)
from briartack.core.configuration.versions import ResourceId, Version
from briartack.core.entries import Definition, Entry
from briartack.core.units import NO_REVISION, Revision

_NO_DEFINITIONS: Final[frozenset[ResourceId]] = frozenset()


@final
class EntryExporter:
    """Export the accepted configuration as entries for peers."""

    __slots__ = ('_accepted', '_newer_than_owner')

    def __init__(self, accepted: AcceptedConfiguration) -> None:
        """Wrap an accepted state, which must not change during the export."""
        self._accepted = accepted
        self._newer_than_owner = accepted.newer_than_owner

    @property
    def keys(self) -> tuple[str, ...]:
        """Return the sorted keys that have a version or a newer definition."""
        slots = self._accepted.slots
        with_versions = {key for key, slot in slots.items() if slot.versions}
        return tuple(sorted(with_versions | self._newer_than_owner.keys()))

    def list_definition_ids(self, key: str) -> frozenset[ResourceId]:
        """List the definitions that the entries of a key may carry."""
        return foreign_references_of(
            self._accepted.get_slot(key)
        ) | self._list_newer_definitions(key)

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Return the entries of all versions above a revision, lowest first."""
        found = [
            version
            for slot in self._accepted.slots.values()
            for version in slot.versions
            if version.revision > revision
        ]
        found.sort(key=lambda version: (version.revision, version.key))
        return tuple(map(self._make_entry, found))

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the entries of the active and waiting versions of keys.

        A key without a version, but with definitions from peers, gets an
        entry of revision 0 that carries these definitions.
        """
        found: list[Entry] = []
        for key in keys:
            versions = self._accepted.get_slot(key).versions
            found.extend(map(self._make_entry, versions))
            if key in self._newer_than_owner and not versions:
                found.append(
                    Entry(
                        key=key,
                        revision=NO_REVISION,
                        value=None,
                        definitions=self._encode_definitions(
                            self._list_newer_definitions(key)
                        ),
                    ),
                )
        return tuple(found)

    def _list_newer_definitions(self, key: str) -> frozenset[ResourceId]:
        return self._newer_than_owner.get(key, _NO_DEFINITIONS)

    def _make_entry(self, version: Version) -> Entry:
        names = version.foreign_references | self._list_newer_definitions(
            version.key
        )
        return Entry(
            key=version.key,
            revision=version.revision,
            value=version.text,
            definitions=self._encode_definitions(names),
            stated=version.stated,
        )

    def _encode_definitions(
        self,
        names: Iterable[ResourceId],
    ) -> tuple[Definition, ...]:
        return tuple(
            definition.encode(name)
            for name in sorted(names)
            if (definition := self._accepted.find_newest_definition(name))
            is not None
        )
