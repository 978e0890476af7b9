"""Log lines about the watch of the store."""

from typing import Final

from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import StoreRead, StoreWatched
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    Era,
    Revision,
    format_revision,
)

DUTY_CHANGED: Final = 'store-duty'
WATCH_ANSWERED: Final = 'store-watch-answered'
HISTORY_GONE: Final = 'store-history-gone'
ERA_CHANGED: Final = 'store-era'


def report_duty(complete: Revision | None, *, is_on_duty: bool) -> Effects:
    """Log that the daemon starts or stops to watch the store."""
    fields = (('watches', str(is_on_duty)), ('complete', _format(complete)))
    return [WriteLog(level=LogLevel.INFO, code=DUTY_CHANGED, fields=fields)]


def report_watch(
    event: StoreWatched,
    complete: Revision | None,
    started_at: float | None,
) -> Effects:
    """Log the answer to a watch if it has changes."""
    if not event.entries:
        return []
    waited_seconds = 0 if started_at is None else event.now - started_at
    fields = (
        ('after', _format(complete)),
        ('revision', format_revision(event.revision)),
        ('era', str(event.era)),
        ('entries', str(len(event.entries))),
        ('waited_ms', f'{waited_seconds * MILLISECONDS_PER_SECOND:.0f}'),
    )
    return [WriteLog(level=LogLevel.INFO, code=WATCH_ANSWERED, fields=fields)]


def report_era(event: StoreRead | StoreWatched, before: Era | None) -> Effects:
    """Log that the store answered in a later era than before."""
    fields = (
        ('era', str(event.era)),
        ('before', str(before or 'unknown')),
        ('revision', str(event.revision)),
        ('answer', type(event).__name__),
    )
    level = LogLevel.WARNING if before else LogLevel.INFO
    return [WriteLog(level=level, code=ERA_CHANGED, fields=fields)]


def report_gone_history(complete: Revision | None) -> Effects:
    """Log that the store no longer has the changes after a revision."""
    fields = (('complete', _format(complete)),)
    return [
        WriteLog(level=LogLevel.WARNING, code=HISTORY_GONE, fields=fields),
    ]


def _format(revision: Revision | None) -> str:
    return str(None) if revision is None else format_revision(revision)
