"""Checks a fault run by answers, upstream runs, audit trails and status."""

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

from benchmarks.fault_actions import FaultWindow
from benchmarks.fault_load import CallResult
from briartack.held import (
    AuditLine,
    Held,
    find_held_configurations,
    read_audit_lines,
)
from standins.deployment import Deployment

SETTLE_TIMEOUT_SECONDS: Final = 60.0
POLL_INTERVAL_SECONDS: Final = 0.5
MAX_STORE_CALLS_PER_SECOND: Final = 2000
HELD_QUERY_COUNT: Final = 40
# The longest time limit of a call, and a margin for a busy machine.
MAX_CALL_SECONDS: Final = 4.0
# Stands for the highest revision; no key of the store begins with an asterisk.
HIGHEST_KEY: Final = '*highest'
CONFIGURATION_KINDS: Final = frozenset(('configuration', 'held'))
Violation: TypeAlias = dict[str, object]
Trails: TypeAlias = dict[str, list[AuditLine]]


def wait_for_equal_digests(
    deployment: Deployment,
) -> tuple[float, list[Violation]]:
    """Wait until all daemons are ready with equal configuration digests.

    Return the elapsed seconds, and a violation after a timeout.
    """
    started = time.monotonic()
    while True:
        digests = {
            name: _fetch_digest(deployment, name)
            for name in _instance_names(deployment)
        }
        seconds = round(time.monotonic() - started, 1)
        if '' not in digests.values() and len(set(digests.values())) == 1:
            return seconds, []
        if seconds > SETTLE_TIMEOUT_SECONDS:
            return seconds, [
                {
                    'rule': 'configuration digests differ after the run',
                    **digests,
                }
            ]
        gevent.sleep(POLL_INTERVAL_SECONDS)


def _instance_names(deployment: Deployment) -> list[str]:
    return list(deployment.site.instance_sites)


def _fetch_digest(deployment: Deployment, name: str) -> str:
    try:
        status = deployment.status(name)
    except OSError:
        return ''
    return str(status['digest']) if status['ready'] else ''


def collect_runs(deployment: Deployment) -> dict[str, list[str]]:
    """Return the instances that ran each request, one entry per run."""
    found: dict[str, list[str]] = defaultdict(list)
    for name in _instance_names(deployment):
        for request_id, runs in deployment.control_upstream(
            name,
            'runs',
        ).items():
            found[request_id].extend(repeat(name, int(runs)))
    return found


def collect_first_run_times(deployment: Deployment) -> dict[str, float]:
    """Return when each request first began to run, in wall-clock seconds."""
    found: dict[str, float] = {}
    for name in _instance_names(deployment):
        first_run_times = deployment.control_upstream(name, 'first-runs')
        for request_id, at in first_run_times.items():
            found[request_id] = min(at, found.get(request_id, at))
    return found


def check_calls(
    results: Iterable[CallResult],
    runs: dict[str, list[str]],
    first_runs: dict[str, float],
) -> list[Violation]:
    """Compare the callers' answers with the upstreams' runs."""
    violations: list[Violation] = []
    by_key: dict[str, list[CallResult]] = defaultdict(list)
    for result in results:
        ran_at = runs.get(result.request.request_id, [])
        violations.extend(
            _describe_result(rule, result, ran_at)
            for rule in _find_broken_rules(result, ran_at)
        )
        if result.request.key:
            by_key[result.request.key].append(result)
    for key_results in by_key.values():
        violations.extend(_check_key(key_results, runs, first_runs))
    return violations


def check_answered(
    results: Iterable[CallResult],
    runs: dict[str, list[str]],
    windows: Iterable[FaultWindow],
) -> list[Violation]:
    """Find requests that ran and whose connection ended without an answer.

    Only a daemon that is killed may end a connection so.
    """
    killed_at: dict[str, list[float]] = defaultdict(list)
    for window in windows:
        if window.fault.kind == 'kill':
            killed_at[window.fault.target].append(window.began_at)
    return [
        _describe_result(
            'a request that ran ended without an answer',
            result,
            runs[result.request.request_id],
        )
        for result in results
        if result.is_closed
        and runs.get(result.request.request_id)
        and not any(
            0 <= at - result.at <= MAX_CALL_SECONDS
            for at in killed_at[result.instance]
        )
    ]


def _find_broken_rules(result: CallResult, ran_at: list[str]) -> Iterable[str]:
    if result.request.kind != 'read' and len(ran_at) > 1:
        yield 'a non-repeatable request ran more than once'
    if result.verdict == 'not-run' and ran_at:
        yield 'the verdict is not-run, but the request ran'
    if result.verdict == 'ran' and not ran_at and not result.request.key:
        yield 'the verdict is ran, but the request did not run'
    if result.status and result.verdict not in {'ran', 'not-run', 'unknown'}:
        yield 'the answer has no verdict'
    if result.is_success and not result.is_matching_answer:
        yield 'the answer does not match the request'
    if result.echo is not None and not result.request.key:
        if result.echo.request_id != result.request.request_id:
            yield 'the answer belongs to another request'


