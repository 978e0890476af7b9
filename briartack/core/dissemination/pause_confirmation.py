"""Confirmation of held entries after the process was paused.

A daemon that was paused may hold outdated entries, so new calls wait until a
parent or the store has answered, or until a timeout.
"""

from collections.abc import Iterable
from typing import Final, final

from briartack.core.units import InstanceId

MIN_PAUSE_SECONDS: Final = 2.0
CONFIRMATION_TIMEOUT_SECONDS: Final = 1.0


@final
class PauseConfirmation:
    """Detect pauses of the process and track the wait for confirmation.

    Holds the time of the last event, the deadline of the wait if one is
    running, and the peers whose next answer may date from before the pause.
    """

    __slots__ = ('_last_event_at', '_deadline', '_stale_answer_peers')

    def __init__(self) -> None:
        self._last_event_at: float | None = None
        self._deadline: float | None = None
        self._stale_answer_peers: set[InstanceId] = set()

    @property
    def is_confirmed(self) -> bool:
        """Return whether no confirmation after a pause is outstanding."""
        return self._deadline is None

    def is_after_pause(self, now: float) -> bool:
        """Return whether the time since the last event amounts to a pause."""
        return (
            self._last_event_at is not None
            and now - self._last_event_at > MIN_PAUSE_SECONDS
        )

    def detect_pause(self, now: float) -> bool:
        """Record the time of an event and return whether a pause preceded it.

        After a pause, wait for confirmation until the timeout at most.
        """
        was_paused = self.is_after_pause(now)
        self._last_event_at = now
        if was_paused:
            self._deadline = now + CONFIRMATION_TIMEOUT_SECONDS
            return True
        if self._deadline is not None and now >= self._deadline:
            self._deadline = None
        return False

    def expect_stale_answers(self, peers: Iterable[InstanceId]) -> None:
        """Set the peers whose next answer may date from before the pause."""
        self._stale_answer_peers = set(peers)

    def confirm_by_parent(self, peer: InstanceId) -> None:
        """End the wait, unless the answer may date from before the pause."""
        if peer in self._stale_answer_peers:
            self._stale_answer_peers.remove(peer)
        else:
            self._deadline = None

    def confirm_by_store(self) -> None:
        """End the wait after an answer of the store."""
        self._deadline = None
