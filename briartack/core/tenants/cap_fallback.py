"""What a daemon admits of a tenant while it reaches no holder."""

from collections import deque
from typing import Final, final

from briartack.core.tenants.cap_bucket import LEASE_SECONDS, compute_capacity
from briartack.core.tenants.tenant_table import ResolvedTenant

# The window in which the runs of a tenant are bounded, and its margins: the
# cap of the window times 1.25, and 20 more.
WINDOW_SECONDS: Final = 5.0
FALLBACK_RATIO: Final = 0.25
EXTRA_RUNS: Final = 20
# A call may run that much later than it was admitted.
_KEPT_SECONDS: Final = WINDOW_SECONDS + LEASE_SECONDS


def compute_share(
    tenant: ResolvedTenant, instances: int, position: int | None
) -> int:
    """Return how many calls a daemon may admit in any window.

    All daemons together admit a quarter of the cap, less what the holder may
    admit beyond the cap. The shares are whole numbers whose sum is
    exact: the first daemons for the tenant have one more than the others. A
    daemon that is not listed has none.
    """
    if position is None or not instances:
        return 0
    rate = tenant.calls_per_second
    quarter = (rate * WINDOW_SECONDS + tenant.burst) * FALLBACK_RATIO
    beyond = rate * LEASE_SECONDS + compute_capacity(tenant) - tenant.burst
    left = min(quarter, quarter + EXTRA_RUNS - beyond)
    share, rest = divmod(max(0, int(left)), instances)
    return share + (position < rest)


@final
class FallbackWindow:
    """Count the calls admitted without a holder in the last window."""

    __slots__ = ('_admitted',)

    def __init__(self) -> None:
        self._admitted: deque[float] = deque()

    def take(self, now: float, share: int) -> float:
        """Admit a call and return 0, or return the seconds until it may be."""
        while self._admitted and self._admitted[0] <= now - _KEPT_SECONDS:
            self._admitted.popleft()
        if len(self._admitted) < share:
            self._admitted.append(now)
            return 0
        if not self._admitted:
            return _KEPT_SECONDS
        return self._admitted[0] + _KEPT_SECONDS - now
