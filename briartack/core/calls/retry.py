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
# Share of a shared retry budget for direct retries. The rest is reserved for
# nested calls made by retried requests, which count towards the budget too.
DIRECT_RETRY_RATIO: Final = 0.6
MAX_SERVICES: Final = 4096


def draw_backoff_seconds(random: Random, attempts: int) -> float:
    """Draw the backoff in seconds: exponential, with full jitter."""
    max_wait_seconds = min(
        MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2**attempts
    )
    return random.uniform(0, max_wait_seconds)


@final
class RetryState:
    """Hold the retry tokens of each service."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Create a state in which every service has its full burst."""
        self._tokens: dict[str, float] = {}

    def add_tokens(
        self,
        service: str,
        retry_percent: int,
        burst: float = BURST_TOKENS,
    ) -> None:
        """Add the tokens that one call earns, up to the burst."""
        if len(self._tokens) >= MAX_SERVICES:
            self._tokens.clear()
        tokens = self._tokens.get(service, burst)
        total = tokens + retry_percent / PERCENT
        self._tokens[service] = min(burst, total)

    def take_token(self, service: str) -> bool:
        """Take one token and return whether there was one."""
        tokens = self._tokens.get(service, BURST_TOKENS)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True

    def add_tokens_for_call(self, context: CallContext, call: Call) -> None:
        """Add the tokens of a call to its service.

        The rate and the burst are those of the shared budget, if the platform
        has one, otherwise those of the policy.
        """
        service = call.share.service
        budget = compute_shared_budget(
            context.rules, context.members.instance_count
        )
        if budget is None:
            self.add_tokens(service, call.route.policy.retry_percent)
        else:
            self.add_tokens(service, *budget)

    def reserve_retry(
        self,
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
        return self.take_token(call.share.service)


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
) -> tuple[int, float] | None:
    """Return this daemon's percentage and burst of the shared retry budget.

    Return `None` if the platform has no shared budget.
    """
    if rules.retry_ratio is None:
        return None
    percent = int(rules.retry_ratio * DIRECT_RETRY_RATIO * PERCENT)
    burst = rules.retry_burst * DIRECT_RETRY_RATIO / max(instances, 1)
    # A budget below one token would forbid each first retry.
    return percent, max(burst, 1.0)
