"""Which dialects and rules a daemon has, by its settings."""

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


def connect(options: Options) -> Link:
    """Choose the dialects; raise ExceptionGroup of OptionError."""
    if options.dialect == 'own':
        rules = CallRules(probe_seconds=options.probe_seconds)
        return Link(
            dialects=own_dialects(),
            rules=rules,
            store_rules=DEFAULT_STORE_RULES,
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
    )
