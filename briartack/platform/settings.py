"""Read the settings file that a platform gives to a daemon.

The option `--boot` names the file, whose lines have the form NAME=VALUE. The
module derives the call rules, the store rules and the drain time from the file.
"""

import math
from collections.abc import Mapping
from typing import Final, final

import msgspec

from briartack.core.calls.call_rules import CallRules
from briartack.core.dissemination.store_rules import StoreRules
from briartack.core.units import MILLISECONDS_PER_SECOND

_ZONE_PREFIX: Final = 'zones.'
_BOUNDS_FIELD: Final = 'bounds'
_SERVICE_FIELD: Final = 'service'
_LIMITS_PREFIX: Final = 'limits.'
_BYTES_PER_MEGABIT: Final = 125_000
# The platform charges for bytes between zones and regions. A queue of a quarter
# of the slots costs less than another zone, and a large body goes elsewhere
# only if the owner refuses it.
_FULL_LOAD: Final = 1.25
_FULL_LOAD_LARGE_BODY: Final = 4.0
# The platform lets an upstream get half as many requests again as it says it
# takes. Most of that is left for a restarted daemon that has yet to hear of
# the limit.
_STATED_LIMIT_OVERAGE: Final = 1.2
# Requests that run in the last sixth of the grace time may be aborted. The
# process needs part of the grace time to write its last responses.
_DRAIN_FRACTION: Final = 0.85
# The last bytes of responses are written until so long before the end of the
# grace time. The process takes 0.1 s to end, and longer on a busy machine.
_EXIT_SECONDS: Final = 0.4
# The platform probes readiness every second and takes an instance out of
# service after two failed probes.
_READY_PERIOD_SECONDS: Final = 1.1
_FAILED_READY_PROBES: Final = 2
# Reads that may lag do not count toward the store's rate limit, so a short
# random delay of the first read is enough.
_START_JITTER_SECONDS: Final = 0.1
# A restarted machine may be out of touch for 3 s, and it needs its
# configuration well before that.
_REDIAL_SECONDS: Final = 1.0
# A machine that reaches the store but no other machine must apply a change
# within 2 s; parents send a heartbeat every second.
_ORPHAN_SECONDS: Final = 1.3
# A pull that is not answered has timed out after 0.5 s, after a delay of 0.3 s
# if the peer is in another region.
_OVERDUE_SECONDS: Final = 0.8
# A change must be applied within the platform's bound. A watcher notices a
# silent store after these shares of the bound, which leaves the rest for
# another daemon to read the change and to spread it.
_WATCH_WAIT_FRACTION: Final = 0.3
_WATCH_GRACE_FRACTION: Final = 0.25
# From 3 s after the store has recovered, a change must be applied within 2 s.
_DUTY_BACKOFF_SECONDS: Final = 1.0


@final
class SettingsError(ValueError):
    """Report an invalid line or field of the settings file."""


@final
class _Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the bounds that the product observes; others are ignored."""

    grace_s: float = 6.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.2
    budget_extra: float = 0.0  # retries within the window, of all daemons
    cold_overage: float = 1.0
    cold_slack: float = 1.0


@final
class _Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the limits of the process; others are ignored.

    A number that is no bound, such as 0 or infinity, states no limit.
    """

    memory_mb: float | None = None
    max_fds: int | None = None
    link_mbps: float | None = None


