"""What the tenants requested and got, as operators see it."""

import heapq
from typing import Final, final

from briartack.core.effects import Count
from briartack.core.tenants.tenant_table import ResolvedTenant

# Tenants that status and metrics name; the others are summed.
MAX_NAMED: Final = 5
OTHERS: Final = 'others'
# Each change of the named tenants may add five series to the metrics.
NAMING_SECONDS: Final = 60.0


@final
class TenantCounts:
    """Count the calls of one tenant."""

    __slots__ = ('requested', 'served', 'refused_by_cap')

    def __init__(self) -> None:
        self.requested = 0
        self.served = 0
        self.refused_by_cap = 0

    def add(self, other: 'TenantCounts') -> None:
        """Add the counts of another tenant."""
        self.requested += other.requested
        self.served += other.served
        self.refused_by_cap += other.refused_by_cap

    def describe(self) -> dict[str, int]:
        """Return the counts by name."""
        return {
            'requested': self.requested,
            'served': self.served,
            'refused_by_cap': self.refused_by_cap,
        }


@final
class TenantCounters:
    """Count the calls of all tenants, and name the largest ones."""

    __slots__ = ('_counts', '_named', '_named_at')

    def __init__(self) -> None:
        self._counts: dict[str, TenantCounts] = {}
        self._named: frozenset[str] = frozenset()
        self._named_at = float('-inf')

    def count_requested(self, tenant: ResolvedTenant) -> Count:
        """Count a call that arrived; return the effect for the metric."""
        self._find(tenant).requested += 1
        return Count(name='tenants.requested', attributes=self._label(tenant))

    def count_served(self, tenant: ResolvedTenant) -> Count:
        """Count a call that an upstream answered."""
        self._find(tenant).served += 1
        return Count(name='tenants.served', attributes=self._label(tenant))

    def count_refused(self, tenant: ResolvedTenant) -> Count:
        """Count a call that was refused because of the cap."""
        self._find(tenant).refused_by_cap += 1
        return Count(
            name='tenants.refused_by_cap', attributes=self._label(tenant)
        )

    def name_largest(self, now: float) -> None:
        """Choose the tenants that are named, by what they requested."""
        if now - self._named_at < NAMING_SECONDS:
            return
        self._named_at = now
        self._named = frozenset(
            heapq.nlargest(MAX_NAMED, self._counts, key=self._sort_key)
        )

    def describe(self) -> dict[str, dict[str, int]]:
        """Return the counts of the largest tenants, and the sum of the rest."""
        largest = heapq.nlargest(MAX_NAMED, self._counts, key=self._sort_key)
        described = {name: self._counts[name].describe() for name in largest}
        rest = TenantCounts()
        for name in self._counts.keys() - set(largest):
            rest.add(self._counts[name])
        if len(self._counts) > len(largest):
            described[OTHERS] = rest.describe()
        return described

    def _find(self, tenant: ResolvedTenant) -> TenantCounts:
        counts = self._counts.get(tenant.title)
        if counts is None:
            counts = TenantCounts()
            self._counts[tenant.title] = counts
            if len(self._named) < MAX_NAMED:
                self._named |= {tenant.title}
        return counts

    def _label(self, tenant: ResolvedTenant) -> tuple[tuple[str, str]]:
        is_named = tenant.title in self._named
        return (('tenant', tenant.title if is_named else OTHERS),)

    def _sort_key(self, name: str) -> tuple[int, str]:
        return self._counts[name].requested, name
