"""Read the settings of briartackd from flags and environment variables.

argparse only splits the flags. defopt and argparse both stop at the first
invalid value, so this module parses the values and reports all errors at once.
"""

import argparse
import math
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Final, NoReturn, TypeAlias, final

from briartack.addresses import Address, format_address, parse_address

_Parse: TypeAlias = Callable[[str], object]

_INSTANCE_ID_PATTERN: Final = re.compile('[a-z0-9][a-z0-9._-]{0,62}')
_NAME_PATTERN: Final = re.compile('[a-z][a-z0-9-]{0,62}')
_SERVICE_PATTERN: Final = re.compile(
    '[a-z][a-z0-9-]{0,62}/[a-z][a-z0-9-]{0,62}'
)
# A platform chooses names of any form; its dialect translates them.
_FOREIGN_NAME_PATTERN: Final = re.compile(r'\S{1,255}')
_FOREIGN_SERVICE_PATTERN: Final = re.compile(r'[a-z][a-z0-9-]{0,62}/\S{1,255}')
_MAX_SECONDS: Final = 3600
_MIN_MEMORY_MB: Final = 64
_DIALECTS: Final = ('own', 'platform')
_LOG_STREAMS: Final = ('stderr', 'stdout')
_LOG_LEVELS: Final = ('debug', 'info', 'warning', 'error')
_VARIABLE_PREFIX: Final = 'BRIARTACK_'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """Hold the validated settings of one daemon."""

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
    memory_mb: float = 256.0
    metrics_address: Address | None = None
    log_stream: str = 'stderr'

    def format_fields(self) -> dict[str, str]:
        """Return the settings as texts by name, for the log."""
        return {
            name: _format_setting(getattr(self, name))
            for name in self.__slots__
        }


