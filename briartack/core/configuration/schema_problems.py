"""Schema errors in a value of the store, each with its path.

The decoder stops at the first schema error, and its path omits the keys of
objects. A value that the decoder rejected is therefore decoded again part by
part, which finds the errors of all parts and their full paths.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from briartack.core.configuration.problems import Code, Problem, make_problem
from briartack.core.configuration.settings import (
    CallerLimits,
    Name,
    Policy,
    Route,
    ServiceLimits,
    TeamSettings,
    Tenant,
    Workspace,
)

ROOT: Final = '$'
_SECTIONS: Final = (
    ('services', ServiceLimits),
    ('policies', Policy),
    ('workspaces', Workspace),
    ('tenants', Tenant),
)
_CALLERS: Final = 'callers'
_UNSTATED: Final = object()
_PATH_SEPARATOR: Final = ' - at `'
_CODES_BY_PREFIX: Final = (
    ('Object contains unknown field', Code.UNKNOWN_FIELD),
    ('Object missing required field', Code.MISSING_FIELD),
)


def parse_schema_error(key: str, path: str, message: str) -> Problem:
    """Convert a decoder message about the part at a path to a problem."""
    text, _, place = message.partition(_PATH_SEPARATOR)
    relative = place.rstrip('`').removeprefix(ROOT)
    for start, code in _CODES_BY_PREFIX:
        if text.startswith(start):
            return make_problem(key, f'{path}{relative}', code, text)
    return make_problem(key, f'{path}{relative}', Code.BAD_VALUE, text)


def find_team_schema_problems(key: str, payload: bytes) -> tuple[Problem, ...]:
    """List the schema errors in the value of a team.

    The decoder of TeamSettings must have rejected the value before. A JSON
    syntax error that follows a schema error is only found here.
    """
    try:
        tree: object = msgspec.json.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        return (make_problem(key, ROOT, Code.SYNTAX, str(error)),)
    if not isinstance(tree, dict):
        return tuple(_check_part(key, ROOT, tree, TeamSettings))
    return (
        *_find_section_problems(key, tree),
        *_find_route_problems(key, tree),
        *_find_caller_problems(key, tree),
    )


def _check_part(
    key: str,
    path: str,
    part: object,
    kind: type,
) -> Iterator[Problem]:
    try:
        msgspec.convert(part, kind)
    except msgspec.ValidationError as error:
        yield parse_schema_error(key, path, str(error))


def _find_caller_problems(
    key: str, tree: dict[str, object]
) -> Iterator[Problem]:
    stated = tree.get(_CALLERS, _UNSTATED)
    if stated is not _UNSTATED:
        yield from _check_part(key, f'{ROOT}.{_CALLERS}', stated, CallerLimits)


def _find_section_problems(
    key: str, tree: dict[str, object]
) -> Iterator[Problem]:
    known = {section for section, _ in _SECTIONS} | {'routes', _CALLERS}
    for field in tree:
        if field not in known:
            text = f'Object contains unknown field `{field}`'
            yield make_problem(key, ROOT, Code.UNKNOWN_FIELD, text)
    for section, kind in _SECTIONS:
        path = f'{ROOT}.{section}'
        parts = tree.get(section, {})
        if isinstance(parts, dict):
            yield from _find_resource_problems(key, path, parts, kind)
        else:
            yield from _check_part(key, path, parts, dict)


def _find_resource_problems(
    key: str,
    path: str,
    parts: dict[str, object],
    kind: type,
) -> Iterator[Problem]:
    for name, part in parts.items():
        if not is_name(name):
            yield make_problem(key, path, Code.BAD_NAME, name)
        yield from _check_part(key, f'{path}.{name}', part, kind)


def _find_route_problems(
    key: str, tree: dict[str, object]
) -> Iterator[Problem]:
    path = f'{ROOT}.routes'
    parts = tree.get('routes', [])
    if isinstance(parts, list):
        for index, part in enumerate(parts):
            yield from _check_part(key, f'{path}[{index}]', part, Route)
    else:
        yield from _check_part(key, path, parts, list)


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of a team or resource."""
    try:
        msgspec.convert(text, Name)
    except msgspec.ValidationError:
        return False
    return True
