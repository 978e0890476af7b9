"""The accepted versions and definitions, and how they are chosen.

Applying versions in any order, in any batches and any number of times leads
to the same state, with two exceptions. A definition that its owner removed is
forgotten once nobody refers to it, and a version that waits is forgotten when
a higher one waits. Both end when daemons exchange entries, because entries
carry the definitions that they resolved to.

A definition of a peer may be newer than its owner's active version here. It is
kept until that version catches up, or the older one would be in force again.
"""

from collections.abc import Iterable
from typing import final

from briartack.core.configuration.intake import NO_REVISION, Intake, Slot
from briartack.core.configuration.resolution import DefinitionPool, resolvable
from briartack.core.configuration.validation import Resource
from briartack.core.configuration.versions import Held, ResourceId, Version
from briartack.core.entries import TEAM_PREFIX, Entry
from briartack.core.units import Revision


@final
class Accepted:
    """Own the slots of all keys and the pool of definitions."""

    __slots__ = ('slots', 'pool')

    def __init__(self) -> None:
        """Start with nothing accepted."""
        self.slots: dict[str, Slot] = {}
        self.pool = DefinitionPool()

    @property
    def highest(self) -> Revision:
        """Search for the highest revision that is active or waiting."""
        return max(
            (slot.highest for slot in self.slots.values()),
            default=Revision(0),
        )

    @property
    def active(self) -> dict[str, Version]:
        """Give the active version of each key, in the order of keys."""
        return {
            key: slot.active
            for key, slot in sorted(self.slots.items())
            if slot.active is not None
        }

    @property
    def waiting(self) -> tuple[Version, ...]:
        """Give the versions that wait, in the order of keys."""
        return tuple(
            slot.waiting
            for _, slot in sorted(self.slots.items())
            if slot.waiting is not None
        )

    @property
    def ahead(self) -> dict[str, frozenset[ResourceId]]:
        """Give the definitions that are newer than their owner, by its key."""
        names: dict[str, frozenset[ResourceId]] = {}
        for name, held in self.pool.definitions:
            if self._is_ahead(name, held):
                key = owner_key(name)
                names[key] = names.get(key, frozenset()) | {name}
        return names

    def slot(self, key: str) -> Slot:
        """Give what is held under a key; an empty slot if nothing is."""
        return self.slots.get(key) or Slot()

    def held(self, name: ResourceId) -> Held | None:
        """Give the newest definition of a resource, if there is one."""
        found = [
            held
            for held in (self._owned(name), self.pool.get(name))
            if held is not None
        ]
        return max(found, key=lambda held: held.revision, default=None)

    def is_held(self, name: ResourceId) -> bool:
        """Tell whether a reference to a resource resolves."""
        return self.held(name) is not None

    def in_force(self) -> dict[ResourceId, Resource]:
        """Give each resource as its newest definition has it."""
        resources: dict[ResourceId, Resource] = {}
        for version in self.active.values():
            resources.update(version.defined)
        # What the pool still holds is newer than the owner's definition.
        for name, held in self.pool.definitions:
            resources[name] = held.resource
        return resources

    def resolve(self, intake: Intake) -> tuple[tuple[str, Revision], ...]:
        """Choose among all candidates; give what became active."""
        candidates = intake.candidates
        candidates.extend(self.waiting)
        resolved = resolvable(candidates, self.is_held)
        is_waiting = len(resolved) < len(candidates)
        if is_waiting or any(map(self._may_renew, intake.late)):
            intake.take_late()
            resolved = resolvable(candidates, self.is_held)
        earlier = self.active
        activated = self._settle(candidates, resolved)
        replaced = (earlier[key] for key, _ in activated if key in earlier)
        self._retain((*replaced, *resolved))
        return activated

    def removed(self) -> list[ResourceId]:
        """List the definitions whose owner has gone on without them."""
        return [
            name
            for name, held in self.pool.definitions
            if self._owner_revision(name) > held.revision
        ]

    def _owned(self, name: ResourceId) -> Held | None:
        active = self.slot(owner_key(name)).active
        return None if active is None else active.held(name)

    def _owner_revision(self, name: ResourceId) -> Revision:
        active = self.slot(owner_key(name)).active
        return NO_REVISION if active is None else active.revision

    def _is_ahead(self, name: ResourceId, held: Held) -> bool:
        return held.revision > self._owner_revision(name)

    def _settle(
        self,
        candidates: Iterable[Version],
        resolved: tuple[Version, ...],
    ) -> tuple[tuple[str, Revision], ...]:
        activated = []
        for key in sorted({version.key for version in candidates}):
            slot = self.slots.setdefault(key, Slot())
            before = slot.active
            active = _highest(key, resolved, before)
            slot.settle(active, _highest(key, candidates, active))
            if slot.waiting is active:
                slot.settle(active, None)
            if active is not None and active is not before:
                activated.append((key, active.revision))
        return tuple(activated)

    def _retain(self, sources: Iterable[Version]) -> None:
        wanted = {
            name for slot in self.slots.values() for name in foreign_of(slot)
        }
        for source in sources:
            for offered in wanted & source.defined.keys():
                held = source.held(offered)
                if held is not None:
                    self.pool.offer(offered, held)
        self.pool.keep_only(
            lambda name, kept: (
                self._is_ahead(name, kept)
                or (name in wanted and self._owned(name) is None)
            ),
        )

    def _may_renew(self, late: Entry) -> bool:
        """Tell whether an old version may have a newer definition."""
        return any(
            late.key == owner_key(name) and late.revision > held.revision
            for name, held in self.pool.definitions
        )


def owner_key(name: ResourceId) -> str:
    """Give the key of the team that owns a resource."""
    return f'{TEAM_PREFIX}{name.team}'


def foreign_of(slot: Slot) -> frozenset[ResourceId]:
    """Give the references to other teams of all versions of a key."""
    if slot.active is not None and slot.waiting is None:
        return slot.active.foreign
    names: frozenset[ResourceId] = frozenset()
    return names.union(*(version.foreign for version in slot.versions))


def _highest(
    key: str,
    versions: Iterable[Version],
    least: Version | None,
) -> Version | None:
    highest = least
    for version in versions:
        if version.key == key:
            is_higher = highest is None or version.revision > highest.revision
            highest = version if is_higher else highest
    return highest