def _check_key(
    key_results: list[CallResult],
    runs: dict[str, list[str]],
    first_runs: dict[str, float],
) -> list[Violation]:
    own = {result.request.request_id for result in key_results}
    ran_at = [instance for name in own for instance in runs.get(name, [])]
    violations = []
    if len(ran_at) > 1:
        violations.append(
            _describe_result(
                'an idempotency key ran more than once', key_results[0], ran_at
            )
        )
    # An early call may be refused as not-run before a later call with the same
    # key runs.
    first_run_at = min(
        (at for name, at in first_runs.items() if name in own),
        default=math.inf,
    )
    violations.extend(
        _describe_result(
            'the verdict is not-run after the key ran', result, ran_at
        )
        for result in key_results
        if result.verdict == 'not-run' and result.at > first_run_at
    )
    violations.extend(
        _describe_result('the answer belongs to another key', result, ran_at)
        for result in key_results
        if result.echo is not None and result.echo.request_id not in own
    )
    return violations


def _describe_result(
    rule: str, result: CallResult, ran_at: list[str]
) -> Violation:
    return {
        'rule': rule,
        'request_id': result.request.request_id,
        'kind': result.request.kind,
        'at': result.at,
        'called': result.instance,
        'status': result.status,
        'verdict': result.verdict,
        'ran_at': ran_at,
        'text': result.text,
    }


def read_trails(deployment: Deployment) -> Trails:
    """Read the audit lines of each daemon in the order they were written."""
    trails: Trails = {}
    for name in _instance_names(deployment):
        text = deployment.get_daemon_process(name).stdout.read_text(
            encoding='utf-8'
        )
        trails[name] = list(read_audit_lines(text.splitlines()))
    return trails


def check_trails(trails: Trails) -> list[Violation]:
    """Find sequence gaps and falling revisions within each incarnation."""
    violations: list[Violation] = []
    for lines in trails.values():
        by_incarnation: dict[str, list[AuditLine]] = defaultdict(list)
        for line in lines:
            by_incarnation[line.incarnation].append(line)
        for own in by_incarnation.values():
            violations.extend(_check_incarnation(own))
    return violations


def _check_incarnation(lines: list[AuditLine]) -> list[Violation]:
    violations: list[Violation] = []
    highest: dict[str, int] = {}
    for expected, line in enumerate(lines, start=1):
        if line.sequence != expected:
            violations.append(_describe_line('sequence gap', line))
        held = _get_versions(line)
        if any(held[key] < highest.get(key, 0) for key in held):
            violations.append(_describe_line('revision fell', line))
        highest |= held
    return violations


def _get_versions(line: AuditLine) -> dict[str, int]:
    if line.kind not in CONFIGURATION_KINDS:
        return {}
    return {**(line.versions or {}), HIGHEST_KEY: line.highest}


def _describe_line(rule: str, line: AuditLine) -> Violation:
    return {
        'rule': f'trail: {rule}',
        'instance': line.instance,
        'incarnation': line.incarnation,
        'sequence': line.sequence,
    }


def check_held(trails: Trails, random: Random) -> list[Violation]:
    """Compare the answers of `held` at random times with the audit lines."""
    lines = [line for own in trails.values() for line in own]
    first = min(line.time for line in lines).timestamp()
    last = max(line.time for line in lines).timestamp()
    violations: list[Violation] = []
    for _ in range(HELD_QUERY_COUNT):
        at = datetime.fromtimestamp(random.uniform(first, last), UTC)
        shuffled = random.sample(lines, len(lines))
        violations.extend(
            {
                'rule': 'held disagrees with the audit lines',
                'instance': answer.instance,
                'time': at.isoformat(),
                'answer': str(answer),
            }
            for answer in find_held_configurations(shuffled, at)
            if not _matches_trail(answer, trails[answer.instance], at)
        )
    return violations


def _matches_trail(answer: Held, lines: list[AuditLine], at: datetime) -> bool:
    position = bisect.bisect_right([line.time for line in lines], at)
    if not position or position == len(lines):
        return not answer.is_known
    before, after = lines[position - 1], lines[position]
    if before.incarnation != after.incarnation:
        return not answer.is_known
    digests = [
        line.digest
        for line in lines[:position]
        if line.incarnation == before.incarnation
        and line.kind in CONFIGURATION_KINDS
    ]
    expected_digest = digests[-1] if digests else ''
    return answer.is_known and answer.digest == expected_digest


def check_store_load(stats: dict[str, int]) -> list[Violation]:
    """Check the store's peak calls per second against the limit."""
    peak = stats['peak_calls_per_second']
    if peak < MAX_STORE_CALLS_PER_SECOND:
        return []
    return [{'rule': 'too many store calls per second', 'peak': peak}]
