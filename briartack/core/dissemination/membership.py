"""List of live instances, as this daemon sees it.

The list combines the platform's records with the goodbye and hello messages of
the instances themselves.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable
from functools import partial
from itertools import chain
from typing import TypeAlias, final

from briartack.core.configuration.settings import InstanceState
from briartack.core.dissemination.instance_records import (
    HeldRecord,
    InstanceRecords,
    RecordChange,
    RecordRefusal,
    record_id_of,
)
from briartack.core.dissemination.lapsed_records import LapsedRecords
from briartack.core.dissemination.leaving_upstreams import (
    LeavingUpstreams,
    UpstreamStart,
)
from briartack.core.dissemination.overlay import Member
from briartack.core.entries import Entry, KeyVersion, is_instance_key
from briartack.core.units import Digest, Incarnation, InstanceId, Revision

# Whether the configuration names the service, whether neither the record nor
# its upstream says leaving, and the revision.
_Preference: TypeAlias = tuple[bool, bool, Revision]


@final
class MembershipState:  # noqa: WPS214
    """Track which instances are listed, live, leaving or lapsed.

    Holds the instance records, the instances that said goodbye with their
    incarnation, the upstreams that said that they leave, the lapsed records,
    and caches derived from them.
    """

    __slots__ = (
        '_records',
        '_departed',
        '_lapsed',
        '_leaving_upstreams',
        '_named_services',
        '_record_by_instance',
        '_live_members',
        '_services',
        '_cached_versions',
    )

    def __init__(self) -> None:
        self._records = InstanceRecords()
        self._departed: dict[InstanceId, Incarnation] = {}
        self._lapsed = LapsedRecords()
        self._leaving_upstreams = LeavingUpstreams()
        self._named_services: frozenset[str] = frozenset()
        # Caches, built on demand because each call reads the list.
        self._record_by_instance: dict[InstanceId, HeldRecord] | None = None
        self._live_members: tuple[Member, ...] | None = None
        self._services: dict[str, tuple[Member, ...]] = {}
        self._cached_versions: dict[str, KeyVersion] | None = None

    @property
    def highest(self) -> Revision:
        """Return the highest revision of all records, deletions included."""
        return self._records.highest

    @property
    def digest(self) -> Digest:
        """Return a digest of all records that are not deleted."""
        return self._records.digest

    @property
    def departed_instances(self) -> tuple[InstanceId, ...]:
        """Return the instances that said goodbye and have not restarted."""
        return tuple(self._departed)

    @property
    def instance_count(self) -> int:
        """Return the number of live instances."""
        return len(self.live_members())

    def get(self, instance: InstanceId) -> Member | None:
        """Return a listed instance, which may be live or leaving."""
        held = self._preferred_records().get(instance)
        return None if held is None else held.member

    def name_services(self, services: Iterable[str]) -> None:
        """Set the services that the configuration names.

        A record of any other service hides no record of these.
        """
        named = frozenset(services)
        if named != self._named_services:
            self._named_services = named
            self._clear_caches()

    def find_record(self, record_id: str) -> HeldRecord | None:
        """Return the record in force under an id, which may be a deletion."""
        return self._lapsed.get(record_id) or self._records.get(record_id)

    def find_upstream(self, record_id: str) -> Member | None:
        """Return what the record of an upstream says, `None` without one."""
        held = self.find_record(record_id)
        return None if held is None else held.member

    def is_upstream_leaving(self, record_id: str) -> bool:
        """Return whether an upstream leaves or its record was deleted."""
        held = self.find_record(record_id)
        if held is not None and held.state is not InstanceState.LIVE:
            return True
        return record_id in self._leaving_upstreams

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether the instance or its upstream is about to stop.

        The list, a goodbye or the upstream itself may say so.
        """
        held = self._preferred_records().get(instance)
        is_record_leaving = held is not None and not _is_staying(
            held, self._leaving_upstreams
        )
        return is_record_leaving or instance in self._departed

    def live_members(self) -> tuple[Member, ...]:
        """Return all live instances, as the same object until a change."""
        if self._live_members is None:
            self._live_members = tuple(
                held.member
                for held in self._preferred_records().values()
                if held.member is not None
                and not self.is_leaving(held.member.instance)
            )
        return self._live_members

    def live_members_of(self, service: str) -> tuple[Member, ...]:
        """Return the live instances of a service."""
        if not self._services:
            self._services = _group_by_service(self.live_members())
        return self._services.get(service, ())

    def versions(self) -> dict[str, KeyVersion]:
        """Return the version of each key, deletions included.

        The result is the same object until a change.
        """
        if self._cached_versions is None:
            self._cached_versions = {
                held.entry.key: KeyVersion(
                    revision=held.entry.revision, stated=held.entry.stated
                )
                for held in self._records
            }
        return self._cached_versions

    def entries_after(self, revision: Revision) -> tuple[Entry, ...]:
        """Return the entries above a revision, ordered by revision."""
        above = (
            held.entry
            for held in self._records
            if held.entry.revision > revision
        )
        return tuple(sorted(above, key=lambda entry: entry.revision))

    def entries_for(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Return the held entries of the given keys."""
        wanted = (
            self._records.get(record_id_of(key))
            for key in keys
            if is_instance_key(key)
        )
        return tuple(held.entry for held in wanted if held is not None)

    def take_refusals(self) -> tuple[RecordRefusal, ...]:
        """Return the versions refused since the last call and clear them."""
        return self._records.take_refusals()

    def expire(self, now: float) -> None:
        """Remove the lapsed records whose grace period is over."""
        if self._lapsed.expire(now):
            self._clear_caches()

    def apply(
        self,
        entries: Iterable[Entry],
        now: float | None = None,
        *,
        is_after_outage: bool = False,
    ) -> frozenset[str]:
        """Merge entries by revision and return the keys that changed.

        If `now` is given, records deleted without a leaving notice count as
        listed for a grace period, which is longer for many records that are
        deleted together after an outage of the store.
        """
        changes = self._records.apply(entries)
        if now is not None:
            self._lapsed.record_changes(
                now,
                changes,
                self.instance_count,
                is_after_outage=is_after_outage,
            )
        for change in changes:
            self._leaving_upstreams.apply(change)
            instance = _departed_instance(change)
            if instance is not None:
                self._departed.pop(instance, None)
        if changes:
            self._clear_caches()
        return frozenset(merged.after.entry.key for merged in changes)

    def apply_full_read(
        self,
        revision: Revision,
        entries: Iterable[Entry],
        now: float | None = None,
        *,
        is_after_outage: bool = False,
    ) -> frozenset[str]:
        """Merge a full read at a revision; missing records count as deleted."""
        entries = tuple(entries)
        deletions = self._records.implied_deletions(revision, entries)
        return self.apply(
            entries + deletions, now, is_after_outage=is_after_outage
        )

    def mark_upstream_leaving(
        self, start: UpstreamStart
    ) -> UpstreamStart | None:
        """Record that an upstream says that it leaves.

        Return its start, or `None` if that is known or if the list has another
        start of the upstream.
        """
        held = self._records.get(start.record_id)
        listed_ms = None if held is None else held.started_ms
        if start.started_ms is None:
            start = start._replace(started_ms=listed_ms)
        if listed_ms not in {None, start.started_ms}:
            return None
        if not self._leaving_upstreams.add(start):
            return None
        self._clear_caches()
        return start

    def mark_leaving(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        """Record the goodbye of an instance."""
        self._departed[instance] = incarnation
        self._clear_caches()

    def record_incarnation(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        """Record the incarnation in a hello message of an instance.

        An incarnation other than that of the goodbye is a restart, which
        cancels the goodbye.
        """
        if self._departed.get(instance, incarnation) != incarnation:
            self._departed.pop(instance)
            self._clear_caches()

    def _preferred_records(self) -> dict[InstanceId, HeldRecord]:
        """Return the record in force for each listed instance.

        Several records may name the same instance, because a platform may
        still list an upstream that has ended beside its replacement, and
        another writer may have written one of them. Records of services that
        the configuration names take precedence, then live records, then those
        of a higher revision.
        """
        if self._record_by_instance is None:
            self._record_by_instance = {}
            preference = partial(
                _preference,
                leaving=self._leaving_upstreams,
                named_services=self._named_services,
            )
            for held in chain(self._records, self._lapsed):
                if held.member is not None:
                    _keep_preferred(
                        self._record_by_instance, held.member, held, preference
                    )
        return self._record_by_instance

    def _clear_caches(self) -> None:
        self._record_by_instance = None
        self._live_members = None
        self._services = {}
        self._cached_versions = None


def _departed_instance(change: RecordChange) -> InstanceId | None:
    """Return the instance whose departure a change shows, if any.

    A deletion shows the departure, and so does a live record after a leaving
    one: an instance that is listed after either has been started anew.
    """
    before = change.before
    if before is None or before.member is None:
        is_deletion = change.after.member is None
        key = change.after.entry.key
        return InstanceId(record_id_of(key)) if is_deletion else None
    was_leaving = before.state is InstanceState.LEAVING
    has_departed = change.after.member is None or (
        was_leaving and change.after.state is InstanceState.LIVE
    )
    return before.member.instance if has_departed else None


def _keep_preferred(
    kept: dict[InstanceId, HeldRecord],
    member: Member,
    held: HeldRecord,
    preference: Callable[[HeldRecord], _Preference],
) -> None:
    present = kept.get(member.instance)
    if present is None or preference(present) < preference(held):
        kept[member.instance] = held


def _preference(
    held: HeldRecord,
    *,
    leaving: LeavingUpstreams,
    named_services: frozenset[str],
) -> _Preference:
    is_named = held.member is not None and held.member.service in named_services
    return (is_named, _is_staying(held, leaving), held.entry.revision)


def _is_staying(held: HeldRecord, leaving: LeavingUpstreams) -> bool:
    """Return whether neither the record nor its upstream says leaving."""
    is_live = held.state is InstanceState.LIVE
    return is_live and record_id_of(held.entry.key) not in leaving


def _group_by_service(
    members: Iterable[Member],
) -> dict[str, tuple[Member, ...]]:
    services: defaultdict[str, list[Member]] = defaultdict(list)
    for member in members:
        services[member.service].append(member)
    return {service: tuple(group) for service, group in services.items()}
