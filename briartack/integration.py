"""Choose the dialects and rules of a daemon from its options.

The dialect `platform` also reads the settings file of the platform.
"""

from pathlib import Path
from typing import Final, final

import msgspec

from briartack.core.calls.call_rules import CallRules
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.dialects import Dialects
from briartack.native_dialects import create_native_dialects
from briartack.options import OptionError, Options
from briartack.platform.connect import create_platform_dialects
from briartack.platform.names import (
    encode_name,
    qualify_service,
    strip_team,
)
from briartack.platform.settings import SettingsError, decode_settings

# The last bytes of responses are written for at most so long after the drain.
_EXIT_FLUSH_SECONDS: Final = 0.5
# A stop ends only after callers are refused, and the requests that are taken
# until then need the rest of the drain time.
_MAX_LINGER_FRACTION: Final = 0.5


@final
class PlatformIntegration(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the dialects, rules and drain time of one daemon.

    The last bytes of responses are written for at most `exit_flush_seconds`
    after the drain time.
    """

    dialects: Dialects
    rules: CallRules
    store_rules: StoreRules
    drain_seconds: float
    exit_flush_seconds: float
    memory_mb: float  # that the process may use
    max_descriptors: int | None  # None if only the system limits them
    service: str  # as the list of instances names it
    region: str
    settings_content: bytes = b''  # of the settings file, as it was read


def load_integration(
    options: Options, content: bytes | None = None
) -> PlatformIntegration:
    """Return the dialects, rules and drain time that the options select.

    Reads the settings file unless its content is given. Raises ExceptionGroup
    of OptionError.
    """
    if options.dialect == 'own':
        rules = CallRules(probe_seconds=options.probe_seconds)
        return PlatformIntegration(
            dialects=create_native_dialects(),
            rules=rules,
            store_rules=DEFAULT_STORE_RULES,
            drain_seconds=options.drain_seconds,
            exit_flush_seconds=_EXIT_FLUSH_SECONDS,
            memory_mb=options.memory_mb,
            max_descriptors=None,
            service=options.service,
            region=options.region,
        )
    try:
        if options.boot is None:
            raise SettingsError('missing')
        if content is None:
            content = options.boot.read_bytes()
        settings = decode_settings(content.decode(), options.probe_seconds)
    except (OSError, ValueError) as error:
        wrong = OptionError(f'--boot (BRIARTACK_BOOT): {error}')
        raise ExceptionGroup('invalid settings file', [wrong]) from None
    drain_seconds = min(options.drain_seconds, settings.drain_seconds)
    # The file may change while the daemon runs, the option can't.
    service = settings.service or strip_team(options.service)
    return PlatformIntegration(
        dialects=create_platform_dialects(options, settings, service),
        rules=_limit_linger(settings.rules, drain_seconds),
        store_rules=settings.store_rules,
        drain_seconds=drain_seconds,
        exit_flush_seconds=settings.exit_flush_seconds,
        memory_mb=settings.memory_mb or options.memory_mb,
        max_descriptors=settings.max_descriptors,
        service=qualify_service(service),
        region=encode_name(options.region),
        settings_content=content,
    )


@final
class SettingsFileWatcher:
    """Detect changes of the settings file by comparing its content."""

    __slots__ = ('_options', '_content')

    def __init__(self, *, options: Options, content: bytes) -> None:
        """Set the content that the settings in force come from."""
        self._options = options
        self._content = content

    def reload_if_changed(self) -> PlatformIntegration | None:
        """Return the new dialects and rules, or None if the file is unchanged.

        Raises ExceptionGroup of OptionError; the previous settings stay in
        force then.
        """
        content = _read_content(self._options.boot, fallback=self._content)
        if content == self._content:
            return None
        self._content = content
        # Reading again could see a file that is being rewritten.
        return load_integration(self._options, content)


def _limit_linger(rules: CallRules, drain_seconds: float) -> CallRules:
    longest_seconds = drain_seconds * _MAX_LINGER_FRACTION
    return msgspec.structs.replace(
        rules, linger_seconds=min(rules.linger_seconds, longest_seconds)
    )


def _read_content(path: Path | None, *, fallback: bytes) -> bytes:
    if path is None:
        return b''
    try:
        return path.read_bytes()
    except OSError:
        # The file is being replaced; the next check will read the new one.
        return fallback
