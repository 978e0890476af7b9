"""Reachability of the store: whether it answers, and how fast."""

from typing import Final, final

from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.events import StoreFailed
from briartack.core.units import Revision, format_revision

STORE_LOST: Final = 'store-lost'
STORE_BACK: Final = 'store-back'


@final
class StoreReachability:
    """Track whether the store answers this daemon and how fast.

    Holds whether the last call was answered, whether a failure has been logged
    since the last answer, and the shortest answer time. That time serves as the
    distance to the store when roots of several regions decide who watches it.
    """

    __slots__ = ('_is_answered', '_is_failure_logged', '_min_answer_seconds')

    def __init__(self) -> None:
        self._is_answered = False
        self._is_failure_logged = False
        self._min_answer_seconds: float | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the last call was answered."""
        return self._is_answered

    @property
    def min_answer_seconds(self) -> float | None:
        """Return the shortest answer time so far, if any was recorded."""
        return self._min_answer_seconds

    def record_answer_time(self, elapsed_seconds: float | None) -> None:
        """Record the time of an answer that the store sent at once."""
        if elapsed_seconds is None:
            return
        shortest = self._min_answer_seconds
        if shortest is None or elapsed_seconds < shortest:
            self._min_answer_seconds = elapsed_seconds

    def record_answer(self, revision: Revision) -> Effects:
        """Record an answer, and log it if a failure was logged before."""
        self._is_answered = True
        if not self._is_failure_logged:
            return []
        self._is_failure_logged = False
        fields = (('revision', format_revision(revision)),)
        return [WriteLog(level=LogLevel.INFO, code=STORE_BACK, fields=fields)]

    def record_failure(self) -> None:
        """Record that a call was not answered."""
        self._is_answered = False

    def forget_answer(self) -> None:
        """Require a new answer before the store counts as answering."""
        self._is_answered = False

    def report_failure(self, event: StoreFailed, seen: Revision) -> Effects:
        """Log that calls fail, once until the next answer."""
        if self._is_failure_logged:
            return []
        self._is_failure_logged = True
        fields = (
            ('operation', event.operation.value),
            ('reason', event.reason),
            ('seen', format_revision(seen)),
        )
        return [
            WriteLog(level=LogLevel.WARNING, code=STORE_LOST, fields=fields),
        ]
