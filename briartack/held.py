"""Answers what configuration each proxy held at a time, from audit lines.

Lines may come from many files, in any order and with losses. Sequence numbers
show a loss; where nothing proves what was held, the answer says so.
"""

import bisect
from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Final, final

import msgspec

_HELD_KINDS: Final = frozenset(('configuration', 'held'))


@final
class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the parts of an audit line that this module reads."""

    time: datetime
    instance: str
    incarnation: str
    sequence: int
    kind: str
    digest: str = ''
    highest: int = 0
    versions: dict[str, int] | None = None
    cause: str = ''
    source: str = ''


@final
class Held(msgspec.Struct, frozen=True, kw_only=True):
    """State what one instance held, or between which times that is unknown."""

    instance: str
    incarnation: str | None
    is_known: bool
    digest: str = ''
    highest: int = 0
    versions: dict[str, int] | None = None
    since: datetime | None = None
    unknown_from: datetime | None = None
    unknown_until: datetime | None = None
    note: str = ''


def read_lines(texts: Iterable[str]) -> Iterator[AuditLine]:
    """Yield the audit lines among other lines; broken ones are left out."""
    for text in texts:
        try:
            yield msgspec.json.decode(text, type=AuditLine)
        except msgspec.DecodeError:
            continue


def held_at(
    lines: Iterable[AuditLine],
    at: datetime,
    instance: str | None = None,
) -> list[Held]:
    """State for each instance what it held at a time with a UTC offset."""
    by_instance: dict[str, dict[tuple[str, int], AuditLine]] = {}
    digests: dict[str, dict[str, int]] = {}
    for line in lines:
        if line.versions is not None:
            digests[line.digest] = line.versions
        if instance in {None, line.instance}:
            # Logs that overlap hold a line twice.
            own = by_instance.setdefault(line.instance, {})
            own[(line.incarnation, line.sequence)] = line
    return [
        _held_by(name, sorted(found.values(), key=_order), at, digests)
        for name, found in sorted(by_instance.items())
    ]


def _order(line: AuditLine) -> tuple[datetime, int]:
    return (line.time, line.sequence)


def _held_by(
    instance: str,
    lines: list[AuditLine],
    at: datetime,
    digests: dict[str, dict[str, int]],
) -> Held:
    position = bisect.bisect_right(lines, at, key=lambda line: line.time)
    after = lines[position] if position < len(lines) else None
    if not position:
        return Held(
            instance=instance,
            incarnation=None,
            is_known=False,
            unknown_until=after.time if after else None,
            note='no line of this instance is older',
        )
    past = lines[:position]
    gap = _unproved(past, after)
    if gap:
        return Held(
            instance=instance,
            incarnation=past[-1].incarnation,
            is_known=False,
            unknown_from=past[-1].time,
            unknown_until=after.time if after else None,
            note=gap,
        )
    return _statement(instance, past, digests)


def _statement(
    instance: str,
    past: list[AuditLine],
    digests: dict[str, dict[str, int]],
) -> Held:
    incarnation = past[-1].incarnation
    own = [line for line in past if line.incarnation == incarnation]
    statements = [line for line in own if line.kind in _HELD_KINDS]
    if not statements:
        return Held(
            instance=instance,
            incarnation=incarnation,
            is_known=True,
            since=own[0].time,
            note='held no configuration and served nothing',
        )
    last = statements[-1]
    first = next(line for line in statements if line.digest == last.digest)
    return Held(
        instance=instance,
        incarnation=incarnation,
        is_known=True,
        digest=last.digest,
        highest=last.highest,
        versions=digests.get(last.digest),
        since=first.time,
    )


def _unproved(past: list[AuditLine], after: AuditLine | None) -> str:
    """Return why nothing proves the state after the past, or nothing."""
    before = past[-1]
    if after is None:
        return 'no later line of this instance proves it'
    if after.incarnation != before.incarnation:
        return 'the instance restarted; its last lines may be lost'
    if after.sequence != before.sequence + 1:
        return 'audit lines are missing around this time'
    return _missing_since_statement(past)


def _missing_since_statement(past: list[AuditLine]) -> str:
    """Find a loss between the last statement and the end of the past."""
    expected = past[-1].sequence
    for line in reversed(past):
        if line.sequence != expected:
            return 'audit lines are missing before this time'
        if line.kind in _HELD_KINDS or line.sequence == 1:
            return ''
        expected -= 1
    return 'audit lines are missing before this time'
