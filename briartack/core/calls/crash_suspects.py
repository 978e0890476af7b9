"""Requests that are suspected to crash their upstreams.

An upstream that ends is evidence against each request that it was running. A
request under which several upstreams have ended, and that has completed at
none since, is refused for a time. All daemons exchange the evidence.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from itertools import islice
from typing import Final, final

from briartack.core.calls.fingerprint import (
    END_ID_BYTES,
    FINGERPRINT_BYTES,
    Fingerprint,
)
from briartack.core.effects import Count, Effects, LogLevel, WriteLog
from briartack.core.messages import CrashEvidence

# One end alone says little: every request that ran beside the cause has it.
MIN_ENDS: Final = 2
MAX_ENDS: Final = 8
MAX_SUSPECTS: Final = 1024
# About 2 KB in a message.
MAX_RECORDS: Final = 64
MAX_STANDING_RECORDS: Final = 32
# A suspect is refused for this time after its second end, and for four times
# as long after each further one.
REFUSAL_SECONDS: Final = 30.0
REFUSAL_FACTOR: Final = 4.0
MAX_REFUSAL_SECONDS: Final = 3600.0
# Evidence is kept for this time after the latest end or the refusal.
RETENTION_SECONDS: Final = 60.0


@final
@dataclass(slots=True)
class _Suspect:
    """Hold the ends of upstreams at which one request was running."""

    last_end_at: float
    ends: set[bytes] = field(default_factory=set)
    cleared: set[bytes] = field(default_factory=set)

    @property
    def counted_ends(self) -> int:
        return len(self.ends - self.cleared)

    def refused_seconds(self, now: float) -> float:
        """Return for how long the request is refused, 0 if it is not."""
        return max(float(0), self.last_end_at + self._refusal_span() - now)

    def has_expired(self, now: float) -> bool:
        """Return whether the evidence is too old to be kept."""
        age = now - self.last_end_at
        return age >= self._refusal_span() + RETENTION_SECONDS

    def _refusal_span(self) -> float:
        """Return the seconds after the latest end that are refused."""
        further_ends = self.counted_ends - MIN_ENDS
        if further_ends < 0:
            return 0
        return min(
            REFUSAL_SECONDS * REFUSAL_FACTOR**further_ends, MAX_REFUSAL_SECONDS
        )


@final
class CrashSuspects:
    """Hold the evidence against requests, by fingerprint, and its changes."""

    __slots__ = (
        '_suspects',
        '_changed',
        '_learned',
        '_is_urgent',
        '_has_grown',
        '_has_completed',
    )

    def __init__(
        self,
        *,
        has_completed: Callable[[Fingerprint, float], bool] = (
            lambda fingerprint, ended_at: False
        ),
    ) -> None:
        """Start without evidence.

        `has_completed` tells whether the local upstream completed a request
        shortly before an end of another one or since.
        """
        self._has_completed = has_completed
        # The entry that changed last is at the end.
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._changed: dict[Fingerprint, None] = {}
        # What peers told and not all others may know.
        self._learned: dict[Fingerprint, None] = {}
        self._is_urgent = False
        self._has_grown = False

    def __len__(self) -> int:
        """Return the number of fingerprints with evidence."""
        return len(self._suspects)

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request must not be sent to an upstream now."""
        return self.refused_seconds(fingerprint, now) > 0

    def refused_seconds(self, fingerprint: Fingerprint, now: float) -> float:
        """Return for how long a request is refused, 0 if it is not."""
        suspect = self._suspects.get(fingerprint)
        return 0 if suspect is None else suspect.refused_seconds(now)

    def has_evidence(self, fingerprint: Fingerprint) -> bool:
        """Return whether an upstream has ended while it ran a request."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.counted_ends > 0

    def record_end(
        self, now: float, end_id: bytes, fingerprints: Iterable[Fingerprint]
    ) -> Effects:
        """Record that the local upstream ended while it ran some requests."""
        effects: Effects = []
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint) or _Suspect(now)
            effects.extend(
                self._add_ends(now, fingerprint, suspect, {end_id}, now)
            )
            self._mark_changed(fingerprint, is_urgent=True)
        return effects

    def merge(self, now: float, records: tuple[CrashEvidence, ...]) -> Effects:
        """Merge the evidence of a peer; malformed records are left out."""
        return [
            effect
            for record in records[:MAX_RECORDS]
            if _is_well_formed(record)
            for effect in self._merge_record(now, record)
        ]

    def clear(self, fingerprint: Fingerprint, cause: str) -> Effects:
        """Discount all evidence against a request, for example if it completed.

        An end that is reported later counts again.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.counted_ends:
            return []
        was_suspect = suspect.counted_ends >= MIN_ENDS
        suspect.cleared.update(suspect.ends)
        self._mark_changed(fingerprint, is_urgent=was_suspect)
        return _report_cleared(fingerprint, cause) if was_suspect else []

    def withdraw_end(
        self, end_id: bytes, fingerprints: Iterable[Fingerprint]
    ) -> Effects:
        """Discount an end of the local upstream that did not happen."""
        effects: Effects = []
        for fingerprint in fingerprints:
            suspect = self._suspects.get(fingerprint)
            if suspect is None or end_id not in suspect.ends:
                continue
            before = suspect.counted_ends
            suspect.cleared.add(end_id)
            self._mark_changed(fingerprint, is_urgent=True)
            if suspect.counted_ends < MIN_ENDS <= before:
                effects.extend(_report_cleared(fingerprint, 'withdrawn'))
        return effects

    def expire(self, now: float) -> Effects:
        """Remove evidence that is too old."""
        expired = [
            fingerprint
            for fingerprint, suspect in self._suspects.items()
            if suspect.has_expired(now)
        ]
        effects: Effects = []
        for fingerprint in expired:
            suspect = self._suspects.pop(fingerprint)
            self._forget_changes(fingerprint)
            if suspect.counted_ends >= MIN_ENDS:
                effects.extend(_report_cleared(fingerprint, 'age'))
        return effects

    def take_growth(self) -> bool:
        """Return whether a request became refused since the last call."""
        has_grown = self._has_grown
        self._has_grown = False
        return has_grown

    def take_changes(
        self, now: float, *, is_tick: bool
    ) -> tuple[CrashEvidence, ...]:
        """Return the evidence to send to all peers now.

        Discounted evidence that refused nothing waits for the next tick, so
        that completions after an end share one message.
        """
        if not (self._is_urgent or (is_tick and self._changed)):
            return ()
        records = self._take_records(now, self._changed)
        self._is_urgent = self._is_urgent and bool(self._changed)
        return records

    def take_learned(self, now: float) -> tuple[CrashEvidence, ...]:
        """Return the evidence to pass on to the neighbours in the tree.

        The daemon beside an upstream tells all its peers itself. If each of
        them told all others again, the messages would grow with the square of
        the fleet.
        """
        return self._take_records(now, self._learned)

    def list_standing(self, now: float) -> tuple[CrashEvidence, ...]:
        """Return the latest suspects, for daemons that missed the messages."""
        standing = (
            _build_record(now, fingerprint, suspect)
            for fingerprint, suspect in reversed(self._suspects.items())
            if suspect.counted_ends >= MIN_ENDS
        )
        return tuple(islice(standing, MAX_STANDING_RECORDS))

    def describe(self, now: float) -> Iterator[dict[str, object]]:
        """Yield the suspects as plain values, the latest first."""
        for fingerprint, suspect in reversed(self._suspects.items()):
            if suspect.counted_ends >= MIN_ENDS:
                yield {
                    'fingerprint': fingerprint.hex(),
                    'ends': suspect.counted_ends,
                    'age_seconds': round(now - suspect.last_end_at, 3),
                    'refused_seconds': round(suspect.refused_seconds(now), 3),
                }

    def _take_records(
        self, now: float, pending: dict[Fingerprint, None]
    ) -> tuple[CrashEvidence, ...]:
        records: list[CrashEvidence] = []
        for fingerprint in tuple(islice(pending, MAX_RECORDS)):
            pending.pop(fingerprint)
            suspect = self._suspects[fingerprint]
            records.append(_build_record(now, fingerprint, suspect))
        return tuple(records)

    def _merge_record(self, now: float, record: CrashEvidence) -> Effects:
        fingerprint = Fingerprint(record.fingerprint)
        known = self._suspects.get(fingerprint)
        suspect = known or _Suspect(now - record.age_seconds)
        if known is None and suspect.has_expired(now):
            return []
        effects: Effects = []
        before = suspect.counted_ends
        size_before = len(suspect.ends) + len(suspect.cleared)
        suspect.cleared.update(
            set(record.cleared).intersection((*suspect.ends, *record.ends))
        )
        if before >= MIN_ENDS and suspect.counted_ends < MIN_ENDS:
            effects.extend(_report_cleared(fingerprint, 'peer'))
        effects.extend(
            self._add_ends(
                now,
                fingerprint,
                suspect,
                set(record.ends),
                now - record.age_seconds,
            )
        )
        has_grown = len(suspect.ends) + len(suspect.cleared) > size_before
        missed_by_peer = suspect.cleared.difference(record.cleared)
        if has_grown or missed_by_peer.intersection(record.ends):
            self._learned[fingerprint] = None
        return effects

    def _add_ends(
        self,
        now: float,
        fingerprint: Fingerprint,
        suspect: _Suspect,
        ends: set[bytes],
        ended_at: float,
    ) -> Effects:
        """Add ends of upstreams to a suspect, and store the suspect."""
        before = suspect.counted_ends
        new_ends = sorted(ends - suspect.ends)
        if len(suspect.ends) + len(new_ends) > MAX_ENDS:
            suspect.ends -= suspect.cleared
            suspect.cleared.clear()
        room = MAX_ENDS - len(suspect.ends)
        suspect.ends.update(islice(new_ends, max(room, 0)))
        if suspect.counted_ends > before:
            suspect.last_end_at = max(suspect.last_end_at, ended_at)
        if new_ends and self._has_completed(fingerprint, ended_at):
            suspect.cleared.update(suspect.ends.intersection(new_ends))
        if fingerprint not in self._suspects:
            self._make_room()
            self._suspects[fingerprint] = suspect
        if suspect.counted_ends <= max(before, MIN_ENDS - 1):
            return []
        self._has_grown = True
        self._suspects[fingerprint] = self._suspects.pop(fingerprint)
        return _report_suspected(now, fingerprint, suspect)

    def _make_room(self) -> None:
        """Remove the oldest entry, if possible one that refuses nothing."""
        if len(self._suspects) < MAX_SUSPECTS:
            return
        oldest = next(
            (
                fingerprint
                for fingerprint, suspect in self._suspects.items()
                if suspect.counted_ends < MIN_ENDS
            ),
            next(iter(self._suspects)),
        )
        self._suspects.pop(oldest)
        self._forget_changes(oldest)

    def _forget_changes(self, fingerprint: Fingerprint) -> None:
        self._changed.pop(fingerprint, None)
        self._learned.pop(fingerprint, None)

    def _mark_changed(
        self, fingerprint: Fingerprint, *, is_urgent: bool
    ) -> None:
        if fingerprint in self._suspects:
            self._changed[fingerprint] = None
            self._is_urgent = self._is_urgent or is_urgent


