"""Which daemon holds the token bucket of a tenant."""

from collections import deque
from typing import Final, final

from briartack.core.calls.call_context import Member
from briartack.core.rendezvous import rank
from briartack.core.units import InstanceId

# Removed instances that are remembered. With more removals, a bucket that is
# used for the first time begins empty at the time of the oldest.
MAX_REMOVED: Final = 256


@final
class HolderTable:
    """Rank the live instances for each tenant, by rendezvous hash.

    Holders are computed for the tenants that are asked for. A change of the
    list costs one hash for each of these and each added instance, since the
    ranks of all instances would take milliseconds for a tenant in a large
    fleet. `regions` are those of the listed instances.
    """

    __slots__ = (
        '_listed',
        '_members',
        '_added_at',
        '_removed',
        '_holders',
        '_positions',
        'regions',
    )

    def __init__(self) -> None:
        self._listed: tuple[Member, ...] = ()
        self._members: dict[InstanceId, Member] = {}
        self._added_at: dict[InstanceId, float] = {}
        self._removed: deque[tuple[float, InstanceId]] = deque(
            maxlen=MAX_REMOVED
        )
        self._holders: dict[str, tuple[int, InstanceId]] = {}
        self._positions: dict[str, int | None] = {}
        self.regions: frozenset[str] = frozenset()

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
        self._positions.clear()
        self.regions = frozenset(member.region for member in listed)
        # Sorted, because the order of a set differs between processes.
        for gone in sorted(before.keys() - self._members.keys()):
            self._added_at.pop(gone)
            self._removed.append((now, gone))
        self._added_at.update(dict.fromkeys(added, now))
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

    def find_start(self, tenant: str, instance: InstanceId) -> float:
        """Return since when an instance has been the present holder, at least.

        That is since it was listed, and since the last one before it left.
        """
        own = _rank(tenant, instance)
        times = [
            removed_at
            for removed_at, other in self._removed
            if _rank(tenant, other) < own
        ]
        if len(self._removed) == MAX_REMOVED:
            times.append(self._removed[0][0])
        return max((self._added_at[instance], *times))

    def find_position(self, tenant: str, instance: InstanceId) -> int | None:
        """Return how many instances precede one, `None` if it is not listed.

        The same instance is asked for each time.
        """
        if tenant not in self._positions:
            self._positions[tenant] = self._compute_position(tenant, instance)
        return self._positions[tenant]

    def _compute_position(
        self, tenant: str, instance: InstanceId
    ) -> int | None:
        if instance not in self._members:
            return None
        own = _rank(tenant, instance)
        return sum(_rank(tenant, other) < own for other in self._members)


def _rank(tenant: str, instance: InstanceId) -> tuple[int, InstanceId]:
    return rank(f'cap {tenant}', instance), instance
