"""Deduplication: an attempt starts at most once, within a time window.

An attempt carries a reading of its owner's clock. The owner compares only
readings of its own clock, so the clocks of two daemons are never compared.
"""

from collections import deque
from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.reasons import Reason
from briartack.core.messages import Attempt
from briartack.core.units import AttemptId, Incarnation

DEDUP_WINDOW_SECONDS: Final = 30.0
# 54 calls/s for 30 s make 1,620 ids; the limit allows bursts of 40 times that.
MAX_ATTEMPT_IDS: Final = 65536


@final
class DedupState:
    """Hold the ids of the attempts that were received within the window."""

    __slots__ = ('_ids', '_received')

    def __init__(self) -> None:
        self._ids: set[AttemptId] = set()
        self._received: deque[tuple[float, AttemptId]] = deque()

    def __len__(self) -> int:
        """Return the number of ids that are held."""
        return len(self._ids)

    def is_known(self, attempt_id: AttemptId) -> bool:
        """Return whether an attempt was received within the window."""
        return attempt_id in self._ids

    def register(
        self,
        attempt: Attempt,
        incarnation: Incarnation,
        now: float,
    ) -> Reason | None:
        """Record an attempt, or return why it must not start."""
        self._expire(now)
        if attempt.owner_incarnation != incarnation:
            return reasons.STALE_INCARNATION
        if not now - DEDUP_WINDOW_SECONDS < attempt.owner_clock <= now:
            return reasons.STALE_CLOCK
        if len(self._ids) >= MAX_ATTEMPT_IDS:
            return reasons.WINDOW_FULL
        self._ids.add(attempt.attempt_id)
        self._received.append((now, attempt.attempt_id))
        return None

    def _expire(self, now: float) -> None:
        """Remove ids whose repeats the clock check refuses from now on."""
        while (
            self._received
            and self._received[0][0] <= now - DEDUP_WINDOW_SECONDS
        ):
            self._ids.discard(self._received.popleft()[1])
