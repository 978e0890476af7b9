"""Check the tenants of a settings tree across its teams."""

from collections.abc import Iterator

from briartack.core.configuration.problems import Code, Problem, make_problem
from briartack.core.configuration.schema_problems import ROOT
from briartack.core.configuration.settings import Tenant
from briartack.core.configuration.value_checks import get_tenants, show_name
from briartack.core.configuration.versions import Version
from briartack.settings_tree import SettingsTree


def find_shared_keys(tree: SettingsTree) -> Iterator[Problem]:
    """Yield the tenants of different teams that have the same API key.

    The daemons give the key to the tenant of the first team. Within a team, the
    validation refuses the value.
    """
    holders: dict[str, tuple[str, str]] = {}
    reported: set[str] = set()
    for team, name, tenant in _iterate_tenants(tree):
        for digest in tenant.keys:
            shown = show_name(name, tenant)
            owner, holder = holders.setdefault(digest, (team.team, shown))
            both = f'{owner}/{holder} and {team.team}/{shown}'
            if owner != team.team and both not in reported:
                reported.add(both)
                yield make_problem(
                    team.key,
                    f'{ROOT}.tenants.{name}.keys',
                    Code.DUPLICATE_KEY,
                    both,
                )


def find_unknown_tenants(tree: SettingsTree) -> Iterator[Problem]:
    """Yield the names in workspaces that no tenant with API keys has.

    Without such tenants, callers state their tenants themselves.
    """
    known = {
        show_name(name, tenant) for _, name, tenant in _iterate_tenants(tree)
    }
    if not known:
        return
    for team in tree.teams.values():
        for workspace, settings in team.settings.workspaces.items():
            for named in settings.tenants:
                if named not in known:
                    yield make_problem(
                        team.key,
                        f'{ROOT}.workspaces.{workspace}.tenants',
                        Code.UNKNOWN_TENANT,
                        named,
                    )


def _iterate_tenants(
    tree: SettingsTree,
) -> Iterator[tuple[Version, str, Tenant]]:
    for _, team in sorted(tree.teams.items()):
        for name, tenant in get_tenants(team.settings).items():
            yield team, name, tenant
