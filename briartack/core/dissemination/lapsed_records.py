"""Records of instances that were deleted without a leaving notice.

A lapsed record counts as listed for a grace period. The period is longer if
many records lapse together after an outage of the store, because then the
instances could not renew their records.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final, final

from briartack.core.configuration.settings import InstanceState
from briartack.core.dissemination.instance_records import (
    HeldRecord,
    RecordChange,
    record_id_of,
)

# An upstream that leaves must get no more calls 2 s after the store has
# accepted its departure.
LAPSE_GRACE_SECONDS: Final = 1.0
# Live upstreams are listed again within this time after the store is back.
MASS_LAPSE_GRACE_SECONDS: Final = 2.5
# The first list may be read from a replica of the store that lags by seconds.
FIRST_LIST_SETTLE_SECONDS: Final = 3.0
MASS_LAPSE_RATIO: Final = 0.3  # of the live instances
MIN_MASS_LAPSE_RECORDS: Final = 3
# Records that lapse within this time lapse together: a store that is back tells
# of all of them in one or two answers.
MASS_LAPSE_SECONDS: Final = 0.3


@final
@dataclass(slots=True, kw_only=True)
class _LapsedRecord:
    """Hold a deleted record and the end of its grace period."""

    held: HeldRecord
    since: float
    until: float


@final
class LapsedRecords:
    """Hold the lapsed records in their grace period, by record id."""

    __slots__ = ('_lapsed', '_first_listed_at')

    def __init__(self) -> None:
        self._lapsed: dict[str, _LapsedRecord] = {}
        self._first_listed_at: float | None = None

    def __iter__(self) -> Iterator[HeldRecord]:
        """Iterate over the records in their grace period."""
        return (lapse.held for lapse in self._lapsed.values())

    def get(self, record_id: str) -> HeldRecord | None:
        """Return the record with an id if it is in its grace period."""
        lapse = self._lapsed.get(record_id)
        return None if lapse is None else lapse.held

    def record_changes(
        self,
        now: float,
        changes: Iterable[RecordChange],
        listed_count: int,
        *,
        is_after_outage: bool,
    ) -> None:
        """Add the records that lapsed and drop those that are listed again.

        `listed_count` is the number of live instances; after an outage, a mass
        lapse relative to it extends the grace period of the records that
        lapsed together.

        The first list may lag: instances in it may have left long ago, so
        their deletions get no grace period.
        """
        if self._first_listed_at is None:
            self._first_listed_at = now
        if now - self._first_listed_at < FIRST_LIST_SETTLE_SECONDS:
            return
        for change in changes:
            record_id = record_id_of(change.after.entry.key)
            self._lapsed.pop(record_id, None)
            before = change.before
            if change.after.member is not None or before is None:
                continue
            if before.state is InstanceState.LIVE:
                until = now + LAPSE_GRACE_SECONDS
                self._lapsed[record_id] = _LapsedRecord(
                    held=before, since=now, until=until
                )
        if is_after_outage:
            self._extend_mass_lapse(now, listed_count)

    def expire(self, now: float) -> bool:
        """Remove records after their grace period; return whether any were."""
        over = [
            record_id
            for record_id, lapse in self._lapsed.items()
            if now >= lapse.until
        ]
        for record_id in over:
            self._lapsed.pop(record_id)
        return bool(over)

    def _extend_mass_lapse(self, now: float, listed_count: int) -> None:
        together = [
            lapse
            for lapse in self._lapsed.values()
            if now - lapse.since <= MASS_LAPSE_SECONDS
        ]
        if len(together) >= max(
            MIN_MASS_LAPSE_RECORDS, listed_count * MASS_LAPSE_RATIO
        ):
            until = now + MASS_LAPSE_GRACE_SECONDS
            for lapse in together:
                lapse.until = max(lapse.until, until)
