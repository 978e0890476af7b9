"""Places of all faults of shape in one value of the store.

The decoder stops at the first fault and does not name the keys of objects on
the way to it. So a value that it refused is decoded again part by part.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from briartack.core.configuration.problems import Code, Problem, problem
from briartack.core.configuration.settings import (
    Name,
    Policy,
    Route,
    ServiceLimits,
    TeamSettings,
    Workspace,
)

ROOT: Final = '$'
_SECTIONS: Final = (
    ('services', ServiceLimits),
    ('policies', Policy),
    ('workspaces', Workspace),
)
_PLACE_MARK: Final = ' - at `'
_CODES_BY_START: Final = (
    ('Object contains unknown field', Code.UNKNOWN_FIELD),
    ('Object missing required field', Code.MISSING_FIELD),
)


def shape_problem(key: str, path: str, message: str) -> Problem:
    """Turn a message of the decoder about the part at a path."""
    text, _, place = message.partition(_PLACE_MARK)
    relative = place.rstrip('`').removeprefix(ROOT)
    for start, code in _CODES_BY_START:
        if text.startswith(start):
            return problem(key, f'{path}{relative}', code, text)
    return problem(key, f'{path}{relative}', Code.BAD_VALUE, text)


def team_shape_problems(key: str, payload: bytes) -> tuple[Problem, ...]:
    """List the faults of shape in the value of a team.

    The decoder of TeamSettings must have refused it. A fault of syntax that
    lies behind a fault of shape is found only here.
    """
    try:
        tree: object = msgspec.json.decode(payload)
    except (msgspec.DecodeError, RecursionError) as error:
        return (problem(key, ROOT, Code.SYNTAX, str(error)),)
    if not isinstance(tree, dict):
        return tuple(_part(key, ROOT, tree, TeamSettings))
    return (*_sections(key, tree), *_routes(key, tree))


def _part(
    key: str,
    path: str,
    part: object,
    kind: type,
) -> Iterator[Problem]:
    try:
        msgspec.convert(part, kind)
    except msgspec.ValidationError as error:
        yield shape_problem(key, path, str(error))


def _sections(key: str, tree: dict[str, object]) -> Iterator[Problem]:
    known = {section for section, _ in _SECTIONS} | {'routes'}
    for field in tree:
        if field not in known:
            text = f'Object contains unknown field `{field}`'
            yield problem(key, ROOT, Code.UNKNOWN_FIELD, text)
    for section, kind in _SECTIONS:
        path = f'{ROOT}.{section}'
        parts = tree.get(section, {})
        if isinstance(parts, dict):
            yield from _resources(key, path, parts, kind)
        else:
            yield from _part(key, path, parts, dict)


def _resources(
    key: str,
    path: str,
    parts: dict[str, object],
    kind: type,
) -> Iterator[Problem]:
    for name, part in parts.items():
        if not is_name(name):
            yield problem(key, path, Code.BAD_NAME, name)
        yield from _part(key, f'{path}.{name}', part, kind)


def _routes(key: str, tree: dict[str, object]) -> Iterator[Problem]:
    path = f'{ROOT}.routes'
    parts = tree.get('routes', [])
    if isinstance(parts, list):
        for index, part in enumerate(parts):
            yield from _part(key, f'{path}[{index}]', part, Route)
    else:
        yield from _part(key, path, parts, list)


def is_name(text: str) -> bool:
    """Tell whether a text has the form of a team's or resource's name."""
    try:
        msgspec.convert(text, Name)
    except msgspec.ValidationError:
        return False
    return True
