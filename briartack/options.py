"""Settings of briartackd from flags and environment variables.

argparse splits the flags. defopt and argparse both stop at the first wrong
value, so the values are checked here, and all errors are reported at once.
"""

import argparse
import math
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Final, NoReturn, TypeAlias, final

from briartack.addresses import Address, format_address, parse_address

_Check: TypeAlias = Callable[[str], object]

_INSTANCE_ID: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_NAME: Final = re.compile('[a-z][a-z0-9-]{0,62}')
_SERVICE: Final = re.compile('[a-z][a-z0-9-]{0,62}/[a-z][a-z0-9-]{0,62}')
_MAX_DRAIN_SECONDS: Final = 3600
_DIALECTS: Final = ('own', 'platform')
_LOG_STREAMS: Final = ('stderr', 'stdout')
_LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')
_VARIABLE_PREFIX: Final = 'BRIARTACK_'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Hold the checked settings of one daemon."""

    instance_id: str
    service: str
    data_centre: str
    region: str
    caller_address: Address
    peer_address: Address
    operator_address: Address
    upstream_address: Address
    store_address: Address
    drain_seconds: float = 30.0
    log_level: str = 'info'
    record: Path | None = None
    dialect: str = 'own'
    boot: Path | None = None
    probe_seconds: float = 1.0
    metrics_address: Address | None = None
    log_stream: str = 'stderr'

    def as_fields(self) -> dict[str, str]:
        """Return the settings as text, for the log."""
        return {name: _as_text(getattr(self, name)) for name in self.__slots__}


@final
class OptionError(Exception):
    """Report one wrong setting with its flag, variable and fix."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Setting:
    name: str
    check: _Check
    fix: str
    default: str | None = None
    is_optional: bool = False

    @property
    def flag(self) -> str:
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable_name(self) -> str:
        return _VARIABLE_PREFIX + self.name.upper()

    def error(self, problem: str) -> OptionError:
        return OptionError(
            f'{self.flag} ({self.variable_name}): {problem}. {self.fix}',
        )


@final
class _Parser(argparse.ArgumentParser):
    """Raise usage errors instead of exiting at the first."""

    def error(self, message: str) -> NoReturn:
        """Raise OptionError."""
        raise OptionError(message)


