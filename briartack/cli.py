"""Provide the command line for operators, `briartack`.

Exit codes: 0 for success, 1 for a failed command (a check, a diff of trees with
problems, an unproved answer, a replay), 2 for wrong usage, 3 for an unreachable
daemon.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final
from urllib.parse import urlencode

import defopt
import msgspec

from briartack.check import check_tree
from briartack.core.units import (
    NO_REVISION,
    Revision,
    era_of,
    format_revision,
)
from briartack.diff import diff_trees
from briartack.held import Held, find_held_configurations, read_audit_lines
from briartack.operator_client import OperatorError, fetch, post
from briartack.recorder import TraceError
from briartack.replay import replay_trace

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

_STATUS_DETAILS: Final = (
    'data_centres_out',
    'instances_out',
    'retained',
    'waiting',
    'crash_suspects',
    'tenants',
    'caps',
)
_STATUS_ROW: Final = '{:<22} {:<16} {:<6} {:>8} {:>7}  {}'
_ENDPOINT_ROW: Final = '    {:<16} {:<16} {:<10} {:<36} {}'


class UsageError(Exception):
    """Report an invalid or missing argument and the expected form."""


def check(
    directory: Path, *, against: Path | None = None, as_json: bool = False
) -> int:
    """Validate a settings tree as the daemons will.

    :param directory: folder with `platform.json` and `teams/NAME.json`
    :param against: published tree; report removals of resources still in use
    :param as_json: print JSON
    """
    report = check_tree(directory, against)
    _print_report(report.to_dict(), report.format_lines(), as_json=as_json)
    return EXIT_OK if report.has_passed else EXIT_FAILED


def diff(old: Path, new: Path, *, as_json: bool = False) -> int:
    """List what differs between two settings trees.

    :param old: folder of the older tree
    :param new: folder of the newer tree
    :param as_json: print JSON
    """
    report = diff_trees(old, new)
    _print_report(report.to_dict(), report.format_lines(), as_json=as_json)
    return EXIT_FAILED if report.problems else EXIT_OK


def status(*addresses: str, as_json: bool = False) -> int:
    """Show the configuration of daemons and how far each is behind the newest.

    :param addresses: operator addresses, IP:PORT
    :param as_json: print JSON
    """
    if not addresses:
        raise UsageError('status: no address; give operator addresses, IP:PORT')
    found: list[dict[str, object]] = []
    code = EXIT_OK
    for address in addresses:
        try:
            found.append({'address': address, **fetch(address, '/status')})
        except OperatorError as error:
            found.append({'address': address, 'error': str(error)})
            code = EXIT_UNREACHABLE
    _print_report({'daemons': found}, _format_status(found), as_json=as_json)
    return code


def explain(
    address: str,
    path: str,
    *,
    method: str = 'GET',
    tenant: str = '',
    body_bytes: int = 0,
    as_json: bool = False,
) -> int:
    """Show where a call would go from a daemon now, and why.

    :param address: operator address of the daemon, IP:PORT
    :param path: path of the call
    :param method: HTTP method of the call
    :param tenant: value of the X-Tenant header
    :param body_bytes: size of the body
    :param as_json: print JSON
    """
    call_fields = {
        'path': path,
        'method': method,
        'tenant': tenant,
        'body_bytes': body_bytes,
    }
    query = urlencode(call_fields)
    try:
        answer = fetch(address, f'/explain?{query}')
    except OperatorError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREACHABLE
    _print_report(answer, _format_explanation(answer), as_json=as_json)
    return EXIT_OK


def clear_suspect(address: str, fingerprint: str) -> int:
    """Let all daemons serve a request that is suspected to crash upstreams.

    :param address: operator address of any daemon that lists it, IP:PORT
    :param fingerprint: as `status` shows it
    """
    query = urlencode({'fingerprint': fingerprint})
    try:
        answer = post(address, f'/clear-suspect?{query}')
    except OperatorError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREACHABLE
    sys.stdout.write(f'{json.dumps(answer)}\n')
    return EXIT_OK if 'fingerprint' in answer else EXIT_FAILED


def held(
    *logs: Path,
    time: str,
    instance: str | None = None,
    as_json: bool = False,
) -> int:
    """Report from audit lines which configuration each daemon held at a time.

    :param logs: files with collected audit lines
    :param time: ISO 8601 time; UTC unless it has an offset
    :param instance: only this instance
    :param as_json: print JSON
    """
    audit_lines = read_audit_lines(_read_log_lines(logs))
    answers = find_held_configurations(audit_lines, _parse_time(time), instance)
    if not answers:
        sys.stderr.write(
            'held: LOGS contain no audit line of a selected instance\n'
        )
        return EXIT_FAILED
    _print_report(
        {'held': [_convert_held_to_dict(answer) for answer in answers]},
        (_format_held(answer) for answer in answers),
        as_json=as_json,
    )
    return (
        EXIT_OK if all(answer.is_known for answer in answers) else EXIT_FAILED
    )


def replay(*traces: Path, as_json: bool = False) -> int:
    """Replay recorded traces and check their outcomes.

    :param traces: JSON-lines files, recorded or written by hand
    :param as_json: print JSON
    """
    if not traces:
        raise UsageError('replay: no trace; give JSON-lines files')
    results = [replay_trace(trace) for trace in traces]
    _print_report(
        {'traces': [result.to_dict() for result in results]},
        (line for result in results for line in result.format_lines()),
        as_json=as_json,
    )
    return EXIT_OK if all(result.is_ok for result in results) else EXIT_FAILED


def main() -> None:
    """Run a subcommand and exit with its code."""
    try:
        code = defopt.run(
            [check, diff, status, explain, clear_suspect, held, replay]
        )
    except (OSError, UsageError) as error:
        sys.stderr.write(f'{error}\n')
        code = EXIT_USAGE
    except TraceError as error:
        sys.stderr.write(f'{error}\n')
        code = EXIT_FAILED
    sys.exit(code)


def _parse_time(text: str) -> datetime:
    try:
        at = datetime.fromisoformat(text)
    except ValueError as error:
        raise UsageError(
            f'--time: {error}; write it like 2026-12-04T07:00:00+00:00',
        ) from error
    return at.replace(tzinfo=UTC) if at.tzinfo is None else at


def _print_report(
    report: dict[str, object],
    text_lines: Iterable[str],
    *,
    as_json: bool,
) -> None:
    if as_json:
        sys.stdout.write(f'{json.dumps(report, default=str)}\n')
        return
    for line in text_lines:
        sys.stdout.write(f'{line}\n')


def _read_log_lines(logs: Iterable[Path]) -> Iterator[str]:
    for log in logs:
        # A truncated log may end within a character; its last line is skipped.
        with log.open(encoding='utf-8', errors='replace') as log_file:
            yield from log_file


def _format_status(found: list[dict[str, object]]) -> Iterator[str]:
    newest = max(map(_get_highest_revision, found), default=NO_REVISION)
    yield _STATUS_ROW.format(
        'ADDRESS',
        'INSTANCE',
        'READY',
        'HIGHEST',
        'BEHIND',
        'DIGEST',
    )
    for daemon in found:
        error = daemon.get('error')
        if error is not None:
            # The error text starts with the address of the daemon.
            yield str(error)
            continue
        yield _STATUS_ROW.format(
            daemon['address'],
            daemon['instance'],
            'yes' if daemon['ready'] else 'no',
            format_revision(_get_highest_revision(daemon)),
            _format_distance(_get_highest_revision(daemon), newest),
            daemon['digest'],
        )
        yield from _format_status_details(daemon)


def _format_explanation(answer: dict[str, Any]) -> Iterator[str]:
    endpoints = answer.get('endpoints', ())
    for name, value in answer.items():
        if name != 'endpoints':
            yield f'{name}: {_format_value(value)}'
    if endpoints:
        yield _ENDPOINT_ROW.format(
            'ENDPOINT',
            'DATA CENTRE',
            'STREAM',
            'EXPECTED MS (WAY, WAIT, BODY, RUN)',
            'EXCLUDED',
        ).rstrip()
    for endpoint in endpoints:
        stream = 'yes' if endpoint['is_connected'] else 'no'
        yield _ENDPOINT_ROW.format(
            endpoint['instance'],
            endpoint['data_centre'],
            'own' if endpoint['is_own'] else stream,
            _format_expected(endpoint.get('expected')),
            endpoint['excluded'],
        ).rstrip()


def _format_expected(expected: dict[str, int] | None) -> str:
    """Return the expected completion and its parts; `-` if unknown."""
    if expected is None:
        return '-'
    parts = ', '.join(
        str(expected[name])
        for name in ('way_ms', 'wait_ms', 'body_ms', 'run_ms')
    )
    return f'{expected["total_ms"]} ({parts})'


def _format_status_details(daemon: dict[str, object]) -> Iterator[str]:
    for name in _STATUS_DETAILS:
        detail = daemon.get(name)
        if detail:
            yield f'    {name}: {_format_value(detail)}'
    upstream = daemon.get('upstream')
    if isinstance(upstream, dict):
        yield f'    upstream: {_format_fields(upstream)}'
    services = daemon.get('services')
    if isinstance(services, dict):
        for service, described in services.items():
            yield f'    service {service}: {_format_fields(described)}'


def _format_fields(fields: dict[str, object]) -> str:
    """Return names and values in one line, without JSON syntax."""
    return ', '.join(
        f'{name} ({_format_fields(value)})'
        if isinstance(value, dict)
        else f'{name} {_format_value(value)}'
        for name, value in fields.items()
    )


def _get_highest_revision(daemon: dict[str, object]) -> Revision:
    highest = daemon.get('highest')
    return Revision(highest) if isinstance(highest, int) else NO_REVISION


def _format_distance(revision: Revision, newest: Revision) -> str:
    """Return how many revisions lie between two; `era` in different eras."""
    is_same_era = era_of(revision) == era_of(newest)
    return str(newest - revision) if is_same_era else 'era'


def _format_versions(answer: Held) -> str:
    """Return the revision of each key and the order that its writer states."""
    if answer.versions is None:
        return '-'
    found = []
    for key, revision in answer.versions.items():
        shown = format_revision(Revision(revision))
        stated = (answer.stated or {}).get(key)
        suffix = f' (states {_format_stated(stated)})' if stated else ''
        found.append(f'{key} {shown}{suffix}')
    return ', '.join(found)


def _format_stated(stated: tuple[int, ...]) -> str:
    return ' '.join(map(str, stated))


def _convert_held_to_dict(answer: Held) -> dict[str, object]:
    described: dict[str, object] = msgspec.to_builtins(answer)
    return described


def _format_held(answer: Held) -> str:
    if not answer.is_known:
        since = answer.unknown_from or 'the beginning'
        until = answer.unknown_until or 'the end'
        return (
            f'{answer.instance}: unknown between {since} and {until}: '
            f'{answer.note}'
        )
    if not answer.digest:
        return f'{answer.instance}: {answer.note}'
    return (
        f'{answer.instance}: '
        f'revision {format_revision(Revision(answer.highest))}, '
        f'digest {answer.digest}, since {answer.since}: '
        f'{_format_versions(answer)}'
    )


def _format_value(value: object) -> str:
    if isinstance(value, str):
        return value
    if value is None:
        return '-'
    if isinstance(value, list) and all(isinstance(item, str) for item in value):
        return ', '.join(value)
    return json.dumps(value, default=str)


if __name__ == '__main__':
    main()
