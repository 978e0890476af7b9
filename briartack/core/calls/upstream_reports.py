"""Log lines and counts of what the owner learns about its upstream."""

from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.effects import Count, Effects, LogLevel, WriteLog
from briartack.core.events import UpstreamProbed
from briartack.core.units import MILLISECONDS_PER_SECOND


def report_ramp_restart(cause: str) -> Effects:
    """Count and log a restart of the slow start."""
    return [
        Count(name='ramps_restarted', attributes=(('cause', cause),)),
        WriteLog(
            level=LogLevel.WARNING,
            code='ramp-restarted',
            fields=(('cause', cause),),
        ),
    ]


def report_stated_limit(
    upstream: LocalUpstream, per_second: float | None
) -> WriteLog:
    """Log the requests per second that the upstream says it takes."""
    fields = (
        ('upstream', upstream.health.identity),
        ('per_second', '' if per_second is None else f'{per_second:g}'),
    )
    return WriteLog(level=LogLevel.INFO, code='upstream-limit', fields=fields)


def report_health(upstream: LocalUpstream, event: UpstreamProbed) -> WriteLog:
    """Log the health and the identity that a probe reports."""
    cold_seconds = event.cold_seconds or 0
    return WriteLog(
        level=LogLevel.INFO,
        code='upstream-health',
        fields=(
            ('upstream', upstream.health.identity),
            ('open', str(upstream.is_open)),
            ('cold_ms', f'{cold_seconds * MILLISECONDS_PER_SECOND:.0f}'),
            ('running', str(upstream.running)),
        ),
    )
