"""Differences between two version-controlled trees."""

import enum
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias, final

import msgspec

from briartack.core.configuration.problems import Problem
from briartack.tree import Tree, read_tree

_PartId: TypeAlias = tuple[str, str]  # kind and name


@final
@enum.unique
class Change(enum.Enum):
    """Name what happened to a part of the configuration."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """Name a part that differs, with its JSON text on both sides."""

    change: Change
    kind: str  # routes, services, policies, workspaces or out of service
    name: str
    old: str | None
    new: str | None

    def to_dict(self) -> dict[str, object]:
        """Give the difference as JSON has it."""
        return {
            'change': self.change.value,
            'kind': self.kind,
            'name': self.name,
            'old': self.old,
            'new': self.new,
        }

    def __str__(self) -> str:
        """Give one line for terminals."""
        start = f'{self.change.value} {self.kind} {self.name}'
        if self.change is Change.CHANGED:
            return f'{start}: {self.old} -> {self.new}'
        return f'{start}: {self.new or self.old}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class DiffReport:
    """List the differences; files with problems are left out."""

    differences: tuple[Difference, ...]
    problems: tuple[Problem, ...]

    def to_dict(self) -> dict[str, object]:
        """Give the report as JSON has it."""
        return {
            'differences': [item.to_dict() for item in self.differences],
            'problems': [str(found) for found in self.problems],
        }

    def lines(self) -> list[str]:
        """Give the report as operators read it."""
        return [
            *(f'error: {found}' for found in self.problems),
            *(str(item) for item in self.differences),
            f'{len(self.differences)} differences',
        ]


def diff_trees(old: Path, new: Path) -> DiffReport:
    """Compare two trees part by part."""
    trees = (read_tree(old), read_tree(new))
    before, after = (dict(_parts(tree)) for tree in trees)
    return DiffReport(
        differences=tuple(_differences(before, after)),
        problems=(*trees[0].problems, *trees[1].problems),
    )


def _parts(tree: Tree) -> Iterator[tuple[_PartId, str]]:
    for team in tree.teams.values():
        for name, resource in team.defined.items():
            yield (name.kind, name.qualified), _text(resource)
        for route in team.settings.routes:
            yield ('routes', f'{team.team}/{route.name}'), _text(route)
    for data_centre in tree.platform.data_centres_out:
        yield ('data_centres_out', data_centre), 'out of service'
    for instance in tree.platform.instances_out:
        yield ('instances_out', instance), 'out of service'


def _text(part: msgspec.Struct) -> str:
    return msgspec.json.encode(part).decode()


def _differences(
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
