"""Find from audit lines which configuration each daemon held at a time.

Serves `briartack held`. Lines may come from many files, in any order and with
losses. Gaps in the sequence numbers reveal losses; where the remaining lines do
not prove the configuration, the answer is marked as unknown.
"""

import bisect
from collections.abc import Iterable, Iterator
from datetime import datetime
from itertools import takewhile
from typing import Final, final

import msgspec

from briartack.core.json_decoding import MalformedJsonError, decode_json

_STATEMENT_KINDS: Final = frozenset(('configuration', 'held'))


@final
class AuditLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the fields of an audit line that this module reads."""

    time: datetime
    instance: str
    incarnation: str
    sequence: int
    kind: str
    digest: str = ''
    highest: int = 0
    versions: dict[str, int] | None = None
    # The order that the writers of the versions state, by key.
    stated: dict[str, tuple[int, ...]] | None = None
    cause: str = ''
    source: str = ''


@final
class Held(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the configuration of one instance at a time.

    If the configuration is unknown, `unknown_from` and `unknown_until` bound
    the period and `note` gives the reason.
    """

    instance: str
    incarnation: str | None
    is_known: bool
    digest: str = ''
    highest: int = 0
    versions: dict[str, int] | None = None
    stated: dict[str, tuple[int, ...]] | None = None
    since: datetime | None = None
    unknown_from: datetime | None = None
    unknown_until: datetime | None = None
    note: str = ''


_AUDIT_LINE_DECODER: Final = msgspec.json.Decoder(AuditLine)


def read_audit_lines(texts: Iterable[str]) -> Iterator[AuditLine]:
    """Yield the audit lines; skip malformed lines and lines of other kinds."""
    for text in texts:
        try:
            yield decode_json(text, _AUDIT_LINE_DECODER)
        except MalformedJsonError:
            continue


def find_held_configurations(
    lines: Iterable[AuditLine],
    at: datetime,
    instance: str | None = None,
) -> list[Held]:
    """Return the configuration that each instance held at a time.

    `at` must have a UTC offset. `instance` selects one instance.
    """
    by_instance: dict[str, dict[tuple[str, int], AuditLine]] = {}
    stated_lines: dict[str, AuditLine] = {}  # by digest
    for line in lines:
        if line.versions is not None:
            stated_lines[line.digest] = line
        if instance in {None, line.instance}:
            # Overlapping logs contain the same line more than once.
            own = by_instance.setdefault(line.instance, {})
            own[(line.incarnation, line.sequence)] = line
    return [
        _find_held(
            name, sorted(found.values(), key=_sort_key), at, stated_lines
        )
        for name, found in sorted(by_instance.items())
    ]


def _sort_key(line: AuditLine) -> tuple[datetime, int]:
    return (line.time, line.sequence)


def _find_held(
    instance: str,
    lines: list[AuditLine],
    at: datetime,
    stated_lines: dict[str, AuditLine],
) -> Held:
    position = bisect.bisect_right(lines, at, key=lambda line: line.time)
    after = lines[position] if position < len(lines) else None
    if not position:
        return Held(
            instance=instance,
            incarnation=None,
            is_known=False,
            unknown_until=after.time if after else None,
            note='no audit line of this instance is older',
        )
    past = lines[:position]
    gap = _find_missing_proof(past, after)
    if gap:
        return Held(
            instance=instance,
            incarnation=past[-1].incarnation,
            is_known=False,
            unknown_from=past[-1].time,
            unknown_until=after.time if after else None,
            note=gap,
        )
    return _build_answer(instance, past, stated_lines)


def _build_answer(
    instance: str,
    past: list[AuditLine],
    stated_lines: dict[str, AuditLine],
) -> Held:
    incarnation = past[-1].incarnation
    own = [line for line in past if line.incarnation == incarnation]
    statements = [line for line in own if line.kind in _STATEMENT_KINDS]
    if not statements:
        return Held(
            instance=instance,
            incarnation=incarnation,
            is_known=True,
            since=own[0].time,
            note='held no configuration and served nothing',
        )
    last = statements[-1]
    content = stated_lines.get(last.digest)
    # The digest may have been in force before another one, too.
    latest = list(
        takewhile(lambda line: line.digest == last.digest, reversed(statements))
    )
    return Held(
        instance=instance,
        incarnation=incarnation,
        is_known=True,
        digest=last.digest,
        highest=last.highest,
        versions=None if content is None else content.versions,
        stated=None if content is None else content.stated,
        since=latest[-1].time,
    )


def _find_missing_proof(past: list[AuditLine], after: AuditLine | None) -> str:
    """Return why the lines do not prove the configuration, or an empty text."""
    before = past[-1]
    if after is None:
        return 'no later audit line of this instance proves the configuration'
    if after.incarnation != before.incarnation:
        return 'the instance restarted; its last audit lines may be lost'
    if after.sequence != before.sequence + 1:
        return 'audit lines are missing around this time'
    return _find_missing_lines(past)


def _find_missing_lines(past: list[AuditLine]) -> str:
    """Return a note if lines since the last stated digest are missing.

    Returns an empty text otherwise.
    """
    expected = past[-1].sequence
    for line in reversed(past):
        if line.sequence != expected:
            return 'audit lines are missing before this time'
        if line.kind in _STATEMENT_KINDS or line.sequence == 1:
            return ''
        expected -= 1
    return 'audit lines are missing before this time'
