"""Planned stop: what is in flight ends, then the process does."""

from typing import Final, final

# Peers are told so long before callers are refused: time for what they have
# sent until they hear it.
GOODBYE_LEAD_SECONDS: Final = 0.4


@final
class DrainState:
    """Own the phase of the planned stop."""

    __slots__ = (
        '_drain_seconds',
        '_linger_seconds',
        '_leaves_at',
        '_is_leaving',
        '_refuses_at',
        '_is_refusing',
        '_bound',
        '_is_over',
    )

    def __init__(
        self,
        *,
        drain_seconds: float,
        linger_seconds: float = 0,
    ) -> None:
        """Start in normal service."""
        self._drain_seconds = drain_seconds
        self._linger_seconds = linger_seconds
        self._leaves_at = float('inf')
        self._is_leaving = False
        self._refuses_at = float('inf')
        self._is_refusing = False
        self._bound: float | None = None
        self._is_over = False

    @property
    def is_draining(self) -> bool:
        """Tell whether the stop has begun."""
        return self._bound is not None

    @property
    def is_leaving(self) -> bool:
        """Tell whether peers are to send nothing new."""
        return self._is_leaving

    @property
    def is_refusing(self) -> bool:
        """Tell whether callers have had time to turn elsewhere."""
        return self._is_refusing

    @property
    def bound(self) -> float | None:
        """Return the time at which the stop ends whatever is in flight."""
        return self._bound

    def begin(self, now: float) -> bool:
        """Begin the stop; return whether it had not begun before."""
        if self._bound is not None:
            return False
        self._bound = now + self._drain_seconds
        self._refuses_at = now + self._linger_seconds
        lead_seconds = min(GOODBYE_LEAD_SECONDS, self._linger_seconds)
        self._leaves_at = self._refuses_at - lead_seconds
        return True

    def follow(self, now: float) -> bool:
        """Note the time; return whether peers are to be told now."""
        was_leaving = self._is_leaving
        self._is_leaving = now >= self._leaves_at
        self._is_refusing = now >= self._refuses_at
        return self._is_leaving and not was_leaving

    def is_bound_over(self, now: float) -> bool:
        """Tell whether the time of the stop is over."""
        return self._bound is not None and now >= self._bound

    def finish(self) -> bool:
        """End the stop; return true only once."""
        if self._bound is None or self._is_over:
            return False
        self._is_over = True
        return True
