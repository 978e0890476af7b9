"""Which dialects and rules a daemon has, by its settings."""

from pathlib import Path
from typing import final

import msgspec

from briartack.core.calls.call_rules import CallRules
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.dialects import Dialects
from briartack.options import OptionError, Options
from briartack.own_dialects import own_dialects
from briartack.platform.connect import platform_dialects
from briartack.platform.settings import SettingsError, read_settings


@final
class Link(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what ties a daemon to its platform."""

    dialects: Dialects
    rules: CallRules
    store_rules: StoreRules
    drain_seconds: float


def connect(options: Options) -> Link:
    """Choose the dialects; raise ExceptionGroup of OptionError."""
    if options.dialect == 'own':
        rules = CallRules(probe_seconds=options.probe_seconds)
        return Link(
            dialects=own_dialects(),
            rules=rules,
            store_rules=DEFAULT_STORE_RULES,
            drain_seconds=options.drain_seconds,
        )
    try:
        if options.boot is None:
            raise SettingsError('missing')
        settings = read_settings(options.boot, options.probe_seconds)
    except (OSError, SettingsError) as error:
        wrong = OptionError(f'--boot (BRIARTACK_BOOT): {error}')
        raise ExceptionGroup('wrong settings file', [wrong]) from None
    return Link(
        dialects=platform_dialects(options, settings),
        rules=settings.rules,
        store_rules=settings.store_rules,
        drain_seconds=min(options.drain_seconds, settings.drain_seconds),
    )


@final
class SettingsWatch:
    """Notice that the settings file has changed, with or without a signal."""

    __slots__ = ('_options', '_content')

    def __init__(self, options: Options) -> None:
        """Remember the file as it was read at the start."""
        self._options = options
        self._content = _content_of(options.boot, otherwise=b'')

    def changed(self) -> Link | None:
        """Return the link of a changed file.

        Raises ExceptionGroup of OptionError; the file before stays in force.
        """
        content = _content_of(self._options.boot, otherwise=self._content)
        if content == self._content:
            return None
        self._content = content
        return connect(self._options)


def _content_of(path: Path | None, *, otherwise: bytes) -> bytes:
    if path is None:
        return b''
    try:
        return path.read_bytes()
    except OSError:
        # It is being replaced; the next look finds it.
        return otherwise
