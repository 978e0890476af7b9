"""Which daemon holds the token bucket of a tenant."""

from typing import final

from briartack.core.calls.call_context import Member
from briartack.core.rendezvous import rank
from briartack.core.units import InstanceId


@final
class HolderTable:
    """Rank the live instances for each tenant, by rendezvous hash.

    Holders are computed for the tenants that are asked for. A change of the
    list costs one hash for each of these and each added instance, since the
    ranks of all instances would take milliseconds for a tenant in a large
    fleet.
    """

    __slots__ = ('_listed', '_members', '_changed_at', '_holders')

    def __init__(self) -> None:
        self._listed: tuple[Member, ...] = ()
        self._members: dict[InstanceId, Member] = {}
        self._changed_at = float('inf')
        self._holders: dict[str, tuple[int, InstanceId]] = {}

    @property
    def changed_at(self) -> float:
        """Return when the set of instances last changed.

        A tenant's holder has been the same at least since then.
        """
        return self._changed_at

    @property
    def instance_count(self) -> int:
        """Return the number of instances."""
        return len(self._members)

    def update(self, now: float, listed: tuple[Member, ...]) -> bool:
        """Take over the live list; return whether its instances changed.

        The same tuple object stands for an unchanged list.
        """
        if listed is self._listed:
            return False
        self._listed = listed
        before = self._members
        self._members = {member.instance: member for member in listed}
        added = self._members.keys() - before.keys()
        if not added and len(before) == len(self._members):
            return False
        self._changed_at = now
        self._holders = {
            tenant: min(
                (holder, *(_rank(tenant, instance) for instance in added))
            )
            for tenant, holder in self._holders.items()
            if holder[1] in self._members
        }
        return True

    def find(self, tenant: str) -> Member | None:
        """Return the first instance for a tenant; `None` for an empty list."""
        holder = self._holders.get(tenant)
        if holder is None:
            if not self._members:
                return None
            holder = min(_rank(tenant, instance) for instance in self._members)
            self._holders[tenant] = holder
        return self._members[holder[1]]

    def find_position(self, tenant: str, instance: InstanceId) -> int | None:
        """Return how many instances precede one, `None` if it is not listed."""
        if instance not in self._members:
            return None
        own = _rank(tenant, instance)
        return sum(_rank(tenant, other) < own for other in self._members)


def _rank(tenant: str, instance: InstanceId) -> tuple[int, InstanceId]:
    return rank(f'cap {tenant}', instance), instance
