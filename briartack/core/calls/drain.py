"""Planned stop: calls in flight end before the process exits."""

from typing import Final, final

# Peers are told to stop sending this long before callers are refused, which
# leaves time for attempts that they send before the notice reaches them.
GOODBYE_LEAD_SECONDS: Final = 0.4


@final
class DrainState:
    """Hold the phase and the deadlines of the planned stop."""

    __slots__ = (
        '_drain_seconds',
        '_linger_seconds',
        '_leaves_at',
        '_is_leaving',
        '_refuses_at',
        '_is_refusing',
        '_deadline',
        '_is_finished',
    )

    def __init__(
        self,
        *,
        drain_seconds: float,
        linger_seconds: float = 0,
    ) -> None:
        """Start in normal service.

        After the stop begins, callers are still served for `linger_seconds`,
        and calls in flight end after `drain_seconds` at the latest.
        """
        self._drain_seconds = drain_seconds
        self._linger_seconds = linger_seconds
        self._leaves_at = float('inf')
        self._is_leaving = False
        self._refuses_at = float('inf')
        self._is_refusing = False
        self._deadline = float('inf')
        self._is_finished = False

    @property
    def is_draining(self) -> bool:
        """Return whether the stop has begun."""
        return self._deadline < float('inf')

    @property
    def is_leaving(self) -> bool:
        """Return whether peers must send no new attempts."""
        return self._is_leaving

    @property
    def is_refusing(self) -> bool:
        """Return whether new calls are refused.

        The linger time, in which callers switch to another daemon, has passed.
        """
        return self._is_refusing

    @property
    def deadline(self) -> float:
        """Return when the stop ends all calls, infinite before it begins."""
        return self._deadline

    def configure(self, *, drain_seconds: float, linger_seconds: float) -> None:
        """Set the times of the next stop; a stop that has begun keeps its."""
        self._drain_seconds = drain_seconds
        self._linger_seconds = linger_seconds

    def begin(self, now: float) -> bool:
        """Begin the stop; return false if it had begun before."""
        if self.is_draining:
            return False
        self._deadline = now + self._drain_seconds
        self._refuses_at = now + self._linger_seconds
        lead_seconds = min(GOODBYE_LEAD_SECONDS, self._linger_seconds)
        self._leaves_at = self._refuses_at - lead_seconds
        return True

    def advance(self, now: float) -> bool:
        """Advance to a time; return whether peers must be notified now."""
        was_leaving = self._is_leaving
        self._is_leaving = now >= self._leaves_at
        if self._is_leaving and not was_leaving:
            self._keep_lead(now)
        self._is_refusing = now >= self._refuses_at
        return self._is_leaving and not was_leaving

    def has_deadline_passed(self, now: float) -> bool:
        """Return whether the deadline of the stop has passed."""
        return now >= self._deadline

    def finish(self) -> bool:
        """Finish a stop that has begun; return true only the first time."""
        if not self.is_draining or self._is_finished:
            return False
        self._is_finished = True
        return True

    def _keep_lead(self, now: float) -> None:
        """Refuse callers later if the notice to peers is late.

        A process that stood still may reach both times at once. It would exit
        before it has read what peers sent meanwhile.
        """
        lead_seconds = self._refuses_at - self._leaves_at
        latest = max(self._refuses_at, self._deadline)
        self._refuses_at = min(
            latest, max(self._refuses_at, now + lead_seconds)
        )
