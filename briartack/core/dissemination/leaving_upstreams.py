"""Upstreams that have said that they leave, before the list says so or without.

An upstream is named by the id of its record and by the time of its start,
because a platform may list the next start under the same id.
"""

from typing import Final, NamedTuple, final

from briartack.core.configuration.settings import InstanceState
from briartack.core.dissemination.instance_records import (
    RecordChange,
    record_id_of,
)

# Far more than the instances that leave while their records are still held.
MAX_UPSTREAMS: Final = 4096


@final
class UpstreamStart(NamedTuple):
    """Identify one start of an upstream; `None` if its time is unknown."""

    record_id: str
    started_ms: int | None = None


@final
class LeavingUpstreams:
    """Hold the start of each upstream that has said that it leaves."""

    __slots__ = ('_starts',)

    def __init__(self) -> None:
        self._starts: dict[str, int | None] = {}  # times by record id

    def __contains__(self, record_id: str) -> bool:
        """Return whether the upstream with a record id leaves."""
        return record_id in self._starts

    def add(self, start: UpstreamStart) -> bool:
        """Add an upstream; return whether it is new."""
        if start.record_id in self._starts:
            return False
        if len(self._starts) >= MAX_UPSTREAMS:
            self._starts.pop(next(iter(self._starts)))
        self._starts[start.record_id] = start.started_ms
        return True

    def apply(self, change: RecordChange) -> None:
        """Remove an upstream if its record shows another start."""
        record_id = record_id_of(change.after.entry.key)
        if record_id in self._starts and self._is_new_start(record_id, change):
            self._starts.pop(record_id)

    def _is_new_start(self, record_id: str, change: RecordChange) -> bool:
        after = change.after
        if after.state is not InstanceState.LIVE:
            return False
        known_ms = self._starts[record_id]
        if known_ms is not None and after.started_ms is not None:
            return after.started_ms != known_ms
        if change.before is None:
            self._starts[record_id] = after.started_ms
            return False
        return change.before.state is not InstanceState.LIVE
