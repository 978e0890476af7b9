"""Validation of a single value of the store, independent of other keys.

Because no other key is consulted, every daemon and the command line reach
the same result for a version, whatever other versions they hold.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, TypeVar

import msgspec

from briartack.core.configuration.problems import (
    Code,
    InvalidValueError,
    Problem,
    make_problem,
)
from briartack.core.configuration.schema_problems import (
    ROOT,
    find_team_schema_problems,
    is_name,
    parse_schema_error,
)
from briartack.core.configuration.settings import (
    InstanceRecord,
    PlatformSettings,
    Policy,
    Route,
    ServiceLimits,
    TeamSettings,
    Workspace,
)
from briartack.core.configuration.value_checks import (
    find_list_problems,
    find_tenant_problems,
)
from briartack.core.entries import (
    INSTANCE_PREFIX,
    TEAM_PREFIX,
    is_platform_key,
)

MAX_VALUE_BYTES: Final = 1_048_576  # the store rejects larger values
FIELD_OF_KIND: Final = MappingProxyType(
    {'services': 'service', 'policies': 'policy', 'workspaces': 'workspace'},
)
_MAX_PORT: Final = 65535
_DOT_SEGMENTS: Final = frozenset(('.', '..'))
# The percent sign is forbidden because callers write the same escaped path
# in several ways.
_FORBIDDEN_PREFIX_CHARACTERS: Final = frozenset(('?', '#', '\\', ' ', '%'))

Resource: TypeAlias = ServiceLimits | Policy | Workspace

_Decoded = TypeVar('_Decoded')
_TEAM_DECODER: Final = msgspec.json.Decoder(TeamSettings)
_PLATFORM_DECODER: Final = msgspec.json.Decoder(PlatformSettings)
_INSTANCE_DECODER: Final = msgspec.json.Decoder(InstanceRecord)


def validate_team(key: str, text: str) -> TeamSettings:
    """Decode and validate the settings of a team.

    Raises InvalidValueError.
    """
    team = parse_team_key(key)
    settings = _decode(key, text, _TEAM_DECODER, find_team_schema_problems)
    _raise_if_any(_find_team_problems(key, team, settings))
    return settings


def validate_platform(key: str, text: str) -> PlatformSettings:
    """Decode and validate the out-of-service lists of a platform key.

    Raises InvalidValueError.
    """
    if not is_platform_key(key):
        raise InvalidValueError((make_problem(key, ROOT, Code.UNKNOWN_KEY),))
    settings = _decode(key, text, _PLATFORM_DECODER)
    _raise_if_any(
        (
            *find_list_problems(
                key,
                f'{ROOT}.data_centres_out',
                settings.data_centres_out,
            ),
            *find_list_problems(
                key,
                f'{ROOT}.instances_out',
                settings.instances_out,
            ),
        ),
    )
    return settings


def validate_instance(key: str, text: str) -> InstanceRecord:
    """Decode and validate the record of an instance.

    Raises InvalidValueError.
    """
    name = key.removeprefix(INSTANCE_PREFIX)
    if name == key:
        raise InvalidValueError((make_problem(key, ROOT, Code.UNKNOWN_KEY),))
    if not name or not name.isprintable() or ' ' in name or '/' in name:
        raise InvalidValueError((make_problem(key, ROOT, Code.KEY_NAME, name),))
    record = _decode(key, text, _INSTANCE_DECODER)
    if not is_address(record.peer_address):
        path = f'{ROOT}.peer_address'
        address = record.peer_address
        _raise_if_any((make_problem(key, path, Code.ADDRESS, address),))
    return record


def parse_team_key(key: str) -> str:
    """Return the team whose settings a key holds.

    Raises InvalidValueError if the key is not that of a team.
    """
    name = key.removeprefix(TEAM_PREFIX)
    if name == key:
        raise InvalidValueError((make_problem(key, ROOT, Code.UNKNOWN_KEY),))
    if not is_name(name):
        raise InvalidValueError((make_problem(key, ROOT, Code.KEY_NAME, name),))
    return name


def is_address(text: str) -> bool:
    """Return whether a text has the form IP:PORT."""
    host, _, port = text.rpartition(':')
    if not host or ' ' in host or not (port.isascii() and port.isdecimal()):
        return False
    return 0 < int(port) <= _MAX_PORT


def split_reference(reference: str, own_team: str) -> tuple[str, str]:
    """Split a reference into team and name; the own team is the default."""
    team, _, name = reference.rpartition('/')
    return (team or own_team, name)


def iterate_references(route: Route) -> Iterator[tuple[str, str]]:
    """Yield the resource kind and the text of each reference of a route."""
    yield 'services', route.service
    yield 'policies', route.policy
    for share in route.split:
        yield 'services', share.service
    if route.workspace is not None:
        yield 'workspaces', route.workspace


def get_section(settings: TeamSettings, kind: str) -> Mapping[str, Resource]:
    """Return the resources of one kind that a team defines."""
    if kind == 'services':
        return settings.services
    if kind == 'policies':
        return settings.policies
    return settings.workspaces


def _decode(
    key: str,
    text: str,
    decoder: msgspec.json.Decoder[_Decoded],
    find_problems: Callable[[str, bytes], tuple[Problem, ...]] | None = None,
) -> _Decoded:
    payload = _encode(key, text)
    try:
        return decoder.decode(payload)
    except msgspec.ValidationError as error:
        found = find_problems(key, payload) if find_problems else ()
        whole = (parse_schema_error(key, ROOT, str(error)),)
        raise InvalidValueError(found or whole) from error
    except (msgspec.DecodeError, RecursionError) as error:
        wrong = make_problem(key, ROOT, Code.SYNTAX, str(error))
        raise InvalidValueError((wrong,)) from error


def _encode(key: str, text: str) -> bytes:
    try:
        payload = text.encode()
    except UnicodeEncodeError as error:
        wrong = make_problem(key, ROOT, Code.NOT_UNICODE, error.reason)
        raise InvalidValueError((wrong,)) from error
    if len(payload) > MAX_VALUE_BYTES:
        _raise_if_any((make_problem(key, ROOT, Code.TOO_LARGE, len(payload)),))
    return payload


def _raise_if_any(problems: Iterable[Problem]) -> None:
    found = tuple(problems)
    if found:
        raise InvalidValueError(found)


def _find_team_problems(
    key: str,
    team: str,
    settings: TeamSettings,
) -> Iterator[Problem]:
    for name, workspace in settings.workspaces.items():
        place = f'{ROOT}.workspaces.{name}'
        yield from find_list_problems(
            key, f'{place}.tenants', workspace.tenants
        )
        yield from _find_tenant_name_problems(key, place, workspace.tenants)
        yield from find_list_problems(
            key,
            f'{place}.home_regions',
            workspace.home_regions,
        )
    yield from find_tenant_problems(key, settings)
    counts = Counter(route.name for route in settings.routes)
    for index, route in enumerate(settings.routes):
        path = f'{ROOT}.routes[{index}]'
        if counts[route.name] > 1:
            repeated = route.name
            yield make_problem(
                key, f'{path}.name', Code.DUPLICATE_ROUTE, repeated
            )
        yield from _find_route_problems(key, path, route)
        yield from _find_own_reference_problems(
            key, path, route, team, settings
        )


def _find_tenant_name_problems(
    key: str,
    place: str,
    tenants: tuple[str, ...],
) -> Iterator[Problem]:
    for tenant in tenants:
        # A header cannot carry such a name, so the workspace would never
        # apply to the tenant.
        if not (tenant.isascii() and tenant.isprintable()):
            yield make_problem(key, f'{place}.tenants', Code.TENANT, tenant)


def _find_route_problems(
    key: str, path: str, route: Route
) -> Iterator[Problem]:
    prefix = route.path_prefix
    segments = prefix.split('/')
    if not _has_allowed_characters(prefix) or not _DOT_SEGMENTS.isdisjoint(
        segments
    ):
        yield make_problem(key, f'{path}.path_prefix', Code.PATH_PREFIX, prefix)
    if route.split and not sum(share.weight for share in route.split):
        yield make_problem(key, f'{path}.split', Code.NO_WEIGHT)
    place = f'{path}.methods'
    for method in route.methods:
        if not (method.isascii() and method.isalpha() and method.isupper()):
            yield make_problem(key, place, Code.METHOD, method)
    if route.methods:
        yield from find_list_problems(key, place, route.methods)


def _has_allowed_characters(prefix: str) -> bool:
    is_visible = prefix.isascii() and prefix.isprintable()
    return is_visible and _FORBIDDEN_PREFIX_CHARACTERS.isdisjoint(prefix)


def _find_own_reference_problems(
    key: str,
    path: str,
    route: Route,
    own_team: str,
    settings: TeamSettings,
) -> Iterator[Problem]:
    for kind, reference in iterate_references(route):
        team, name = split_reference(reference, own_team)
        if team == own_team and name not in get_section(settings, kind):
            missing = f'{kind} {team}/{name}'
            place = f'{path}.{FIELD_OF_KIND[kind]}'
            yield make_problem(key, place, Code.OWN_REFERENCE, missing)