@final
class ProcessSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the settings that supplement flags and environment variables."""

    regions: Mapping[str, str]  # keyed by data centre
    drain_seconds: float
    exit_flush_seconds: float
    rules: CallRules
    store_rules: StoreRules
    memory_mb: float | None  # None if the platform states no limit
    max_descriptors: int | None
    service: str  # empty if the file states none


def decode_settings(text: str, probe_seconds: float) -> ProcessSettings:
    """Decode the text of a settings file.

    Raises SettingsError.
    """
    fields = dict(_parse_fields(text))
    regions = {
        name.removeprefix(_ZONE_PREFIX): region
        for name, region in fields.items()
        if name.startswith(_ZONE_PREFIX)
    }
    if not regions:
        raise SettingsError(
            f'no field {_ZONE_PREFIX}NAME gives the region of a zone'
        )
    bounds = _parse_bounds(fields.get(_BOUNDS_FIELD, ''))
    limits = _parse_limits(fields)
    apply_seconds = bounds.config_apply_ms / MILLISECONDS_PER_SECOND
    drain_seconds = bounds.grace_s * _DRAIN_FRACTION
    exit_flush_seconds = bounds.grace_s - drain_seconds - _EXIT_SECONDS
    return ProcessSettings(
        regions=regions,
        drain_seconds=drain_seconds,
        exit_flush_seconds=max(0, exit_flush_seconds),
        memory_mb=limits.memory_mb,
        max_descriptors=limits.max_fds,
        service=fields.get(_SERVICE_FIELD, ''),
        rules=CallRules(
            probe_seconds=probe_seconds,
            requires_identity=True,
            relays_outside_home=True,
            refuses_ambiguous_paths=False,
            counts_refusals=False,
            retry_ratio=bounds.retry_budget_ratio,
            retry_burst=bounds.budget_extra,
            cold_overage=bounds.cold_overage,
            cold_slack=bounds.cold_slack,
            stated_limit_overage=_STATED_LIMIT_OVERAGE,
            full_load=_FULL_LOAD,
            large_body_full_load=_FULL_LOAD_LARGE_BODY,
            # At the peaks of a deployment with shared hosts, the choice by
            # load answered a tenth more calls in time.
            chooses_by_completion=False,
            link_bytes_per_second=_convert_link_rate(limits.link_mbps),
            linger_seconds=_FAILED_READY_PROBES * _READY_PERIOD_SECONDS,
        ),
        store_rules=StoreRules(
            start_jitter_seconds=_START_JITTER_SECONDS,
            duty_backoff_seconds=_DUTY_BACKOFF_SECONDS,
            watch_wait_seconds=apply_seconds * _WATCH_WAIT_FRACTION,
            watch_grace_seconds=apply_seconds * _WATCH_GRACE_FRACTION,
            redial_seconds=_REDIAL_SECONDS,
            orphan_seconds=_ORPHAN_SECONDS,
            overdue_seconds=_OVERDUE_SECONDS,
            reads_stale_list=True,
            is_duty_by_distance=True,
        ),
    )


def _parse_fields(text: str) -> list[tuple[str, str]]:
    pairs: list[tuple[str, str]] = []
    for number, line in enumerate(text.splitlines(), start=1):
        name, separator, content = line.partition('=')
        if separator:
            pairs.append((name.strip(), content.strip()))
        elif line.strip():
            raise SettingsError(
                f'line {number} is not of the form NAME=VALUE: {line!r}'
            )
    return pairs


def _parse_limits(fields: Mapping[str, str]) -> _Limits:
    texts = {
        name.removeprefix(_LIMITS_PREFIX): text
        for name, text in fields.items()
        if name.startswith(_LIMITS_PREFIX) and text
    }
    try:
        limits = msgspec.convert(texts, _Limits, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{_LIMITS_PREFIX}*: {error}') from None
    memory_mb = limits.memory_mb
    if memory_mb is None or not 0 < memory_mb < math.inf:
        memory_mb = None
    max_fds = limits.max_fds
    if max_fds is None or max_fds <= 0:
        max_fds = None
    link_mbps = limits.link_mbps
    if link_mbps is None or not 0 < link_mbps < math.inf:
        link_mbps = None
    return _Limits(memory_mb=memory_mb, max_fds=max_fds, link_mbps=link_mbps)


def _convert_link_rate(link_mbps: float | None) -> float | None:
    return None if link_mbps is None else link_mbps * _BYTES_PER_MEGABIT


def _parse_bounds(text: str) -> _Bounds:
    pairs = dict(part.partition('=')[::2] for part in text.split(',') if part)
    try:
        return msgspec.convert(pairs, _Bounds, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(f'{_BOUNDS_FIELD}: {error}') from None
