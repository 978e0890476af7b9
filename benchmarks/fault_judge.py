"""Judges a fault run from the outside: answers, runs, trails and status."""

import bisect
import math
import time
from collections import defaultdict
from collections.abc import Iterable
from datetime import UTC, datetime
from itertools import repeat
from random import Random
from typing import Final, TypeAlias

import gevent

from benchmarks.fault_jobs import Made
from briartack.held import (
    AuditLine,
    Held,
    find_held_configurations,
    read_audit_lines,
)
from standins.deployment import Deployment

SETTLE_SECONDS: Final = 60.0
POLL_SECONDS: Final = 0.5
STORE_CALLS_PER_SECOND: Final = 2000
HELD_TIMES: Final = 40
# No key of the store begins like this.
HIGHEST: Final = '*highest'
CONFIGURATION_KINDS: Final = frozenset(('configuration', 'held'))
Violation: TypeAlias = dict[str, object]
Trails: TypeAlias = dict[str, list[AuditLine]]


def settle(deployment: Deployment) -> tuple[float, list[Violation]]:
    """Wait until all daemons are ready with one digest; return seconds."""
    started = time.monotonic()
    while True:
        seen = {name: _digest(deployment, name) for name in _names(deployment)}
        seconds = round(time.monotonic() - started, 1)
        if '' not in seen.values() and len(set(seen.values())) == 1:
            return seconds, []
        if seconds > SETTLE_SECONDS:
            return seconds, [{'rule': 'digests differ in the end', **seen}]
        gevent.sleep(POLL_SECONDS)


def _names(deployment: Deployment) -> list[str]:
    return list(deployment.site.wirings)


def _digest(deployment: Deployment, name: str) -> str:
    try:
        status = deployment.status(name)
    except OSError:
        return ''
    return str(status['digest']) if status['ready'] else ''


def runs_of(deployment: Deployment) -> dict[str, list[str]]:
    """Return the instances that ran each request."""
    found: dict[str, list[str]] = defaultdict(list)
    for name in _names(deployment):
        for request_id, runs in deployment.control_upstream(
            name,
            'runs',
        ).items():
            found[request_id].extend(repeat(name, int(runs)))
    return found


def first_runs_of(deployment: Deployment) -> dict[str, float]:
    """Return when each request began to run first, in wall-clock seconds."""
    found: dict[str, float] = {}
    for name in _names(deployment):
        begun = deployment.control_upstream(name, 'first-runs')
        for request_id, at in begun.items():
            found[request_id] = min(at, found.get(request_id, at))
    return found


def judge_calls(
    made: Iterable[Made],
    runs: dict[str, list[str]],
    first_runs: dict[str, float],
) -> list[Violation]:
    """Compare what callers were told with what ran."""
    violations: list[Violation] = []
    by_key: dict[str, list[Made]] = defaultdict(list)
    for one in made:
        ran_at = runs.get(one.sent.request_id, [])
        violations.extend(
            _shown(rule, one, ran_at) for rule in _broken_rules(one, ran_at)
        )
        if one.sent.key:
            by_key[one.sent.key].append(one)
    for same in by_key.values():
        violations.extend(_judge_key(same, runs, first_runs))
    return violations


def _broken_rules(one: Made, ran_at: list[str]) -> Iterable[str]:
    if one.sent.kind != 'read' and len(ran_at) > 1:
        yield 'a request that may not be repeated ran twice'
    if one.verdict == 'not-run' and ran_at:
        yield 'told not-run, and ran'
    if one.verdict == 'ran' and not ran_at and not one.sent.key:
        yield 'told ran, and did not run'
    if one.status and one.verdict not in {'ran', 'not-run', 'unknown'}:
        yield 'an answer without a verdict'
    if one.is_success and not one.is_own_answer:
        yield 'the answer is not that of the request'
    if one.echo is not None and not one.sent.key:
        if one.echo.request_id != one.sent.request_id:
            yield 'the answer is that of another request'


