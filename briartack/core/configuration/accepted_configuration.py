"""State of the accepted configuration: versions by key, pooled definitions.

A version is active when all its references resolve, and waits otherwise.

Applying versions in any order, in any batches and any number of times leads
to the same state, with two exceptions: a definition that its owner removed is
dropped once no version refers to it, and a waiting version is dropped when a
higher version of the same key waits. Daemons that differ for these reasons
converge when they exchange entries, because entries carry the definitions
that their references resolved to.

A definition received from a peer may be newer than the active version of its
owner on this daemon. The definition is kept until the owner's version catches
up, because dropping it would make the older definition effective again.
"""

from collections.abc import Iterable
from typing import final

from briartack.core.configuration.batch_decoder import (
    BatchDecoder,
    KeySlot,
)
from briartack.core.configuration.resolution import (
    DefinitionPool,
    select_resolvable,
)
from briartack.core.configuration.validation import Resource
from briartack.core.configuration.versions import (
    ResourceDefinition,
    ResourceId,
    Version,
)
from briartack.core.entries import TEAM_PREFIX, Entry, is_later_version
from briartack.core.units import NO_REVISION, Revision


@final
class AcceptedConfiguration:
    """Hold the versions of each key and the pool of definitions."""

    __slots__ = ('slots', 'pool')

    def __init__(self) -> None:
        self.slots: dict[str, KeySlot] = {}
        self.pool = DefinitionPool()

    @property
    def highest(self) -> Revision:
        """Return the highest active or waiting revision, 0 if there is none.

        Each access scans all keys.
        """
        return max(
            (slot.highest for slot in self.slots.values()),
            default=Revision(0),
        )

    @property
    def active(self) -> dict[str, Version]:
        """Return the active version of each key, sorted by key."""
        return {
            key: slot.active
            for key, slot in sorted(self.slots.items())
            if slot.active is not None
        }

    @property
    def waiting(self) -> tuple[Version, ...]:
        """Return the versions with unresolved references, sorted by key."""
        return tuple(
            slot.waiting
            for _, slot in sorted(self.slots.items())
            if slot.waiting is not None
        )

    @property
    def newer_than_owner(self) -> dict[str, frozenset[ResourceId]]:
        """Return pooled definitions newer than their owner's active version.

        The result maps the key of each owner to the resources defined.
        """
        names: dict[str, frozenset[ResourceId]] = {}
        for name, definition in self.pool.definitions:
            if self._is_newer_than_owner(name, definition):
                key = owner_key(name)
                names[key] = names.get(key, frozenset()) | {name}
        return names

    def get_slot(self, key: str) -> KeySlot:
        """Return the slot of a key, or a new empty slot for an unknown key."""
        return self.slots.get(key) or KeySlot()

    def find_newest_definition(
        self, name: ResourceId
    ) -> ResourceDefinition | None:
        """Return the newest definition of a resource, or `None`."""
        found = [
            definition
            for definition in (
                self._find_owner_definition(name),
                self.pool.get(name),
            )
            if definition is not None
        ]
        return max(
            found, key=lambda definition: definition.revision, default=None
        )

    def is_defined(self, name: ResourceId) -> bool:
        """Return whether a reference to a resource resolves."""
        return self.find_newest_definition(name) is not None

    def collect_effective_resources(self) -> dict[ResourceId, Resource]:
        """Return every resource as its newest definition states it."""
        resources: dict[ResourceId, Resource] = {}
        for version in self.active.values():
            resources.update(version.definitions)
        # The pool only keeps definitions that are newer than the owner's
        # active version, or that the owner's active version lacks.
        for name, definition in self.pool.definitions:
            resources[name] = definition.resource
        return resources

    def resolve(
        self, decoder: BatchDecoder
    ) -> tuple[tuple[str, Revision], ...]:
        """Activate every version whose references resolve.

        Candidates are the versions of a batch and those already waiting.
        Returns the keys and revisions of the versions that became active.
        """
        candidates = decoder.candidates
        candidates.extend(self.waiting)
        resolved = select_resolvable(candidates, self.is_defined)
        is_waiting = len(resolved) < len(candidates)
        if is_waiting or any(
            map(self._may_supersede_pooled, decoder.late_entries)
        ):
            decoder.decode_late_entries()
            resolved = select_resolvable(candidates, self.is_defined)
        earlier = self.active
        activated = self._activate(candidates, resolved)
        replaced = (earlier[key] for key, _ in activated if key in earlier)
        self._update_pool((*replaced, *resolved))
        return activated

    def list_retained(self) -> list[ResourceId]:
        """List the definitions that a later version of their owner removed.

        They stay effective while other teams refer to them.
        """
        return [
            name
            for name, definition in self.pool.definitions
            if self._find_owner_revision(name) > definition.revision
        ]

    def _find_owner_definition(
        self, name: ResourceId
    ) -> ResourceDefinition | None:
        active = self.get_slot(owner_key(name)).active
        return None if active is None else active.find_definition(name)

    def _find_owner_revision(self, name: ResourceId) -> Revision:
        active = self.get_slot(owner_key(name)).active
        return NO_REVISION if active is None else active.revision

    def _is_newer_than_owner(
        self, name: ResourceId, definition: ResourceDefinition
    ) -> bool:
        return definition.revision > self._find_owner_revision(name)

    def _activate(
        self,
        candidates: Iterable[Version],
        resolved: tuple[Version, ...],
    ) -> tuple[tuple[str, Revision], ...]:
        """Set the active and waiting version of each key with candidates."""
        activated = []
        for key in sorted({version.key for version in candidates}):
            slot = self.slots.setdefault(key, KeySlot())
            before = slot.active
            active = _select_highest(key, resolved, before)
            slot.replace_versions(
                active, _select_highest(key, candidates, active)
            )
            if slot.waiting is active:
                slot.replace_versions(active, None)
            if active is not None and active is not before:
                activated.append((key, active.revision))
        return tuple(activated)

    def _update_pool(self, sources: Iterable[Version]) -> None:
        """Pool referenced definitions of the sources; drop unneeded ones.

        A pooled definition is needed while it is newer than the owner's active
        version, or while it is referred to and that version lacks it.
        """
        wanted = {
            name
            for slot in self.slots.values()
            for name in foreign_references_of(slot)
        }
        for source in sources:
            for offered in wanted & source.definitions.keys():
                definition = source.find_definition(offered)
                if definition is not None:
                    self.pool.add_if_newer(offered, definition)
        self.pool.keep_only(
            lambda name, kept: (
                self._is_newer_than_owner(name, kept)
                or (
                    name in wanted and self._find_owner_definition(name) is None
                )
            ),
        )

    def _may_supersede_pooled(self, late: Entry) -> bool:
        """Return whether a late entry may hold a newer definition.

        The entry may do so if its revision is above that of a pooled definition
        of the same owner.
        """
        return any(
            late.key == owner_key(name) and late.revision > definition.revision
            for name, definition in self.pool.definitions
        )


def owner_key(name: ResourceId) -> str:
    """Return the key of the team that owns a resource."""
    return f'{TEAM_PREFIX}{name.team}'


def foreign_references_of(slot: KeySlot) -> frozenset[ResourceId]:
    """Return the references to other teams in all versions of a key."""
    if slot.active is not None and slot.waiting is None:
        return slot.active.foreign_references
    names: frozenset[ResourceId] = frozenset()
    return names.union(
        *(version.foreign_references for version in slot.versions)
    )


def _select_highest(
    key: str,
    versions: Iterable[Version],
    least: Version | None,
) -> Version | None:
    """Return the highest version of a key, `least` if none is higher."""
    highest = least
    for version in versions:
        if version.key == key:
            is_higher = highest is None or is_later_version(version, highest)
            highest = version if is_higher else highest
    return highest
