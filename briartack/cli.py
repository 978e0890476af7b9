"""The operators' command line, `briartack`.

Exit codes: 0 success, 1 a check or a replay failed, 2 wrong usage, 3 a daemon
could not be reached.
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
from briartack.diff import diff_trees
from briartack.held import Held, held_at, read_lines
from briartack.operator_client import OperatorError, fetch
from briartack.recorder import TraceError
from briartack.replay import replay_trace

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
EXIT_UNREACHABLE: Final = 3

_STATUS_ROW: Final = '{:<22} {:<16} {:<6} {:>8} {:>7}  {}'
_ENDPOINT_ROW: Final = '    {:<16} {:<16} {:<10} {}'


class UsageError(Exception):
    """Report an argument that can't be used, with what to give instead."""


def check(
    directory: Path, *, against: Path | None = None, as_json: bool = False
) -> int:
    """Validate a settings tree as the daemons will.

    :param directory: folder with `platform.json` and `teams/NAME.json`
    :param against: tree in force now; refuse removals that it still refers to
    :param as_json: print JSON
    """
    report = check_tree(directory, against)
    _print_report(report.to_dict(), report.lines(), as_json=as_json)
    return EXIT_OK if report.is_passed else EXIT_FAILED


def diff(old: Path, new: Path, *, as_json: bool = False) -> int:
    """List what differs between two settings trees.

    :param old: folder of the older tree
    :param new: folder of the newer tree
    :param as_json: print JSON
    """
    report = diff_trees(old, new)
    _print_report(report.to_dict(), report.lines(), as_json=as_json)
    return EXIT_FAILED if report.problems else EXIT_OK


def status(*addresses: str, as_json: bool = False) -> int:
    """Show what daemons hold and how far they are behind the newest.

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
    _print_report({'daemons': found}, _status_lines(found), as_json=as_json)
    return code


def explain(
    address: str,
    path: str,
    *,
    method: str = 'GET',
    tenant: str = '',
    as_json: bool = False,
) -> int:
    """Show where a call would go from a daemon now, and why.

    :param address: operator address of the daemon, IP:PORT
    :param path: path of the call
    :param method: HTTP method of the call
    :param tenant: value of the X-Tenant header
    :param as_json: print JSON
    """
    query = urlencode({'path': path, 'method': method, 'tenant': tenant})
    try:
        answer = fetch(address, f'/explain?{query}')
    except OperatorError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREACHABLE
    _print_report(answer, _explained_lines(answer), as_json=as_json)
    return EXIT_OK


def held(
    *logs: Path,
    time: str,
    instance: str | None = None,
    as_json: bool = False,
) -> int:
    """State from audit lines what each proxy held at a time.

    :param logs: files with collected audit lines
    :param time: ISO 8601 time; UTC unless it has an offset
    :param instance: only this instance
    :param as_json: print JSON
    """
    lines = read_lines(_lines_of(logs))
    answers = held_at(lines, _read_time(time), instance)
    if not answers:
        sys.stderr.write('held: no audit line of such an instance in LOGS\n')
        return EXIT_FAILED
    _print_report(
        {'held': [_held_dict(answer) for answer in answers]},
        (_held_line(answer) for answer in answers),
        as_json=as_json,
    )
    return (
        EXIT_OK if all(answer.is_known for answer in answers) else EXIT_FAILED
    )


def replay(*traces: Path, as_json: bool = False) -> int:
    """Replay recorded traces and judge their outcomes.

    :param traces: JSON-lines files, recorded or written by hand
    :param as_json: print JSON
    """
    if not traces:
        raise UsageError('replay: no trace; give JSON-lines files')
    results = [replay_trace(trace) for trace in traces]
    _print_report(
        {'traces': [result.to_dict() for result in results]},
        (line for result in results for line in result.lines()),
        as_json=as_json,
    )
    return EXIT_OK if all(result.is_ok for result in results) else EXIT_FAILED


def main() -> None:
    """Run a subcommand and exit with its code."""
    try:
        code = defopt.run([check, diff, status, explain, held, replay])
    except (OSError, UsageError) as error:
        sys.stderr.write(f'{error}\n')
        code = EXIT_USAGE
    except TraceError as broken:
        sys.stderr.write(f'{broken}\n')
        code = EXIT_FAILED
    sys.exit(code)


def _read_time(text: str) -> datetime:
    try:
        at = datetime.fromisoformat(text)
    except ValueError as error:
        raise UsageError(
            f'--time: {error}; write it like 2026-12-04T07:00:00+00:00',
        ) from error
    return at.replace(tzinfo=UTC) if at.tzinfo is None else at


def _print_report(
    report: dict[str, object],
    lines: Iterable[str],
    *,
    as_json: bool,
) -> None:
    if as_json:
        sys.stdout.write(f'{json.dumps(report, default=str)}\n')
        return
    for line in lines:
        sys.stdout.write(f'{line}\n')


def _lines_of(logs: Iterable[Path]) -> Iterator[str]:
    for log in logs:
        # A cut log may end within a character; that line is left out.
        with log.open(encoding='utf-8', errors='replace') as lines:
            yield from lines


def _status_lines(found: list[dict[str, object]]) -> Iterator[str]:
    newest = max((_highest(daemon) for daemon in found), default=0)
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
            # The text begins with the address.
            yield str(error)
            continue
        yield _STATUS_ROW.format(
            daemon['address'],
            daemon['instance'],
            'yes' if daemon['ready'] else 'no',
            _highest(daemon),
            newest - _highest(daemon),
            daemon['digest'],
        )
        yield from _status_notes(daemon)


def _explained_lines(answer: dict[str, Any]) -> Iterator[str]:
    endpoints = answer.get('endpoints', ())
    for name, value in answer.items():
        if name != 'endpoints':
            yield f'{name}: {_text(value)}'
    if endpoints:
        yield _ENDPOINT_ROW.format(
            'ENDPOINT',
            'DATA CENTRE',
            'STREAM',
            'EXCLUDED',
        ).rstrip()
    for endpoint in endpoints:
        stream = 'yes' if endpoint['is_connected'] else 'no'
        yield _ENDPOINT_ROW.format(
            endpoint['instance'],
            endpoint['data_centre'],
            'own' if endpoint['is_own'] else stream,
            endpoint['excluded'],
        ).rstrip()


def _status_notes(daemon: dict[str, object]) -> Iterator[str]:
    for name in ('data_centres_out', 'instances_out', 'retained', 'waiting'):
        noted = daemon.get(name)
        if noted:
            yield f'    {name}: {_text(noted)}'


def _highest(daemon: dict[str, object]) -> int:
    highest = daemon.get('highest')
    return highest if isinstance(highest, int) else 0


def _held_dict(answer: Held) -> dict[str, object]:
    described: dict[str, object] = msgspec.to_builtins(answer)
    return described


def _held_line(answer: Held) -> str:
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
        f'{answer.instance}: revision {answer.highest}, '
        f'digest {answer.digest}, since {answer.since}: '
        f'{_text(answer.versions)}'
    )


def _text(value: object) -> str:
    if isinstance(value, str):
        return value
    if value is None:
        return '-'
    if isinstance(value, list) and all(isinstance(one, str) for one in value):
        return ', '.join(value)
    return json.dumps(value, default=str)


if __name__ == '__main__':
    main()
