"""Joint resolution of references between teams.

A definition counts as available once a version that could be activated had
it, because what the owner removes later is retained while it is referred to.
That makes resolution monotone: dropping a version only takes definitions
away, and the greatest set that resolves is unique in whatever order versions
arrive.
"""

from collections.abc import Callable, Iterable
from operator import itemgetter
from typing import final

from briartack.core.configuration.versions import Held, ResourceId, Version


def resolvable(
    candidates: Iterable[Version],
    is_held: Callable[[ResourceId], bool],
) -> tuple[Version, ...]:
    """Give the greatest set of candidates whose references resolve.

    A reference resolves to what is held or what the set itself defines, so
    two teams may add references to each other's new resources.
    """
    remaining = tuple(candidates)
    while True:
        offered = _offered(remaining, is_held)
        kept = tuple(
            version for version in remaining if version.foreign <= offered
        )
        if len(kept) == len(remaining):
            return kept
        remaining = kept


def missing_references(
    version: Version,
    is_held: Callable[[ResourceId], bool],
) -> tuple[ResourceId, ...]:
    """List the references of a version that nothing held defines."""
    return tuple(
        sorted(wanted for wanted in version.foreign if not is_held(wanted)),
    )


@final
class DefinitionPool:
    """Hold definitions that may be newer or older than their owner's.

    They come from peers, or from versions of the owner that are no longer
    active.
    """

    __slots__ = ('_held',)

    def __init__(self) -> None:
        """Start with no definition."""
        self._held: dict[ResourceId, Held] = {}

    @property
    def definitions(self) -> tuple[tuple[ResourceId, Held], ...]:
        """Give all definitions, in the order of their names."""
        return tuple(sorted(self._held.items(), key=itemgetter(0)))

    def get(self, resource_id: ResourceId) -> Held | None:
        """Give the definition of a resource, if there is one."""
        return self._held.get(resource_id)

    def offer(self, resource_id: ResourceId, held: Held) -> None:
        """Keep a definition unless a newer one is here."""
        present = self._held.get(resource_id)
        if present is None or held.order > present.order:
            self._held[resource_id] = held

    def keep_only(self, is_needed: Callable[[ResourceId, Held], bool]) -> None:
        """Forget the definitions that are not needed."""
        self._held = {
            resource_id: held
            for resource_id, held in self._held.items()
            if is_needed(resource_id, held)
        }


def _offered(
    candidates: tuple[Version, ...],
    is_held: Callable[[ResourceId], bool],
) -> set[ResourceId]:
    by_team: dict[str, list[Version]] = {}
    for version in candidates:
        by_team.setdefault(version.team, []).append(version)
    wanted = {
        resource_id
        for candidate in candidates
        for resource_id in candidate.foreign
    }
    return {
        resource_id
        for resource_id in wanted
        if is_held(resource_id)
        or any(
            owner.held(resource_id) is not None
            for owner in by_team.get(resource_id.team, ())
        )
    }