def read_options(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Options:
    """Read all settings; a flag overrides its variable.

    Raises ExceptionGroup of OptionError.
    """
    given, errors = _split(arguments)
    checked: dict[str, object] = {}
    for setting in _SETTINGS:
        text = given.get(setting.name)
        if text is None:
            text = environment.get(setting.variable_name, setting.default)
        try:
            checked[setting.name] = _checked(setting, text)
        except OptionError as error:
            errors.append(error)
    errors.extend(_clashes(checked))
    if errors:
        raise ExceptionGroup('wrong flags or environment variables', errors)
    # Each check returns the type of the field with its name.
    return Options(**checked)  # type: ignore[arg-type]


def _split(
    arguments: Sequence[str],
) -> tuple[dict[str, str | None], list[OptionError]]:
    parser = _Parser(
        prog='briartackd',
        description='Run the mesh daemon beside one upstream instance.',
        allow_abbrev=False,
    )
    for setting in _SETTINGS:
        parser.add_argument(
            setting.flag,
            nargs='?',
            const='',
            help=f'{setting.fix} Variable: {setting.variable_name}.',
        )
    try:
        known, unknown = parser.parse_known_args(arguments)
    except OptionError as error:
        return {}, [error]
    return vars(known), [
        OptionError(f'{text}: unknown argument. Run briartackd --help.')
        for text in unknown
    ]


def _checked(setting: _Setting, text: str | None) -> object:
    if text is None:
        if setting.is_optional:
            return None
        raise setting.error('missing')
    try:
        return setting.check(text)
    except (ValueError, OSError) as error:
        raise setting.error(str(error)) from None


def _clashes(checked: Mapping[str, object]) -> list[OptionError]:
    seen: dict[object, _Setting] = {}
    errors = []
    for setting in _SETTINGS:
        if setting.name not in _LISTENING:
            continue
        address = checked.get(setting.name)
        if address is not None and address in seen:
            errors.append(
                setting.error(f'same address as {seen[address].flag}'),
            )
        seen.setdefault(address, setting)
    return errors


def _as_text(chosen: object) -> str:
    if isinstance(chosen, tuple):
        return format_address(chosen)
    return '' if chosen is None else str(chosen)


def _check_instance_id(text: str) -> str:
    if _INSTANCE_ID.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not an instance id')
    return text


def _check_name(text: str) -> str:
    if _NAME.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not a name')
    return text


def _check_service(text: str) -> str:
    if _SERVICE.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not a service of a team')
    return text


def _check_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= _MAX_DRAIN_SECONDS:
        raise ValueError(f'{text!r} is not in 0 to {_MAX_DRAIN_SECONDS}')
    return seconds


def _check_log_level(text: str) -> str:
    if text not in _LOG_LEVELS:
        raise ValueError(f'{text!r} is not a log level')
    return text


def _check_log_stream(text: str) -> str:
    if text not in _LOG_STREAMS:
        raise ValueError(f'{text!r} is not a stream')
    return text


def _check_dialect(text: str) -> str:
    if text not in _DIALECTS:
        raise ValueError(f'{text!r} is not a dialect')
    return text


def _check_boot(text: str) -> Path:
    path = Path(text)
    if not path.is_file():
        raise ValueError(f'{text!r} is not a file')
    return path


def _check_record(text: str) -> Path:
    path = Path(text)
    if not text or path.is_dir() or not path.parent.is_dir():
        raise ValueError(f'{text!r} is not a file in an existing directory')
    return path


_ADDRESS_FIX: Final = 'Give an address as IP:PORT, such as 127.0.0.1:7001.'
_NAME_FIX: Final = (
    'Give a name of at most 63 lower-case letters, digits and hyphens.'
)
_LISTENING: Final = frozenset(
    ('caller_address', 'peer_address', 'operator_address'),
)
_SETTINGS: Final = (
    _Setting(
        name='instance_id',
        check=_check_instance_id,
        fix='Give the id that the platform lists for this instance.',
    ),
    _Setting(
        name='service',
        check=_check_service,
        fix='Give TEAM/NAME, as the platform lists it for this instance.',
    ),
    _Setting(name='data_centre', check=_check_name, fix=_NAME_FIX),
    _Setting(name='region', check=_check_name, fix=_NAME_FIX),
    *(
        _Setting(name=name, check=parse_address, fix=_ADDRESS_FIX)
        for name in (
            'caller_address',
            'peer_address',
            'operator_address',
            'upstream_address',
            'store_address',
        )
    ),
    _Setting(
        name='drain_seconds',
        check=_check_seconds,
        fix=f'Give seconds from 0 to {_MAX_DRAIN_SECONDS}.',
        default='30',
    ),
    _Setting(
        name='log_level',
        check=_check_log_level,
        fix='Give debug, info, warning or error.',
        default='info',
    ),
    _Setting(
        name='record',
        check=_check_record,
        fix='Give a file for the event trace.',
        is_optional=True,
    ),
    _Setting(
        name='dialect',
        check=_check_dialect,
        fix='Give own or platform.',
        default='own',
    ),
    _Setting(
        name='boot',
        check=_check_boot,
        fix="Give the platform's settings file; dialect platform needs it.",
        is_optional=True,
    ),
    _Setting(
        name='probe_seconds',
        check=_check_seconds,
        fix=f'Give seconds from 0 to {_MAX_DRAIN_SECONDS}.',
        default='1',
    ),
    _Setting(
        name='log_stream',
        check=_check_log_stream,
        fix='Give stderr or stdout.',
        default='stderr',
    ),
    _Setting(
        name='metrics_address',
        check=parse_address,
        fix=_ADDRESS_FIX,
        is_optional=True,
    ),
)
