"""The tenants of the configuration in force, by the digests of their keys."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

from briartack.core.configuration.settings import Tenant
from briartack.core.configuration.value_checks import show_name


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResolvedTenant:
    """Hold a tenant as calls need it."""

    name: str  # TEAM/NAME
    title: str  # as operators see it
    header: str  # value of the tenant header for upstreams
    rank: int
    calls_per_second: float  # 0 is no limit
    burst: float
    home_regions: frozenset[str] | None  # `None` allows every region

    @property
    def has_cap(self) -> bool:
        """Return whether the calls of the tenant are limited."""
        return self.calls_per_second > 0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class TenantTable:
    """Look up tenants by the digest of an API key; false without tenants."""

    by_name: Mapping[str, ResolvedTenant]  # TEAM/NAME
    by_key_digest: Mapping[str, ResolvedTenant]

    def __bool__(self) -> bool:
        """Return whether callers need API keys."""
        return bool(self.by_name)


NO_TENANTS: Final = TenantTable(
    by_name=MappingProxyType({}), by_key_digest=MappingProxyType({})
)


def build_tenant_table(
    defined: Iterable[tuple[str, Mapping[str, Tenant]]],
) -> TenantTable:
    """Build the table from the tenants of each team.

    Of tenants of two teams with the same key, that of the first team in the
    order given has the key.
    """
    by_name: dict[str, ResolvedTenant] = {}
    by_key_digest: dict[str, ResolvedTenant] = {}
    for team, tenants in defined:
        for name, tenant in tenants.items():
            resolved = _resolve(team, name, tenant)
            by_name[resolved.name] = resolved
            for digest in tenant.keys:
                by_key_digest.setdefault(digest, resolved)
    if not by_name:
        return NO_TENANTS
    return TenantTable(
        by_name=MappingProxyType(by_name),
        by_key_digest=MappingProxyType(by_key_digest),
    )


def _resolve(team: str, name: str, tenant: Tenant) -> ResolvedTenant:
    header = tenant.header if isinstance(tenant.header, str) else name
    return ResolvedTenant(
        name=f'{team}/{name}',
        title=show_name(name, tenant),
        header=header,
        rank=tenant.rank,
        calls_per_second=tenant.calls_per_second,
        burst=tenant.burst,
        home_regions=frozenset(tenant.home_regions) or None,
    )
