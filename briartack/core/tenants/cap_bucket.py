"""The token bucket of one tenant at its holder."""

from collections import deque
from typing import Final, NamedTuple, final

from briartack.core.tenants.tenant_table import ResolvedTenant

# Tokens may be used for this time after their request was sent, at most. The
# bound on the runs in 5 s has a margin of a quarter, of which this takes two
# fifths. Tokens in advance cover a quarter of a second.
LEASE_SECONDS: Final = 0.5
# After the lease, a tick and the way back of the tokens that are left.
RETURN_SECONDS: Final = 0.25
# Share of the bucket that is kept for calls that wait for a token, so that
# tokens in advance cause no refusal elsewhere.
RESERVED_RATIO: Final = 0.5
# A daemon that was refused tokens asks again after this time, at the earliest:
# with 80 daemons, one tenant beyond its cap then causes at most 800 requests a
# second.
MIN_BLOCK_SECONDS: Final = 0.1
# A bucket holds at least what it gains in this time. Otherwise two calls at
# once would be beyond the cap of a tenant without a burst.
_LEAST_BURST_SECONDS: Final = 0.25
# Rounding errors of many small refills.
_TOLERANCE: Final = 1e-9


def compute_capacity(tenant: ResolvedTenant) -> float:
    """Return how many tokens the bucket of a tenant holds at most."""
    least = tenant.calls_per_second * _LEAST_BURST_SECONDS
    return max(tenant.burst, least, 1)


@final
class GrantedTokens(NamedTuple):
    """Hold what a holder grants; the wait is 0 if all needed were granted."""

    tokens: int
    wait_seconds: float


@final
class CapBucket:
    """Hold the free tokens of a tenant, and those leased in advance.

    Both together never exceed the burst. So the uses of all daemons in any time
    T are at most burst + rate x (T + lease).
    """

    __slots__ = ('_rate', '_capacity', '_free', '_refilled_at', '_leased')

    def __init__(
        self, *, tenant: ResolvedTenant, now: float, since: float
    ) -> None:
        """Start with what an empty bucket has got since a time."""
        self._rate = tenant.calls_per_second
        self._capacity = compute_capacity(tenant)
        self._free: float = 0
        self._refilled_at = min(since, now)
        self._leased: deque[tuple[float, int]] = deque()
        self._refill(now)

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is as full as it gets."""
        self._refill(now)
        return self._free >= self._capacity - _TOLERANCE

    def set_cap(self, now: float, tenant: ResolvedTenant) -> None:
        """Replace the rate and the burst; a lower one binds at once."""
        self._refill(now)
        self._rate = tenant.calls_per_second
        self._capacity = compute_capacity(tenant)
        self._refill(now)

    def take(self, now: float, needed: int, ahead: int) -> GrantedTokens:
        """Take tokens for calls that wait, and others in advance."""
        self._refill(now)
        granted = min(needed, int(self._free + _TOLERANCE))
        self._free -= granted
        if granted < needed:
            seconds = (1 - self._free) / self._rate
            return GrantedTokens(granted, max(MIN_BLOCK_SECONDS, seconds))
        spare = self._free - self._capacity * RESERVED_RATIO
        leased = max(0, min(ahead, int(spare)))
        if leased:
            self._free -= leased
            until = now + LEASE_SECONDS + RETURN_SECONDS
            self._leased.append((until, leased))
        return GrantedTokens(granted + leased, 0)

    def give_back(self, now: float, returned: int) -> None:
        """Add tokens that were not used, at most those leased in advance."""
        self._refill(now)
        left = returned
        while left > 0 and self._leased:
            until, count = self._leased.popleft()
            credited = min(count, left)
            left -= credited
            self._free += credited
            if credited < count:
                self._leased.appendleft((until, count - credited))

    def _refill(self, now: float) -> None:
        while self._leased and self._leased[0][0] <= now:
            self._leased.popleft()
        gained = max(0, now - self._refilled_at) * self._rate
        self._refilled_at = max(now, self._refilled_at)
        leased = sum(count for _, count in self._leased)
        self._free = max(0, min(self._free + gained, self._capacity - leased))
