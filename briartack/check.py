"""Check of a version-controlled tree, before it is published.

Values are decoded with the daemons' own validator, so what passes here is
accepted there.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias, final

from briartack.core.configuration.problems import Code, Problem, problem
from briartack.core.configuration.settings import Route
from briartack.core.configuration.shape import ROOT
from briartack.core.configuration.validation import FIELD_OF_KIND
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    references_of,
)
from briartack.tree import Tree, read_tree

_Users: TypeAlias = dict[ResourceId, list[str]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CheckReport:
    """List what must be and what should be fixed."""

    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]
    teams: int
    routes: int

    @property
    def is_passed(self) -> bool:
        """Tell whether the tree may be published."""
        return not self.errors

    def to_dict(self) -> dict[str, object]:
        """Give the report as JSON has it."""
        return {
            'passed': self.is_passed,
            'teams': self.teams,
            'routes': self.routes,
            'errors': [_as_dict(found) for found in self.errors],
            'warnings': [_as_dict(found) for found in self.warnings],
        }

    def lines(self) -> list[str]:
        """Give the report as operators read it."""
        return [
            *(f'error: {found}' for found in self.errors),
            *(f'warning: {found}' for found in self.warnings),
            f'{self.teams} teams, {self.routes} routes, '
            f'{len(self.errors)} errors, {len(self.warnings)} warnings',
        ]


def check_tree(path: Path, against: Path | None = None) -> CheckReport:
    """Check a tree, and the way to it from the tree that is published."""
    tree = read_tree(path)
    errors = [*tree.problems, *_unresolved(tree)]
    warnings = list(_equal_prefixes(tree))
    if against is not None:
        published = read_tree(against)
        errors.extend(published.problems)
        errors.extend(_removed(published, tree, _users(tree)))
        # Keys are published one by one, so a removal can overtake the edit
        # that drops the last reference. Daemons retain the resource then.
        warnings.extend(_removed(published, tree, _dropped(published, tree)))
    return CheckReport(
        errors=tuple(errors),
        warnings=tuple(warnings),
        teams=len(tree.teams),
        routes=sum(len(team.settings.routes) for team in tree.teams.values()),
    )


def _as_dict(found: Problem) -> dict[str, str]:
    return {
        'key': found.key,
        'path': found.path,
        'code': found.code.value,
        'text': found.text,
        'fix': found.fix,
    }


def _routes(tree: Tree) -> Iterator[tuple[Version, str, Route]]:
    for team in tree.teams.values():
        for index, route in enumerate(team.settings.routes):
            yield team, f'{ROOT}.routes[{index}]', route


def _unresolved(tree: Tree) -> Iterator[Problem]:
    for team, path, route in _routes(tree):
        for wanted in references_of(team.team, route):
            if not tree.may_define(wanted):
                place = f'{path}.{FIELD_OF_KIND[wanted.kind]}'
                yield problem(team.key, place, Code.FOREIGN_REFERENCE, wanted)


def _users(tree: Tree) -> _Users:
    """Give the routes of other teams that refer to each resource."""
    users: _Users = {}
    for team, _, route in _routes(tree):
        for wanted in references_of(team.team, route):
            if wanted.team != team.team:
                name = f'route {team.team}/{route.name}'
                users.setdefault(wanted, []).append(name)
    return users


def _dropped(published: Tree, tree: Tree) -> _Users:
    """Give the users of what only the published tree refers to."""
    remaining = _users(tree)
    return {
        resource_id: users
        for resource_id, users in _users(published).items()
        if resource_id not in remaining
    }


def _removed(published: Tree, tree: Tree, users: _Users) -> Iterator[Problem]:
    for resource_id, names in sorted(users.items()):
        if published.defines(resource_id) and not tree.may_define(resource_id):
            yield problem(
                published.teams[resource_id.team].key,
                f'{ROOT}.{resource_id.kind}.{resource_id.name}',
                Code.REMOVED_IN_USE,
                ', '.join(names),
            )


def _equal_prefixes(tree: Tree) -> Iterator[Problem]:
    by_prefix: dict[str, set[str]] = {}
    for owner, _, owned in _routes(tree):
        names = by_prefix.setdefault(owned.path_prefix, set())
        names.add(f'{owner.team}/{owned.name}')
    for team, path, route in _routes(tree):
        others = [
            name
            for name in sorted(by_prefix[route.path_prefix])
            if not name.startswith(f'{team.team}/')
        ]
        if others:
            place = f'{path}.path_prefix'
            yield problem(
                team.key,
                place,
                Code.EQUAL_PREFIX,
                ', '.join(others),
            )
