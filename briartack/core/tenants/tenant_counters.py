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
REQUESTED: Final = 'requested'
SERVED: Final = 'served'
REFUSED: Final = 'refused_by_cap'


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
            REQUESTED: self.requested,
            SERVED: self.served,
            REFUSED: self.refused_by_cap,
        }


@final
class TenantCounters:
    """Count the calls of all tenants, and name the largest ones."""

    __slots__ = ('_counts', '_named', '_named_at')

    def __init__(self) -> None:
        self._counts: dict[str, TenantCounts] = {}
        self._named: frozenset[str] = frozenset()
        self._named_at = float('-inf')

    def count(self, tenant: ResolvedTenant, kind: str) -> Count:
        """Count a call and return the effect for the metric.

        `kind` is one of the names of the counts.
        """
        counts = self._counts.get(tenant.title)
        if counts is None:
            counts = self._counts.setdefault(tenant.title, TenantCounts())
            if len(self._named) < MAX_NAMED:
                self._named |= {tenant.title}
        setattr(counts, kind, getattr(counts, kind) + 1)
        label = tenant.title if tenant.title in self._named else OTHERS
        return Count(name=f'tenants.{kind}', attributes=(('tenant', label),))

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

    def _sort_key(self, name: str) -> tuple[int, str]:
        return self._counts[name].requested, name
