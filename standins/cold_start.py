"""Cold start of a stand-in upstream: slow, and fragile under load."""

from dataclasses import dataclass
from typing import final


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ColdStart:
    """Describe how an upstream behaves until it is warm.

    It is warm after `seconds` or `requests`, whichever comes first; zero
    leaves that bound out, and both zero make it warm from the start.
    """

    seconds: float = 0
    requests: int = 0
    factor: float = 5
    limit: int = 4


@final
class Warmth:
    """Follow one upstream from cold to warm."""

    __slots__ = ('_cold_start', '_slots', '_since', '_answered')

    def __init__(
        self,
        *,
        cold_start: ColdStart,
        slots: int,
        now: float,
    ) -> None:
        self._cold_start = cold_start
        self._slots = slots
        self._since = now
        self._answered = 0

    @property
    def ramp_bound(self) -> float:
        """Return what a slow start allows at once after these answers.

        One request is allowed at first, and twice as many after as many
        answers as were allowed.
        """
        if self.is_always_warm:
            return float('inf')
        bound: int = 1 << (self._answered + 1).bit_length() - 1
        return min(bound, self._slots)

    @property
    def is_always_warm(self) -> bool:
        """Tell whether there is no cold start."""
        cold = self._cold_start
        return not cold.seconds and not cold.requests

    def restart(self, now: float) -> None:
        """Be cold again."""
        self._since = now
        self._answered = 0

    def record_answer(self) -> None:
        """Count a request that has been answered."""
        self._answered += 1

    def share(self, now: float) -> float:
        """Return how warm the upstream is, from 0 to 1."""
        cold = self._cold_start
        if self.is_always_warm:
            return 1
        shares: list[float] = []
        if cold.seconds:
            shares.append((now - self._since) / cold.seconds)
        if cold.requests:
            shares.append(self._answered / cold.requests)
        return min(1, max(shares))

    def factor(self, now: float) -> float:
        """Return by how much a request takes longer than when warm."""
        return 1 + (self._cold_start.factor - 1) * (1 - self.share(now))

    def safe_requests(self, now: float) -> float:
        """Return how many requests at once do not make it collapse."""
        share = self.share(now)
        if share >= 1:
            return float('inf')
        limit = self._cold_start.limit
        return limit + (self._slots - limit) * share
