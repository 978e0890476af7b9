"""The rule for a process that was paused: confirm before new calls."""

from typing import Final, final

from briartack.core.units import InstanceId

PAUSE_SECONDS: Final = 2.0
CONFIRMATION_LIMIT_SECONDS: Final = 1.0


@final
class Confirmation:
    """Own the time of the last event and the wait after a pause."""

    __slots__ = ('_seen_at', '_limit', '_late_answer_from')

    def __init__(self) -> None:
        """Start confirmed."""
        self._seen_at: float | None = None
        self._limit: float | None = None
        self._late_answer_from: InstanceId | None = None

    @property
    def is_given(self) -> bool:
        """Tell whether what is held has been confirmed since a pause."""
        return self._limit is None

    def is_after_pause(self, now: float) -> bool:
        """Tell whether no event came for so long that views are too old."""
        return self._seen_at is not None and now - self._seen_at > PAUSE_SECONDS

    def observe(self, now: float) -> bool:
        """Note the time and tell whether the process was paused."""
        was_paused = self.is_after_pause(now)
        self._seen_at = now
        if was_paused:
            self._limit = now + CONFIRMATION_LIMIT_SECONDS
            return True
        if self._limit is not None and now >= self._limit:
            self._limit = None
        return False

    def expect_late_answer(self, peer: InstanceId | None) -> None:
        """Name the peer whose next answer may be from before the pause."""
        self._late_answer_from = peer

    def on_parent_answered(self, peer: InstanceId) -> None:
        """Accept the answer of a parent, unless it may be an old one."""
        if peer == self._late_answer_from:
            self._late_answer_from = None
        else:
            self._limit = None

    def on_store_answered(self) -> None:
        """Accept an answer of the store."""
        self._limit = None
