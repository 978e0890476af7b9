"""The live list of instances, as this daemon sees it.

It joins the platform's records with what instances say of themselves.
"""

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain
from typing import Final, final

from briartack.core.configuration.settings import InstanceState
from briartack.core.dissemination.instance_records import (
    HeldRecord,
    InstanceRecords,
    RecordChange,
    Refusal,
    record_id_of,
)
from briartack.core.dissemination.lapses import Lapses
from briartack.core.dissemination.overlay import Member
from briartack.core.entries import Entry, is_instance_key
from briartack.core.units import Digest, Incarnation, InstanceId, Revision

# A list that was read from a copy of the store may be seconds old.
SETTLE_SECONDS: Final = 3.0


@final
class MembershipState:
    """Own the instance records and the marks of instances that said goodbye."""

    __slots__ = (
        '_records',
        '_goodbyes',
        '_lapses',
        '_listed_at',
        '_by_instance',
        '_live',
        '_services',
        '_versions',
    )

    def __init__(self) -> None:
        """Start with an empty list."""
        self._records = InstanceRecords()
        self._goodbyes: dict[InstanceId, Incarnation] = {}
        self._lapses = Lapses()
        self._listed_at: float | None = None
        # Built on demand, since the list is asked for with each call.
        self._by_instance: dict[InstanceId, HeldRecord] | None = None
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

    @property
    def instance_count(self) -> int:
        """Count the live instances."""
        return len(self.live_members())

    def get(self, instance: InstanceId) -> Member | None:
        """Return a listed instance, live or leaving."""
        held = self._present().get(instance)
        return None if held is None else held.member

    def record(self, record_id: str) -> HeldRecord | None:
        """Return what counts under the id of a record, also a deletion."""
        return self._lapses.get(record_id) or self._records.get(record_id)

    def is_leaving(self, instance: InstanceId) -> bool:
        """Tell whether the list or the instance itself says it is leaving."""
        held = self._present().get(instance)
        is_listed_so = held is not None and held.state is InstanceState.LEAVING
        return is_listed_so or instance in self._goodbyes

    def live_members(self) -> tuple[Member, ...]:
        """Return all live instances; the same object until a change."""
        if self._live is None:
            self._live = tuple(
                held.member
                for held in self._present().values()
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
            self._records.get(record_id_of(key))
            for key in keys
            if is_instance_key(key)
        )
        return tuple(held.entry for held in wanted if held is not None)

    def take_refusals(self) -> tuple[Refusal, ...]:
        """Return the records refused since the last call, to be reported."""
        return self._records.take_refusals()

    def expire(self, now: float) -> None:
        """Take the records that have not come back as gone."""
        if self._lapses.expire(now):
            self._forget_views()

    def apply(
        self,
        entries: Iterable[Entry],
        now: float | None = None,
    ) -> frozenset[str]:
        """Merge entries by revision and return the keys that changed.

        With a time, records that end without notice count for a moment more.
        """
        changes = self._records.apply(entries)
        if now is not None:
            self._note_lapses(now, changes)
        for change in changes:
            instance = _has_left(change)
            if instance is not None:
                self._goodbyes.pop(instance, None)
        if changes:
            self._forget_views()
        return frozenset(merged.after.entry.key for merged in changes)

    def apply_full_read(
        self,
        revision: Revision,
        entries: Iterable[Entry],
        now: float | None = None,
    ) -> frozenset[str]:
        """Merge all records at a revision; what is missing was deleted."""
        entries = tuple(entries)
        deletions = self._records.missing_from(revision, entries)
        return self.apply(entries + deletions, now)

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

    def _note_lapses(self, now: float, changes: Iterable[RecordChange]) -> None:
        if self._listed_at is None:
            self._listed_at = now
        # The first list may lag: what it still names may have left long ago.
        if now - self._listed_at >= SETTLE_SECONDS:
            self._lapses.note(now, changes, self.instance_count)

    def _present(self) -> dict[InstanceId, HeldRecord]:
        """Return the record that counts for each listed instance.

        A platform may still list an upstream that has ended beside the one
        that took its place.
        """
        if self._by_instance is None:
            self._by_instance = {}
            for held in chain(self._records, self._lapses):
                if held.member is not None:
                    _keep_newest(self._by_instance, held.member, held)
        return self._by_instance

    def _forget_views(self) -> None:
        self._by_instance = None
        self._live = None
        self._services = {}
        self._versions = None


def _has_left(change: RecordChange) -> InstanceId | None:
    """Return the instance that the platform has seen go, if it has.

    After a deletion, or a live record after a leaving one, what is listed is
    a new start.
    """
    before = change.before
    if before is None or before.member is None:
        is_deletion = change.after.member is None
        key = change.after.entry.key
        return InstanceId(record_id_of(key)) if is_deletion else None
    was_leaving = before.state is InstanceState.LEAVING
    is_over = change.after.member is None or (
        was_leaving and change.after.state is InstanceState.LIVE
    )
    return before.member.instance if is_over else None


def _keep_newest(
    kept: dict[InstanceId, HeldRecord],
    member: Member,
    held: HeldRecord,
) -> None:
    present = kept.get(member.instance)
    if present is None or _preference(present) < _preference(held):
        kept[member.instance] = held


def _preference(held: HeldRecord) -> tuple[bool, Revision]:
    return (held.state is InstanceState.LIVE, held.entry.revision)


def _by_service(members: Iterable[Member]) -> dict[str, tuple[Member, ...]]:
    services: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        services[member.service].append(member)
    return {service: tuple(group) for service, group in services.items()}
