"""Joint resolution of references between teams.

A definition counts as available as soon as any version that could be
activated contained the definition, because a resource that its owner removes
later is retained while other teams refer to it. Resolution is therefore
monotone: dropping a version can only remove definitions, so the greatest
resolvable set is unique whatever the order in which versions arrive.
"""

from collections.abc import Callable, Iterable
from operator import itemgetter
from typing import final

from briartack.core.configuration.versions import (
    ResourceDefinition,
    ResourceId,
    Version,
)


def select_resolvable(
    candidates: Iterable[Version],
    is_defined: Callable[[ResourceId], bool],
) -> tuple[Version, ...]:
    """Return the greatest set of candidates whose references all resolve.

    A reference resolves to a definition already held or to a resource that
    a version of the set defines, so two teams may add references to each
    other's new resources.
    """
    remaining = tuple(candidates)
    while True:
        available = _find_available(remaining, is_defined)
        kept = tuple(
            version
            for version in remaining
            if version.foreign_references <= available
        )
        if len(kept) == len(remaining):
            return kept
        remaining = kept


def missing_references(
    version: Version,
    is_defined: Callable[[ResourceId], bool],
) -> tuple[ResourceId, ...]:
    """Return the sorted references of a version that do not resolve."""
    return tuple(
        sorted(
            wanted
            for wanted in version.foreign_references
            if not is_defined(wanted)
        ),
    )


@final
class DefinitionPool:
    """Hold definitions that are not taken from the owner's active version.

    They may be newer or older than that version: they come from peers, or
    from versions of the owner that are no longer active.
    """

    __slots__ = ('_definitions',)

    def __init__(self) -> None:
        self._definitions: dict[ResourceId, ResourceDefinition] = {}

    @property
    def definitions(self) -> tuple[tuple[ResourceId, ResourceDefinition], ...]:
        """Return all definitions, sorted by resource."""
        return tuple(sorted(self._definitions.items(), key=itemgetter(0)))

    def get(self, resource_id: ResourceId) -> ResourceDefinition | None:
        """Return the pooled definition of a resource, or `None`."""
        return self._definitions.get(resource_id)

    def add_if_newer(
        self, resource_id: ResourceId, definition: ResourceDefinition
    ) -> None:
        """Add a definition unless the pool has the same or a newer one."""
        present = self._definitions.get(resource_id)
        if present is None or definition.sort_key > present.sort_key:
            self._definitions[resource_id] = definition

    def keep_only(
        self, is_needed: Callable[[ResourceId, ResourceDefinition], bool]
    ) -> None:
        """Remove the definitions for which the predicate is false."""
        self._definitions = {
            resource_id: definition
            for resource_id, definition in self._definitions.items()
            if is_needed(resource_id, definition)
        }


def _find_available(
    candidates: tuple[Version, ...],
    is_defined: Callable[[ResourceId], bool],
) -> set[ResourceId]:
    by_team: dict[str, list[Version]] = {}
    for version in candidates:
        by_team.setdefault(version.team, []).append(version)
    wanted = {
        resource_id
        for candidate in candidates
        for resource_id in candidate.foreign_references
    }
    return {
        resource_id
        for resource_id in wanted
        if is_defined(resource_id)
        or any(
            owner.find_definition(resource_id) is not None
            for owner in by_team.get(resource_id.team, ())
        )
    }
