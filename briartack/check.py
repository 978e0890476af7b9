"""Check a version-controlled settings tree before it is published.

Serves `briartack check`. Values are decoded by the same validator as in the
daemons, so a daemon accepts every tree that passes this check.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias, final

from briartack.core.configuration.problems import Code, Problem, make_problem
from briartack.core.configuration.schema_problems import ROOT
from briartack.core.configuration.settings import Route
from briartack.core.configuration.validation import FIELD_OF_KIND
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    list_references,
)
from briartack.settings_tree import SettingsTree, read_tree
from briartack.tenant_checks import find_shared_keys, find_unknown_tenants

_RoutesByResource: TypeAlias = dict[ResourceId, list[str]]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CheckReport:
    """Hold the errors, the warnings and the size of a checked tree."""

    errors: tuple[Problem, ...]
    warnings: tuple[Problem, ...]
    teams: int
    routes: int

    @property
    def has_passed(self) -> bool:
        """Return whether the tree may be published, that is, has no errors."""
        return not self.errors

    def to_dict(self) -> dict[str, object]:
        """Return the report as an object for JSON output."""
        return {
            'passed': self.has_passed,
            'teams': self.teams,
            'routes': self.routes,
            'errors': [_convert_to_dict(found) for found in self.errors],
            'warnings': [_convert_to_dict(found) for found in self.warnings],
        }

    def format_lines(self) -> list[str]:
        """Return the report as lines of text for a terminal."""
        return [
            *(f'error: {found}' for found in self.errors),
            *(f'warning: {found}' for found in self.warnings),
            f'{self.teams} teams, {self.routes} routes, '
            f'{len(self.errors)} errors, {len(self.warnings)} warnings',
        ]


def check_tree(path: Path, against: Path | None = None) -> CheckReport:
    """Check a tree, and its changes against the published tree if given.

    A resource that the published tree defines must not be removed while a
    route still refers to it.
    """
    tree = read_tree(path)
    errors = [
        *tree.problems,
        *_find_unresolved_references(tree),
        *find_shared_keys(tree),
        *find_unknown_tenants(tree),
    ]
    warnings = list(_find_equal_prefixes(tree))
    if against is not None:
        published = read_tree(against)
        errors.extend(published.problems)
        errors.extend(
            _find_removals_in_use(published, tree, _map_cross_team_users(tree))
        )
        # Keys are published one by one, so the removal of a resource can
        # arrive before the edit that drops its last reference. Daemons retain
        # the resource until then, so this is only a warning.
        warnings.extend(
            _find_removals_in_use(
                published, tree, _map_former_users(published, tree)
            )
        )
    return CheckReport(
        errors=tuple(errors),
        warnings=tuple(warnings),
        teams=len(tree.teams),
        routes=sum(len(team.settings.routes) for team in tree.teams.values()),
    )


def _convert_to_dict(found: Problem) -> dict[str, str]:
    return {
        'key': found.key,
        'path': found.path,
        'code': found.code.value,
        'text': found.text,
        'fix': found.fix,
    }


def _iterate_routes(tree: SettingsTree) -> Iterator[tuple[Version, str, Route]]:
    for team in tree.teams.values():
        for index, route in enumerate(team.settings.routes):
            yield team, f'{ROOT}.routes[{index}]', route


def _find_unresolved_references(tree: SettingsTree) -> Iterator[Problem]:
    for team, path, route in _iterate_routes(tree):
        for reference in list_references(team.team, route):
            if not tree.may_define(reference):
                place = f'{path}.{FIELD_OF_KIND[reference.kind]}'
                yield make_problem(
                    team.key, place, Code.FOREIGN_REFERENCE, reference
                )


def _map_cross_team_users(tree: SettingsTree) -> _RoutesByResource:
    """Map each resource to the routes of other teams that refer to it."""
    users: _RoutesByResource = {}
    for team, _, route in _iterate_routes(tree):
        for reference in list_references(team.team, route):
            if reference.team != team.team:
                name = f'route {team.team}/{route.name}'
                users.setdefault(reference, []).append(name)
    return users


def _map_former_users(
    published: SettingsTree, tree: SettingsTree
) -> _RoutesByResource:
    """Map each resource that lost its last reference to its former users."""
    remaining = _map_cross_team_users(tree)
    return {
        resource_id: users
        for resource_id, users in _map_cross_team_users(published).items()
        if resource_id not in remaining
    }


def _find_removals_in_use(
    published: SettingsTree, tree: SettingsTree, users: _RoutesByResource
) -> Iterator[Problem]:
    for resource_id, names in sorted(users.items()):
        if published.defines(resource_id) and not tree.may_define(resource_id):
            yield make_problem(
                published.teams[resource_id.team].key,
                f'{ROOT}.{resource_id.kind}.{resource_id.name}',
                Code.REMOVED_IN_USE,
                ', '.join(names),
            )


def _find_equal_prefixes(tree: SettingsTree) -> Iterator[Problem]:
    by_prefix: dict[str, set[str]] = {}
    for owner, _, owned_route in _iterate_routes(tree):
        names = by_prefix.setdefault(owned_route.path_prefix, set())
        names.add(f'{owner.team}/{owned_route.name}')
    for team, path, route in _iterate_routes(tree):
        others = [
            name
            for name in sorted(by_prefix[route.path_prefix])
            if not name.startswith(f'{team.team}/')
        ]
        if others:
            place = f'{path}.path_prefix'
            yield make_problem(
                team.key,
                place,
                Code.EQUAL_PREFIX,
                ', '.join(others),
            )
