"""The live list of instances, as this daemon sees it.

It joins the platform's records with what instances say of themselves.
"""

from collections import defaultdict
from collections.abc import Iterable
from typing import final

from briartack.core.configuration.settings import InstanceState
from briartack.core.dissemination.instance_records import (
    InstanceRecords,
    RecordChange,
    Refusal,
    instance_of,
)
from briartack.core.dissemination.overlay import Member
from briartack.core.entries import Entry, is_instance_key
from briartack.core.units import Digest, Incarnation, InstanceId, Revision


@final
class MembershipState:
    """Own the instance records and the marks of instances that said goodbye."""

    __slots__ = ('_records', '_goodbyes', '_live', '_services', '_versions')

    def __init__(self) -> None:
        """Start with an empty list."""
        self._records = InstanceRecords()
        self._goodbyes: dict[InstanceId, Incarnation] = {}
        # Built on demand, since the list is asked for with each call.
        self._live: tuple[Member, ...] | None = None
        self._services: dict[str, tuple[Member, ...]] = {}
        self._versions: dict[str, Revision] | None = None

    @property
    def highest(self) -> Revision:
        """Return the highest revision held, deletions included."""
        return self._records.highest

    @property
    def digest(self) -> Digest:
        """Return a digest of all records that are not deleted."""
        return self._records.digest

    @property
    def leaving_marks(self) -> tuple[InstanceId, ...]:
        """Return the instances that said goodbye and have not returned."""
        return tuple(self._goodbyes)

    def get(self, instance: InstanceId) -> Member | None:
        """Return a listed instance, live or leaving."""
        held = self._records.get(instance)
        return None if held is None else held.member

    def is_leaving(self, instance: InstanceId) -> bool:
        """Tell whether the list or the instance itself says it is leaving."""
        held = self._records.get(instance)
        is_listed_so = held is not None and held.state is InstanceState.LEAVING
        return is_listed_so or instance in self._goodbyes

    def live_members(self) -> tuple[Member, ...]:
        """Return all live instances; the same object until a change."""
        if self._live is None:
            self._live = tuple(
                held.member
                for held in self._records
                if held.member is not None
                and not self.is_leaving(held.member.instance)
            )
        return self._live

    def of_service(self, service: str) -> tuple[Member, ...]:
        """Return the live instances of a service."""
        if not self._services:
            self._services = _by_service(self.live_members())
        return self._services.get(service, ())

    def versions(self) -> dict[str, Revision]:
        """Return the revision of each key, deletions included.

        The same object until a change.
        """
        if self._versions is None:
            self._versions = {
                held.entry.key: held.entry.revision for held in self._records
            }
        return self._versions

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Return the entries above a revision in order of revision."""
        above = (
            held.entry
            for held in self._records
            if held.entry.revision > revision
        )
        return tuple(sorted(above, key=lambda entry: entry.revision))

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the entries of the given keys, as far as they are held."""
        wanted = (
            self._records.get(instance_of(key))
            for key in keys
            if is_instance_key(key)
        )
        return tuple(held.entry for held in wanted if held is not None)

    def take_refusals(self) -> tuple[Refusal, ...]:
        """Return the records refused since the last call, to be reported."""
        return self._records.take_refusals()

    def apply(self, entries: Iterable[Entry]) -> frozenset[str]:
        """Merge entries by revision and return the keys that changed."""
        changes = self._records.apply(entries)
        for change in changes:
            if _has_left(change):
                self._goodbyes.pop(change.instance, None)
        if changes:
            self._forget_views()
        return frozenset(merged.after.entry.key for merged in changes)

    def apply_full_read(
        self,
        revision: Revision,
        entries: Iterable[Entry],
    ) -> frozenset[str]:
        """Merge all records at a revision; what is missing was deleted."""
        entries = tuple(entries)
        deletions = self._records.missing_from(revision, entries)
        return self.apply(entries + deletions)

    def mark_leaving(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        """Note the goodbye of an instance."""
        self._goodbyes[instance] = incarnation
        self._forget_views()

    def note_incarnation(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        """Note a hello; another incarnation ends the mark of a goodbye."""
        if self._goodbyes.get(instance, incarnation) != incarnation:
            self._goodbyes.pop(instance)
            self._forget_views()

    def _forget_views(self) -> None:
        self._live = None
        self._services = {}
        self._versions = None


def _has_left(change: RecordChange) -> bool:
    # A deletion, or a live record after a leaving one, means that the
    # platform has seen the instance go; what is listed later is a new one.
    if change.after.member is None:
        return True
    was_leaving = (
        change.before is not None
        and change.before.state is InstanceState.LEAVING
    )
    return was_leaving and change.after.state is InstanceState.LIVE


def _by_service(members: Iterable[Member]) -> dict[str, tuple[Member, ...]]:
    services: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        services[member.service].append(member)
    return {service: tuple(group) for service, group in services.items()}
