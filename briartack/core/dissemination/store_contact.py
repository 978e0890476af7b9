"""Whether the store answers this daemon, and how far away it is."""

from typing import Final, final

from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import StoreFailed
from briartack.core.units import Revision

STORE_LOST: Final = 'store-lost'
STORE_BACK: Final = 'store-back'


@final
class StoreContact:
    """Own the outcome of the last call and the shortest answer time."""

    __slots__ = ('_is_answered', '_is_lost', '_distance_seconds')

    def __init__(self) -> None:
        """Start before the first call."""
        self._is_answered = False
        self._is_lost = False
        self._distance_seconds: float | None = None

    @property
    def is_answered(self) -> bool:
        """Tell whether the last call was answered."""
        return self._is_answered

    @property
    def distance_seconds(self) -> float | None:
        """Return the shortest time that an answer took, if there was one."""
        return self._distance_seconds

    def measure(self, elapsed_seconds: float | None) -> None:
        """Take the time of an answer that did not have to wait."""
        if elapsed_seconds is None:
            return
        nearest = self._distance_seconds
        if nearest is None or elapsed_seconds < nearest:
            self._distance_seconds = elapsed_seconds

    def answer(self, revision: Revision) -> Effects:
        """Note an answer, and say so if calls failed before."""
        self._is_answered = True
        if not self._is_lost:
            return []
        self._is_lost = False
        fields = (('revision', str(revision)),)
        return [WriteLog(level=LogLevel.INFO, code=STORE_BACK, fields=fields)]

    def fail(self) -> None:
        """Note that a call had no answer."""
        self._is_answered = False

    def lose(self, event: StoreFailed, seen: Revision) -> Effects:
        """Say that calls fail, once until the next answer."""
        if self._is_lost or event.is_history_gone:
            return []
        self._is_lost = True
        fields = (
            ('operation', event.operation.value),
            ('reason', event.reason),
            ('seen', str(seen)),
        )
        return [
            WriteLog(level=LogLevel.WARNING, code=STORE_LOST, fields=fields),
        ]
