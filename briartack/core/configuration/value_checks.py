"""Checks of lists of names and of the tenants of one team."""

from collections import Counter
from collections.abc import Iterator

import msgspec

from briartack.core.configuration.problems import Code, Problem, make_problem
from briartack.core.configuration.schema_problems import ROOT
from briartack.core.configuration.settings import TeamSettings, Tenant


def find_list_problems(
    key: str,
    path: str,
    names: tuple[str, ...],
) -> Iterator[Problem]:
    """Yield the problems of a list of distinct names."""
    for listed, count in Counter(names).items():
        if not listed or listed != listed.strip():
            yield make_problem(key, path, Code.EMPTY_ITEM, listed)
        if count > 1:
            yield make_problem(key, path, Code.DUPLICATE_ITEM, listed)


def find_tenant_problems(key: str, settings: TeamSettings) -> Iterator[Problem]:
    """Yield the problems of the tenants of a team.

    Two tenants with the same key are named, not the key or its digest.
    """
    tenants = get_tenants(settings)
    holders: dict[str, str] = {}
    reported: set[str] = set()
    for name, tenant in tenants.items():
        path = f'{ROOT}.tenants.{name}'
        yield from find_list_problems(
            key, f'{path}.home_regions', tenant.home_regions
        )
        for digest in tenant.keys:
            holder = holders.setdefault(digest, name)
            if holder == name:
                continue
            shown = show_name(holder, tenants[holder])
            both = f'{shown!r} and {show_name(name, tenant)!r}'
            if both not in reported:
                reported.add(both)
                yield make_problem(
                    key, f'{path}.keys', Code.DUPLICATE_KEY, both
                )


def get_tenants(settings: TeamSettings) -> dict[str, Tenant]:
    """Return the tenants of a team by name."""
    tenants = settings.tenants
    return {} if isinstance(tenants, msgspec.UnsetType) else tenants


def show_name(name: str, tenant: Tenant) -> str:
    """Return the name that operators gave the tenant."""
    if isinstance(tenant.header, str):
        return tenant.header.encode('latin-1').decode(errors='replace')
    return name
