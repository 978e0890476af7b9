"""Retry decisions: a token budget for each service, and jittered backoff."""

from random import Random
from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_rules import MAX_FREE_REFUSALS, CallRules
from briartack.core.calls.call_table import Call
from briartack.core.calls.reasons import Reason
from briartack.core.verdict import Verdict, may_repeat

BURST_TOKENS: Final = 10.0
BASE_BACKOFF_SECONDS: Final = 0.005
MAX_BACKOFF_SECONDS: Final = 0.2
PERCENT: Final = 100
# Share of a shared retry budget that daemons use. Retries and the calls of
# retried runs are counted exactly; the rest allows for daemons whose instance
# lists differ for a moment.
USED_SHARE: Final = 0.95
# Window in which the platform counts retries. A daemon that starts gets its
# burst after this time, because its previous process may have spent one.
WINDOW_SECONDS: Final = 10.0
# Calls whose callers can repeat them after a 503 leave this share of the burst
# to calls of runs, which fail without them.
RESERVED_SHARE: Final = 0.5
MAX_SERVICES: Final = 4096


def draw_backoff_seconds(random: Random, attempts: int) -> float:
    """Draw the backoff in seconds: exponential, with full jitter."""
    max_wait_seconds = min(
        MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2**attempts
    )
    return random.uniform(0, max_wait_seconds)


@final
class _Balance:
    """Hold the retry tokens of one service; a debt is negative."""

    __slots__ = ('tokens', 'burst', 'awaits_burst')

    def __init__(self, *, awaits_burst: bool, burst: float) -> None:
        self.tokens = 0 if awaits_burst else burst
        self.burst = burst
        self.awaits_burst = awaits_burst

    def add(self, tokens: float) -> None:
        """Add tokens up to the burst.

        Bursts below one token allow one, to which several calls add up.
        """
        self.tokens = min(self.tokens + tokens, max(self.burst, 1.0))


@final
class RetryState:
    """Hold the retry tokens of each service."""

    __slots__ = ('_balances', '_began_at')

    def __init__(self) -> None:
        """Create a state in which every service has its full burst.

        Shared budgets have it only some time after the first call.
        """
        self._balances: dict[str, _Balance] = {}
        self._began_at: float | None = None

    def add_tokens(
        self,
        service: str,
        retry_percent: float,
        burst: float = BURST_TOKENS,
        *,
        shared_at: float | None = None,
    ) -> None:
        """Add the tokens that one call earns, up to the burst.

        `shared_at` is the time of the call, if all daemons share the budget.
        """
        is_starting = self._is_starting(shared_at)
        balance = self._balances.get(service)
        if balance is None:
            if len(self._balances) >= MAX_SERVICES:
                self._balances.clear()
            balance = _Balance(awaits_burst=is_starting, burst=burst)
            self._balances[service] = balance
        balance.burst = burst
        if balance.awaits_burst and not is_starting:
            balance.awaits_burst = False
            balance.add(burst)
        balance.add(retry_percent / PERCENT)

    def take_token(self, service: str, *, reserved_share: float = 0) -> bool:
        """Take one token and return whether there was one.

        Tokens up to a share of the burst are left to others.
        """
        balance = self._balances.get(service)
        if balance is None:
            balance = _Balance(awaits_burst=False, burst=BURST_TOKENS)
            self._balances[service] = balance
        if balance.tokens < 1:
            return False
        if balance.tokens <= balance.burst * reserved_share:
            return False
        balance.tokens -= 1
        return True

    def count_call(self, context: CallContext, now: float, call: Call) -> None:
        """Add the tokens of a call to its service, or take one.

        The rate and the burst are those of the shared budget, if the platform
        has one, otherwise those of the policy. A call of a retried run counts
        as a retry, also without a token.
        """
        service = call.share.service
        budget = compute_shared_budget(
            context.rules, context.members.instance_count
        )
        if budget is None:
            self.add_tokens(service, call.route.policy.retry_percent)
            return
        percent, burst = budget
        if call.is_from_repeat:
            self.add_tokens(service, 0, burst, shared_at=now)
            self._balances[service].tokens -= 1
        else:
            self.add_tokens(service, percent, burst, shared_at=now)

    def reserve_retry(
        self,
        rules: CallRules,
        call: Call,
        verdict: Verdict,
        reason: Reason,
    ) -> bool:
        """Return whether to retry a failed attempt, and take a token if so.

        A nested call is retried only if its request has not run. A request
        that may have run is retried only by the daemon nearest to the failure.
        """
        policy = call.route.policy
        if not reason.is_retryable or call.attempts >= policy.max_attempts:
            return False
        if call.event.is_nested and verdict is not Verdict.NOT_RUN:
            return False
        if not may_repeat(verdict, repeatable=policy.repeatable):
            return False
        return self.take_token(
            call.share.service,
            reserved_share=_select_reserved_share(rules, call, verdict),
        )

    def _is_starting(self, shared_at: float | None) -> bool:
        """Return whether the burst of a shared budget is not yet allowed."""
        if shared_at is None:
            return False
        if self._began_at is None:
            self._began_at = shared_at
        return shared_at - self._began_at <= WINDOW_SECONDS


def has_reached_upstream(verdict: Verdict, reason: Reason) -> bool:
    """Return whether a failed attempt has probably reached an upstream."""
    return verdict is not Verdict.NOT_RUN or reason in {
        reasons.UPSTREAM_REFUSED,
        reasons.UPSTREAM_REPLACED,
    }


def _select_reserved_share(
    rules: CallRules, call: Call, verdict: Verdict
) -> float:
    """Return the share of a shared burst that a call leaves to others.

    Without the retry, its caller gets a 503 and can repeat the call. A call of
    a run, and one that may have run, would be lost.
    """
    is_lost = (
        call.is_from_local_run
        or call.may_have_run
        or verdict is not Verdict.NOT_RUN
    )
    if rules.retry_ratio is None or is_lost:
        return 0
    return RESERVED_SHARE


def is_free_refusal(
    rules: CallRules,
    call: Call,
    verdict: Verdict,
    reason: Reason,
) -> bool:
    """Return whether a refusal costs neither an attempt nor a retry token.

    Refusals by owners are free if the platform's rules say so, because the
    refused requests have not reached an upstream. One because of a planned stop
    is always free: other owners have time. Their number is bounded.
    """
    if verdict is not Verdict.NOT_RUN:
        return False
    has_tries = call.free_refusals < MAX_FREE_REFUSALS
    if reason is reasons.STOP_TOO_NEAR:
        # Only the same owner may run a request with a key.
        return has_tries and not call.event.idempotency_key
    if rules.counts_refusals:
        return False
    is_from_upstream = reason is reasons.UPSTREAM_REFUSED
    return reason.is_retryable and has_tries and not is_from_upstream


def compute_shared_budget(
    rules: CallRules, instances: int
) -> tuple[float, float] | None:
    """Return this daemon's percentage and burst of the shared retry budget.

    Return `None` if the platform has no shared budget.
    """
    if rules.retry_ratio is None:
        return None
    percent = rules.retry_ratio * USED_SHARE * PERCENT
    return percent, rules.retry_burst * USED_SHARE / max(instances, 1)
