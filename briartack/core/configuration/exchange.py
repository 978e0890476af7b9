"""What peers exchange of the accepted configuration.

Equal digests mean that two daemons hold the same versions and definitions.
Each pooled definition counts for the keys whose entries carry it: those of
versions that refer to it and, while it is newer than its owner's active
version, the key of its owner.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.configuration.accepted import Accepted, foreign_of
from briartack.core.configuration.intake import NO_REVISION
from briartack.core.configuration.versions import ResourceId, Version
from briartack.core.entries import Definition, Entry
from briartack.core.units import Revision

_NOTHING: Final[frozenset[ResourceId]] = frozenset()


@final
class Exchange:
    """Read the entries of what is accepted at this moment."""

    __slots__ = ('_accepted', '_ahead')

    def __init__(self, accepted: Accepted) -> None:
        """Refer to the accepted state, which must not change meanwhile."""
        self._accepted = accepted
        self._ahead = accepted.ahead

    @property
    def keys(self) -> tuple[str, ...]:
        """List the keys of which anything is held, in order."""
        slots = self._accepted.slots
        held = {key for key, slot in slots.items() if slot.versions}
        return tuple(sorted(held | self._ahead.keys()))

    def names_of(self, key: str) -> frozenset[ResourceId]:
        """List the definitions that the entries of a key may carry."""
        return foreign_of(self._accepted.slot(key)) | self._own(key)

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Give the versions above a revision, lowest first."""
        found = [
            version
            for slot in self._accepted.slots.values()
            for version in slot.versions
            if version.revision > revision
        ]
        found.sort(key=lambda version: (version.revision, version.key))
        return tuple(map(self._entry, found))

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Give the active and waiting versions of the keys that are held.

        An entry of revision 0 carries definitions whose owner is not held.
        """
        found: list[Entry] = []
        for key in keys:
            versions = self._accepted.slot(key).versions
            found.extend(map(self._entry, versions))
            if key in self._ahead and not versions:
                found.append(
                    Entry(
                        key=key,
                        revision=NO_REVISION,
                        value=None,
                        definitions=self._definitions(self._own(key)),
                    ),
                )
        return tuple(found)

    def _own(self, key: str) -> frozenset[ResourceId]:
        return self._ahead.get(key, _NOTHING)

    def _entry(self, version: Version) -> Entry:
        names = version.foreign | self._own(version.key)
        return Entry(
            key=version.key,
            revision=version.revision,
            value=version.text,
            definitions=self._definitions(names),
        )

    def _definitions(
        self,
        names: Iterable[ResourceId],
    ) -> tuple[Definition, ...]:
        return tuple(
            held.definition(name)
            for name in sorted(names)
            if (held := self._accepted.held(name)) is not None
        )
