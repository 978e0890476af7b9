"""Versioned instance records from the platform's list of instances.

`MembershipState` derives the live list from these records. Deletions are kept
as tombstones, so that a late answer cannot undo them.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final, final

import msgspec

from briartack.core.configuration.settings import InstanceRecord, InstanceState
from briartack.core.dissemination.overlay import Member
from briartack.core.entries import (
    INSTANCE_PREFIX,
    Entry,
    have_same_writer,
    is_instance_key,
    is_later_version,
)
from briartack.core.json_decoding import MalformedJsonError, decode_json
from briartack.core.units import (
    NO_REVISION,
    Digest,
    InstanceId,
    Revision,
    era_of,
)

DIGEST_BYTES: Final = 16

_DECODER: Final = msgspec.json.Decoder(InstanceRecord)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordRefusal:
    """Identify a refused version of a record, with the reason."""

    key: str
    revision: Revision
    reason: str


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class HeldRecord:
    """Hold a version of a record; a deletion has neither member nor state."""

    entry: Entry
    member: Member | None = None
    state: InstanceState | None = None
    started_ms: int | None = None


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class RecordChange:
    """Hold the versions of a record before and after a merge of an entry."""

    before: HeldRecord | None
    after: HeldRecord


def record_id_of(key: str) -> str:
    """Return the record id that a key under `instances/` contains."""
    return key.removeprefix(INSTANCE_PREFIX)


@final
class InstanceRecords:
    """Hold the instance records, merged by revision.

    Holds the newest version of each record, a digest of the records that are
    not deleted, and the refused versions that have not been reported yet.
    """

    __slots__ = ('_held', '_highest', '_digest', '_refusals')

    def __init__(self) -> None:
        self._held: dict[str, HeldRecord] = {}
        self._highest = NO_REVISION
        self._digest = 0
        self._refusals: list[RecordRefusal] = []

    @property
    def highest(self) -> Revision:
        """Return the highest revision of all records, deletions included."""
        return self._highest

    @property
    def digest(self) -> Digest:
        """Return a digest of all records that are not deleted.

        Deletions are left out, because a daemon that has just read the list
        knows no deletions although it holds the same list.
        """
        return Digest(self._digest.to_bytes(DIGEST_BYTES))

    def __iter__(self) -> Iterator[HeldRecord]:
        """Iterate over all records, deletions included."""
        return iter(self._held.values())

    def get(self, record_id: str) -> HeldRecord | None:
        """Return the record with an id, which may be a deletion."""
        return self._held.get(record_id)

    def take_refusals(self) -> tuple[RecordRefusal, ...]:
        """Return the versions refused since the last call and clear them."""
        refusals = tuple(self._refusals)
        self._refusals.clear()
        return refusals

    def apply(self, entries: Iterable[Entry]) -> tuple[RecordChange, ...]:
        """Merge the entries under `instances/` and return the changes."""
        changes = (
            self._apply_entry(entry)
            for entry in entries
            if is_instance_key(entry.key)
        )
        return tuple(change for change in changes if change is not None)

    def implied_deletions(
        self,
        revision: Revision,
        entries: Iterable[Entry],
    ) -> tuple[Entry, ...]:
        """Return the deletions that a full read at a revision implies."""
        present = {entry.key for entry in entries}
        return tuple(
            Entry(key=held.entry.key, revision=revision, value=None)
            for held in self
            if held.member is not None
            and held.entry.revision <= revision
            and held.entry.key not in present
        )

    def _apply_entry(self, entry: Entry) -> RecordChange | None:
        record_id = record_id_of(entry.key)
        before = self._held.get(record_id)
        if before is not None and not _is_newer(entry, before.entry):
            return None
        entry = _keep_stated_order(entry, before)
        try:
            after = _decode(record_id, entry)
        except MalformedJsonError as error:
            self._refuse(entry, str(error))
            return None
        self._replace(record_id, before, after)
        return RecordChange(before=before, after=after)

    def _refuse(self, entry: Entry, reason: str) -> None:
        self._refusals.append(
            RecordRefusal(
                key=entry.key, revision=entry.revision, reason=reason
            ),
        )

    def _replace(
        self,
        record_id: str,
        before: HeldRecord | None,
        after: HeldRecord,
    ) -> None:
        for held in (before, after):
            if held is not None and held.member is not None:
                self._digest ^= _version_hash(held.entry)
        self._held[record_id] = after
        self._highest = max(self._highest, after.entry.revision)


def _decode(record_id: str, entry: Entry) -> HeldRecord:
    if entry.value is None:
        return HeldRecord(entry=entry)
    record = decode_json(entry.value, _DECODER)
    member = Member(
        instance=InstanceId(record.instance or record_id),
        service=record.service,
        data_centre=record.data_centre,
        region=record.region,
        peer_address=record.peer_address,
        slots=record.slots,
        cold_ms=record.cold_ms,
    )
    return HeldRecord(
        entry=entry,
        member=member,
        state=record.state,
        started_ms=record.started_ms,
    )


def _is_newer(entry: Entry, held: Entry) -> bool:
    if entry.value is not None and held.value is None:
        return _has_returned(entry, held)
    if entry.value is None and held.value is not None:
        return not _has_returned(held, entry)
    return is_later_version(entry, held)


def _has_returned(record: Entry, deletion: Entry) -> bool:
    """Return whether a record comes after a deletion.

    A deletion that a full read implies has the revision of the read, which may
    equal that of the record. A record of a later era than the deletion may be
    one that a restored store repeats.
    """
    is_later = record.revision > deletion.revision
    if era_of(record.revision) == era_of(deletion.revision):
        return is_later
    if is_later and have_same_writer(record.stated, deletion.stated):
        return record.stated > deletion.stated
    return is_later


def _keep_stated_order(entry: Entry, before: HeldRecord | None) -> Entry:
    """Return a deletion with the order that the deleted record states."""
    if entry.value is not None or entry.stated or before is None:
        return entry
    return msgspec.structs.replace(entry, stated=before.entry.stated)


def _version_hash(entry: Entry) -> int:
    text = f'{entry.revision} {entry.key}'.encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest())
