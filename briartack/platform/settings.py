"""The settings file of a process: lines of the form `a.b=value`."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final, final

import msgspec

from briartack.core.calls.call_rules import CallRules
from briartack.core.dissemination.store_rules import StoreRules

_ZONES: Final = 'zones.'
_BOUNDS: Final = 'bounds'
# Bytes between zones and regions are priced: a wait for a quarter of the slots
# costs less than another zone, and a large body goes elsewhere only when the
# owner refuses it.
_FULL_LOAD: Final = 1.25
_FULL_LOAD_LARGE: Final = 4.0
# What runs in the last sixth of the grace time may be cut; the process needs
# some of it to write out its last answers.
_DRAIN_SHARE: Final = 0.85
# How the platform asks for readiness: every second, out after two misses.
_READY_PERIOD_SECONDS: Final = 1.1
_READY_MISSES: Final = 2
# Reads that may lag do not count toward the store's rate.
_START_JITTER_SECONDS: Final = 0.1
# A restarted machine is out of touch for 3 s; it needs its configuration well
# before.
_REDIAL_SECONDS: Final = 1.0
# A machine that is cut from all others and reaches the store has to follow a
# change within 2 s; parents send a heartbeat each second.
_ORPHAN_SECONDS: Final = 1.3
# The bound of a change, 2 s, holds from 3 s after the store is back.
_DUTY_BACKOFF_SECONDS: Final = 1.0


@final
class SettingsError(ValueError):
    """Report a line or a field of the settings file that can't be used."""


@final
class _Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Decode the bounds that the product follows; others are passed over."""

    grace_s: float = 6.0
    retry_budget_ratio: float = 0.2
    budget_extra: float = 0.0  # repeats within the window, of all daemons
    cold_overage: float = 1.0
    cold_slack: float = 1.0


@final
class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the settings file adds to flags and variables."""

    regions: Mapping[str, str]  # by data centre
    drain_seconds: float
    rules: CallRules
    store_rules: StoreRules


def read_settings(path: Path, probe_seconds: float) -> ProcessSettings:
    """Read the file; raise SettingsError or OSError."""
    return decode_settings(path.read_text('utf-8'), probe_seconds)


def decode_settings(text: str, probe_seconds: float) -> ProcessSettings:
    """Decode the file; raise SettingsError."""
    fields = dict(_fields(text))
    regions = {
        name.removeprefix(_ZONES): region
        for name, region in fields.items()
        if name.startswith(_ZONES)
    }
    if not regions:
        raise SettingsError(f'no field {_ZONES}NAME says where zones lie')
    bounds = _bounds(fields.get(_BOUNDS, ''))
    return ProcessSettings(
        regions=regions,
        drain_seconds=bounds.grace_s * _DRAIN_SHARE,
        rules=CallRules(
            probe_seconds=probe_seconds,
            needs_identity=True,
            relays_outside_home=True,
            refuses_ambiguous_paths=False,
            counts_refusals=False,
            retry_ratio=bounds.retry_budget_ratio,
            retry_extra=bounds.budget_extra,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            full_load=_FULL_LOAD,
            full_load_large=_FULL_LOAD_LARGE,
            linger_seconds=_READY_MISSES * _READY_PERIOD_SECONDS,
        ),
        store_rules=StoreRules(
            start_jitter_seconds=_START_JITTER_SECONDS,
            duty_backoff_seconds=_DUTY_BACKOFF_SECONDS,
            redial_seconds=_REDIAL_SECONDS,
            orphan_seconds=_ORPHAN_SECONDS,
            reads_stale_list=True,
            is_duty_by_distance=True,
        ),
    )


def _fields(text: str) -> list[tuple[str, str]]:
    pairs: list[tuple[str, str]] = []
    for number, line in enumerate(text.splitlines(), start=1):
        name, separator, content = line.partition('=')
        if separator:
            pairs.append((name.strip(), content.strip()))
        elif line.strip():
            raise SettingsError(f'line {number} is not NAME=VALUE: {line!r}')
    return pairs


def _bounds(text: str) -> _Bounds:
    pairs = dict(part.partition('=')[::2] for part in text.split(',') if part)
    try:
        return msgspec.convert(pairs, _Bounds, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{_BOUNDS}: {error}') from None
