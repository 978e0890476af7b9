"""Compare two version-controlled settings trees.

Serves `briartack diff`.
"""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias, final

import msgspec

from briartack.core.configuration.problems import Problem
from briartack.core.configuration.value_checks import get_tenants
from briartack.settings_tree import SettingsTree, read_tree

_PartId: TypeAlias = tuple[str, str]  # kind and name


@final
@enum.unique
class Change(enum.Enum):
    """Name how a part of the configuration differs between two trees."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Hold the identity of a changed part and its JSON text in both trees.

    A text is None in the tree that lacks the part.
    """

    change: Change
    # routes, services, policies, workspaces, tenants, data_centres_out or
    # instances_out
    kind: str
    name: str
    old: str | None
    new: str | None

    def to_dict(self) -> dict[str, object]:
        """Return the difference as an object for JSON output."""
        return {
            'change': self.change.value,
            'kind': self.kind,
            'name': self.name,
            'old': self.old,
            'new': self.new,
        }

    def __str__(self) -> str:
        """Return the difference as one line of text."""
        start = f'{self.change.value} {self.kind} {self.name}'
        if self.change is Change.CHANGED:
            return f'{start}: {self.old} -> {self.new}'
        return f'{start}: {self.new or self.old}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DiffReport:
    """Hold the differences and the problems of two trees.

    Files that have problems are excluded from the comparison.
    """

    differences: tuple[Difference, ...]
    problems: tuple[Problem, ...]

    def to_dict(self) -> dict[str, object]:
        """Return the report as an object for JSON output."""
        return {
            'differences': [item.to_dict() for item in self.differences],
            'problems': [str(found) for found in self.problems],
        }

    def format_lines(self) -> list[str]:
        """Return the report as lines of text for a terminal."""
        return [
            *(f'error: {found}' for found in self.problems),
            *(str(item) for item in self.differences),
            f'{len(self.differences)} differences',
        ]


def diff_trees(old: Path, new: Path) -> DiffReport:
    """Compare the routes, resources and platform settings of two trees."""
    trees = (read_tree(old), read_tree(new))
    before, after = (dict(_iterate_parts(tree)) for tree in trees)
    return DiffReport(
        differences=tuple(_find_differences(before, after)),
        problems=(*trees[0].problems, *trees[1].problems),
    )


def _iterate_parts(tree: SettingsTree) -> Iterator[tuple[_PartId, str]]:
    for team in tree.teams.values():
        for name, resource in team.definitions.items():
            yield (name.kind, name.qualified), _encode_part(resource)
        for tenant, settings in get_tenants(team.settings).items():
            yield ('tenants', f'{team.team}/{tenant}'), _encode_part(settings)
        for route in team.settings.routes:
            yield ('routes', f'{team.team}/{route.name}'), _encode_part(route)
    for data_centre in tree.platform.data_centres_out:
        yield ('data_centres_out', data_centre), 'out of service'
    for instance in tree.platform.instances_out:
        yield ('instances_out', instance), 'out of service'


def _encode_part(part: msgspec.Struct) -> str:
    return msgspec.json.encode(part).decode()


def _find_differences(
    before: Mapping[_PartId, str],
    after: Mapping[_PartId, str],
) -> Iterator[Difference]:
    for part in sorted({*before, *after}):
        old = before.get(part)
        new = after.get(part)
        if old == new:
            continue
        change = Change.CHANGED
        if old is None:
            change = Change.ADDED
        elif new is None:
            change = Change.REMOVED
        yield Difference(
            change=change,
            kind=part[0],
            name=part[1],
            old=old,
            new=new,
        )
