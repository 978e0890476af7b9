"""Eras of the store: the histories in which it numbers its revisions.

A store that was restored from a copy has lost its latest changes. It counts on
from the revision of the copy, so revisions are given out again, in a new era.
"""

from typing import Final, final

from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import StoreRead, StoreWatched
from briartack.core.units import Era

ERA_CHANGED: Final = 'store-era'


@final
class StoreEras:
    """Track the era of the store.

    Holds the era of the last answer, if there was one.
    """

    __slots__ = ('_era',)

    def __init__(self) -> None:
        self._era: Era | None = None

    def record_answer(self, event: StoreRead | StoreWatched) -> Effects:
        """Record the era of an answer and log a change."""
        before = self._era
        self._era = event.era
        if before in {None, event.era}:
            return []
        fields = (
            ('era', str(event.era)),
            ('before', str(before)),
            ('revision', str(event.revision)),
            ('answer', type(event).__name__),
        )
        return [WriteLog(level=LogLevel.INFO, code=ERA_CHANGED, fields=fields)]