@final
class OptionError(Exception):
    """Report one invalid setting with its flag, its variable and a fix."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _Setting:
    """Describe the flag, the parser and the default of one setting."""

    name: str
    parse: _Parse
    fix: str
    default: str | None = None
    is_optional: bool = False
    parse_foreign: _Parse | None = None  # with the dialect of a platform

    @property
    def flag(self) -> str:
        return f'--{self.name.replace("_", "-")}'

    @property
    def variable_name(self) -> str:
        return _VARIABLE_PREFIX + self.name.upper()

    def create_error(self, problem: str) -> OptionError:
        return OptionError(
            f'{self.flag} ({self.variable_name}): {problem}. {self.fix}',
        )


@final
class _Parser(argparse.ArgumentParser):
    """Raise usage errors instead of exiting the process."""

    def error(self, message: str) -> NoReturn:
        """Raise OptionError with the message of argparse."""
        raise OptionError(message)


def read_options(
    arguments: Sequence[str],
    environment: Mapping[str, str],
) -> Options:
    """Return the validated settings; a flag overrides its variable.

    Raises ExceptionGroup of OptionError.
    """
    flag_texts, errors = _parse_arguments(arguments)
    parsed: dict[str, object] = {}
    texts = {
        setting.name: _find_text(setting, flag_texts, environment)
        for setting in _SETTINGS
    }
    is_foreign = texts['dialect'] == 'platform'
    for setting in _SETTINGS:
        try:
            parsed[setting.name] = _parse_setting(
                setting, texts[setting.name], is_foreign=is_foreign
            )
        except OptionError as error:
            errors.append(error)
    errors.extend(_find_address_clashes(parsed))
    if errors:
        raise ExceptionGroup('invalid flags or environment variables', errors)
    # Each parser returns the type of the field that its setting names.
    return Options(**parsed)  # type: ignore[arg-type]


def _parse_arguments(
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


def _find_text(
    setting: _Setting,
    flag_texts: Mapping[str, str | None],
    environment: Mapping[str, str],
) -> str | None:
    text = flag_texts.get(setting.name)
    if text is None:
        return environment.get(setting.variable_name, setting.default)
    return text


def _parse_setting(
    setting: _Setting, text: str | None, *, is_foreign: bool
) -> object:
    if text is None:
        if setting.is_optional:
            return None
        raise setting.create_error('missing')
    parse = setting.parse
    if is_foreign and setting.parse_foreign is not None:
        parse = setting.parse_foreign
    try:
        return parse(text)
    except (ValueError, OSError) as error:
        raise setting.create_error(str(error)) from None


def _find_address_clashes(parsed: Mapping[str, object]) -> list[OptionError]:
    seen: dict[object, _Setting] = {}
    errors = []
    for setting in _SETTINGS:
        if setting.name not in _LISTENING_SETTINGS:
            continue
        address = parsed.get(setting.name)
        if address is not None and address in seen:
            errors.append(
                setting.create_error(f'same address as {seen[address].flag}'),
            )
        seen.setdefault(address, setting)
    return errors


def _format_setting(setting_value: object) -> str:
    if isinstance(setting_value, tuple):
        return format_address(setting_value)
    return '' if setting_value is None else str(setting_value)


def _parse_instance_id(text: str) -> str:
    if _INSTANCE_ID_PATTERN.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not a valid instance id')
    return text


def _parse_name(text: str, pattern: re.Pattern[str] = _NAME_PATTERN) -> str:
    if pattern.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not a valid name')
    return text


def _parse_service(
    text: str, pattern: re.Pattern[str] = _SERVICE_PATTERN
) -> str:
    if pattern.fullmatch(text) is None:
        raise ValueError(f'{text!r} is not of the form TEAM/NAME')
    return text


_parse_foreign_name: Final = partial(_parse_name, pattern=_FOREIGN_NAME_PATTERN)
_parse_foreign_service: Final = partial(
    _parse_service, pattern=_FOREIGN_SERVICE_PATTERN
)


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 <= seconds <= _MAX_SECONDS:
        raise ValueError(f'{text!r} is not a number from 0 to {_MAX_SECONDS}')
    return seconds


def _parse_interval(text: str) -> float:
    seconds = _parse_seconds(text)
    if not seconds:
        raise ValueError(f'{text!r} is not above 0')
    return seconds


def _parse_memory(text: str) -> float:
    try:
        megabytes = float(text)
    except ValueError:
        megabytes = math.nan
    if not _MIN_MEMORY_MB <= megabytes < math.inf:
        raise ValueError(f'{text!r} is not a number from {_MIN_MEMORY_MB} on')
    return megabytes


def _parse_log_level(text: str) -> str:
    if text not in _LOG_LEVELS:
        raise ValueError(f'{text!r} is not a log level')
    return text


def _parse_log_stream(text: str) -> str:
    if text not in _LOG_STREAMS:
        raise ValueError(f'{text!r} is not a log stream')
    return text


def _parse_dialect(text: str) -> str:
    if text not in _DIALECTS:
        raise ValueError(f'{text!r} is not a dialect')
    return text


def _parse_boot(text: str) -> Path:
    path = Path(text)
    # The platform may not have written the file yet.
    if not text or path.is_dir():
        raise ValueError(f'{text!r} is not a file')
    return path


def _parse_record(text: str) -> Path:
    path = Path(text)
    if not text or path.is_dir() or not path.parent.is_dir():
        raise ValueError(f'{text!r} is not a file in an existing directory')
    return path


_ADDRESS_FIX: Final = 'Give an address as IP:PORT, such as 127.0.0.1:7001.'
_NAME_FIX: Final = (
    'Give a name of at most 63 lower-case letters, digits and hyphens.'
)
_LISTENING_SETTINGS: Final = frozenset(
    ('caller_address', 'peer_address', 'operator_address'),
)
_SETTINGS: Final = (
    _Setting(
        name='instance_id',
        parse=_parse_instance_id,
        fix='Give the id that the platform lists for this instance.',
    ),
    _Setting(
        name='service',
        parse=_parse_service,
        fix='Give TEAM/NAME, as the platform lists it for this instance.',
        parse_foreign=_parse_foreign_service,
    ),
    *(
        _Setting(
            name=name,
            parse=_parse_name,
            fix=_NAME_FIX,
            parse_foreign=_parse_foreign_name,
        )
        for name in ('data_centre', 'region')
    ),
    *(
        _Setting(name=name, parse=parse_address, fix=_ADDRESS_FIX)
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
        parse=_parse_seconds,
        fix=f'Give seconds from 0 to {_MAX_SECONDS}.',
        default='30',
    ),
    _Setting(
        name='log_level',
        parse=_parse_log_level,
        fix='Give debug, info, warning or error.',
        default='info',
    ),
    _Setting(
        name='record',
        parse=_parse_record,
        fix='Give a file for the event trace.',
        is_optional=True,
    ),
    _Setting(
        name='dialect',
        parse=_parse_dialect,
        fix='Give own or platform.',
        default='own',
    ),
    _Setting(
        name='boot',
        parse=_parse_boot,
        fix="Give the platform's settings file; dialect platform needs it.",
        is_optional=True,
    ),
    _Setting(
        name='probe_seconds',
        parse=_parse_interval,
        fix=f'Give seconds above 0 and up to {_MAX_SECONDS}.',
        default='1',
    ),
    _Setting(
        name='memory_mb',
        parse=_parse_memory,
        fix='Give the megabytes above which the process would be ended.',
        default='256',
    ),
    _Setting(
        name='log_stream',
        parse=_parse_log_stream,
        fix='Give stderr or stdout.',
        default='stderr',
    ),
    _Setting(
        name='metrics_address',
        parse=parse_address,
        fix=_ADDRESS_FIX,
        is_optional=True,
    ),
)
