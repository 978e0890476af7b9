"""The tokens of one tenant at a daemon that does not hold its bucket."""

from collections import deque
from typing import Final, final

from briartack.core.tenants.cap_bucket import LEASE_SECONDS
from briartack.core.tenants.cap_fallback import FallbackWindow
from briartack.core.units import CallId

# How much is requested in advance: the use of this time.
AHEAD_SECONDS: Final = 0.25
# A single use within that time says nothing about the next call.
MIN_USES_AHEAD: Final = 2
# How long a call waits for the answer of the holder.
TOKEN_WAIT_SECONDS: Final = 0.1
# After that time without an answer, calls do not wait for the holder for this
# time, so that a frozen holder costs few calls the wait.
SILENCE_SECONDS: Final = 0.5
# A daemon asks the holder again after that time. The wait that the holder named
# may be as long as 1 / rate, and the cap may be raised meanwhile.
MAX_BLOCK_SECONDS: Final = 1.0


@final
class CapLease:
    """Hold the tokens, the open requests and the waiting calls of a tenant.

    `waiting` holds the calls in their order. Calls are refused before
    `blocked_until`, and do not wait for the holder before `silent_until`. The
    holder has room at `room_at`.
    `returned` counts the tokens that expired unused.
    """

    __slots__ = (
        'waiting',
        'blocked_until',
        'room_at',
        'silent_until',
        'returned',
        'fallback',
        'used_at',
        '_cap',
        '_stock',
        '_uses',
        '_requests',
        '_requested_at',
        '_refusals',
    )

    def __init__(self) -> None:
        self.waiting: dict[CallId, None] = {}
        self.blocked_until = float('-inf')
        self.room_at = float('-inf')
        self.silent_until = float('-inf')
        self.returned = 0
        self.fallback = FallbackWindow()
        self.used_at = float('-inf')
        self._cap: tuple[float, float] | None = None
        self._stock: deque[tuple[float, int]] = deque()
        self._uses: deque[float] = deque()
        self._requests: dict[int, float] = {}
        self._requested_at = float('-inf')
        self._refusals: deque[float] = deque()

    @property
    def stock(self) -> int:
        """Return the number of tokens, expired ones included."""
        return sum(count for _, count in self._stock)

    @property
    def refused_lately(self) -> int:
        """Return how many calls were refused in the last second."""
        return len(self._refusals)

    def has_open_request(self, now: float) -> bool:
        """Return whether the answer to a request is due."""
        return any(
            now - sent_at < TOKEN_WAIT_SECONDS
            for sent_at in self._requests.values()
        )

    def open_request(self, now: float, number: int) -> None:
        """Record a request; those whose tokens would have expired are lost."""
        self._requests = {
            known: sent_at
            for known, sent_at in self._requests.items()
            if now - sent_at < LEASE_SECONDS
        }
        self._requests[number] = now
        self._requested_at = now

    def close_request(self, number: int) -> float | None:
        """Return when a request was sent, `None` for an unknown one."""
        return self._requests.pop(number, None)

    def drop_requests(self) -> None:
        """Forget the requests to a holder that will not answer."""
        self._requests.clear()

    def block(self, now: float, wait_seconds: float) -> None:
        """Refuse calls until the holder is asked again."""
        self.room_at = now + wait_seconds
        self.blocked_until = now + min(wait_seconds, MAX_BLOCK_SECONDS)

    def apply_cap(self, now: float, cap: tuple[float, float]) -> None:
        """Record the rate and the burst; others than before end a block."""
        if cap != self._cap:
            self._cap = cap
            self.blocked_until = min(self.blocked_until, now)

    def add(self, now: float, expires_at: float, count: int) -> None:
        """Add tokens unless they have expired."""
        if count and now < expires_at:
            self._stock.append((expires_at, count))

    def take(self, now: float) -> float | None:
        """Take a token and return when it expires, `None` without one."""
        self.expire(now)
        if not self._stock:
            return None
        expires_at, count = self._stock.popleft()
        if count > 1:
            self._stock.appendleft((expires_at, count - 1))
        return expires_at

    def expire(self, now: float) -> None:
        """Move the expired tokens to those that are returned."""
        for expires_at, count in self._stock:
            if expires_at <= now:
                self.returned += count
        self._stock = deque(held for held in self._stock if held[0] > now)

    def record_use(self, now: float) -> None:
        """Record that a call got a token."""
        self.used_at = now
        self._uses.append(now)
        self._forget_uses(now)

    def record_refusal(self, now: float) -> None:
        """Record a refused call."""
        self.used_at = now
        self._refusals.append(now)
        while self._refusals[0] <= now - 1:
            self._refusals.popleft()

    def count_ahead(self, now: float) -> int:
        """Return how many tokens to request in advance."""
        self._forget_uses(now)
        uses = len(self._uses)
        return uses if uses >= MIN_USES_AHEAD else 0

    def is_short(self, now: float) -> bool:
        """Return whether to request tokens although no call waits.

        That is when at most half of what is used in a quarter of a second is
        left, and the last request is that old: the holder may have granted no
        tokens in advance.
        """
        if now < self.silent_until:
            return False
        if now - self._requested_at < AHEAD_SECONDS:
            return False
        ahead = self.count_ahead(now)
        return ahead > 0 and self.stock <= ahead / 2

    def _forget_uses(self, now: float) -> None:
        while self._uses and self._uses[0] <= now - AHEAD_SECONDS:
            self._uses.popleft()