def _is_well_formed(record: CrashEvidence) -> bool:
    ids = (*record.ends, *record.cleared)
    return (
        len(record.fingerprint) == FINGERPRINT_BYTES
        and len(ids) <= 2 * MAX_ENDS
        and all(len(end_id) == END_ID_BYTES for end_id in ids)
        and 0 <= record.age_seconds < float('inf')
    )


def _build_record(
    now: float, fingerprint: Fingerprint, suspect: _Suspect
) -> CrashEvidence:
    return CrashEvidence(
        fingerprint=fingerprint,
        ends=tuple(sorted(suspect.ends)),
        cleared=tuple(sorted(suspect.cleared)),
        age_seconds=max(0, now - suspect.last_end_at),
    )


def _report_suspected(
    now: float, fingerprint: Fingerprint, suspect: _Suspect
) -> Effects:
    fields = (
        ('fingerprint', fingerprint.hex()),
        ('ends', str(suspect.counted_ends)),
        ('refused_seconds', f'{suspect.refused_seconds(now):.0f}'),
    )
    return [
        Count(name='requests_suspected'),
        WriteLog(
            level=LogLevel.WARNING, code='request-suspected', fields=fields
        ),
    ]


def _report_cleared(fingerprint: Fingerprint, cause: str) -> Effects:
    fields = (('fingerprint', fingerprint.hex()), ('cause', cause))
    return [
        Count(name='suspects_cleared', attributes=(('cause', cause),)),
        WriteLog(level=LogLevel.INFO, code='suspect-cleared', fields=fields),
    ]