def _judge_key(
    same: list[Made],
    runs: dict[str, list[str]],
    first_runs: dict[str, float],
) -> list[Violation]:
    own = {one.sent.request_id for one in same}
    ran = [place for name in own for place in runs.get(name, [])]
    violations = []
    if len(ran) > 1:
        violations.append(_shown('a key ran twice', same[0], ran))
    # An early try may be refused as not-run before a later one runs.
    ran_from = min(
        (at for name, at in first_runs.items() if name in own),
        default=math.inf,
    )
    violations.extend(
        _shown('a key that had run was told not-run', one, ran)
        for one in same
        if one.verdict == 'not-run' and one.at > ran_from
    )
    violations.extend(
        _shown('the answer of a key is that of another', one, ran)
        for one in same
        if one.echo is not None and one.echo.request_id not in own
    )
    return violations


def _shown(rule: str, one: Made, ran_at: list[str]) -> Violation:
    return {
        'rule': rule,
        'request_id': one.sent.request_id,
        'kind': one.sent.kind,
        'at': one.at,
        'called': one.instance,
        'status': one.status,
        'verdict': one.verdict,
        'ran_at': ran_at,
        'text': one.text,
    }


def read_trails(deployment: Deployment) -> Trails:
    """Read the audit lines of each daemon in the order of writing."""
    trails: Trails = {}
    for name in _names(deployment):
        text = deployment.child(name).stdout.read_text(encoding='utf-8')
        trails[name] = list(read_audit_lines(text.splitlines()))
    return trails


def judge_trails(trails: Trails) -> list[Violation]:
    """Find lines that go back, and gaps, within an incarnation."""
    violations: list[Violation] = []
    for lines in trails.values():
        by_incarnation: dict[str, list[AuditLine]] = defaultdict(list)
        for line in lines:
            by_incarnation[line.incarnation].append(line)
        for own in by_incarnation.values():
            violations.extend(_judge_incarnation(own))
    return violations


def _judge_incarnation(lines: list[AuditLine]) -> list[Violation]:
    violations: list[Violation] = []
    highest: dict[str, int] = {}
    for expected, line in enumerate(lines, start=1):
        if line.sequence != expected:
            violations.append(_trail_shown('a gap', line))
        held = _held_versions(line)
        if any(held[key] < highest.get(key, 0) for key in held):
            violations.append(_trail_shown('goes back', line))
        highest |= held
    return violations


def _held_versions(line: AuditLine) -> dict[str, int]:
    if line.kind not in CONFIGURATION_KINDS:
        return {}
    return {**(line.versions or {}), HIGHEST: line.highest}


def _trail_shown(rule: str, line: AuditLine) -> Violation:
    return {
        'rule': f'trail: {rule}',
        'instance': line.instance,
        'incarnation': line.incarnation,
        'sequence': line.sequence,
    }


def judge_held(trails: Trails, random: Random) -> list[Violation]:
    """Ask `held` for random times and look into the lines directly."""
    lines = [line for own in trails.values() for line in own]
    first = min(line.time for line in lines).timestamp()
    last = max(line.time for line in lines).timestamp()
    violations: list[Violation] = []
    for _ in range(HELD_TIMES):
        at = datetime.fromtimestamp(random.uniform(first, last), UTC)
        shuffled = random.sample(lines, len(lines))
        violations.extend(
            {
                'rule': 'held disagrees with the lines',
                'instance': answer.instance,
                'time': at.isoformat(),
                'answer': str(answer),
            }
            for answer in find_held_configurations(shuffled, at)
            if not _agrees(answer, trails[answer.instance], at)
        )
    return violations


def _agrees(answer: Held, lines: list[AuditLine], at: datetime) -> bool:
    position = bisect.bisect_right([line.time for line in lines], at)
    if not position or position == len(lines):
        return not answer.is_known
    before, after = lines[position - 1], lines[position]
    if before.incarnation != after.incarnation:
        return not answer.is_known
    stated = [
        line.digest
        for line in lines[:position]
        if line.incarnation == before.incarnation
        and line.kind in CONFIGURATION_KINDS
    ]
    wanted = stated[-1] if stated else ''
    return answer.is_known and answer.digest == wanted


def judge_store(stats: dict[str, int]) -> list[Violation]:
    """Hold the store's busiest second against its limit."""
    peak = stats['peak_calls_per_second']
    if peak < STORE_CALLS_PER_SECOND:
        return []
    return [{'rule': 'too many calls to the store', 'peak': peak}]
