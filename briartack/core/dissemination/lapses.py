"""Records of instances that were deleted without notice.

They count for a moment more: where many lapse together, the store has been
away rather than the instances.
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

# Upstreams that leave have to be left alone 2 s after the store has accepted
# it.
LAPSE_SECONDS: Final = 1.0
# Upstreams that live are back this long after the store's return.
RETURN_SECONDS: Final = 2.5
MASS_LAPSE: Final = 0.3  # of the live list
MIN_MASS_LAPSE: Final = 3


@final
@dataclass(slots=True, kw_only=True)
class _Lapse:
    """Hold a record that was deleted, and until when it still counts."""

    held: HeldRecord
    until: float


@final
class Lapses:
    """Own the records that lapsed a moment ago."""

    __slots__ = ('_lapses',)

    def __init__(self) -> None:
        """Start without records."""
        self._lapses: dict[str, _Lapse] = {}

    def __iter__(self) -> Iterator[HeldRecord]:
        """Iterate over the records that still count."""
        return (lapse.held for lapse in self._lapses.values())

    def get(self, record_id: str) -> HeldRecord | None:
        """Return a record that still counts."""
        lapse = self._lapses.get(record_id)
        return None if lapse is None else lapse.held

    def note(
        self,
        now: float,
        changes: Iterable[RecordChange],
        listed: int,
    ) -> None:
        """Keep what lapsed of a list of some size; forget what is back."""
        for change in changes:
            record_id = record_id_of(change.after.entry.key)
            self._lapses.pop(record_id, None)
            before = change.before
            if change.after.member is not None or before is None:
                continue
            if before.state is InstanceState.LIVE:
                until = now + LAPSE_SECONDS
                self._lapses[record_id] = _Lapse(held=before, until=until)
        if len(self._lapses) >= max(MIN_MASS_LAPSE, listed * MASS_LAPSE):
            until = now + RETURN_SECONDS
            for lapse in self._lapses.values():
                lapse.until = max(lapse.until, until)

    def expire(self, now: float) -> bool:
        """Take records as gone that are not back; tell whether there were."""
        over = [
            record_id
            for record_id, lapse in self._lapses.items()
            if now >= lapse.until
        ]
        for record_id in over:
            self._lapses.pop(record_id)
        return bool(over)
