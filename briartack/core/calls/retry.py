"""Retries: a token budget for each service, and jittered backoff."""

from random import Random
from typing import Final, final

BURST_TOKENS: Final = 10.0
BASE_SECONDS: Final = 0.005
MAX_SECONDS: Final = 0.2
PERCENT: Final = 100
MAX_SERVICES: Final = 4096


def backoff_seconds(random: Random, attempts: int) -> float:
    """Draw the wait before the next attempt, with full jitter."""
    bound = min(MAX_SECONDS, BASE_SECONDS * 2**attempts)
    return random.uniform(0, bound)


@final
class RetryState:
    """Own the retry tokens of each service."""

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Start every service with its full burst."""
        self._tokens: dict[str, float] = {}

    def earn(self, service: str, retry_percent: int) -> None:
        """Add the share of one call."""
        if len(self._tokens) >= MAX_SERVICES:
            self._tokens.clear()
        tokens = self._tokens.get(service, BURST_TOKENS)
        earned = tokens + retry_percent / PERCENT
        self._tokens[service] = min(BURST_TOKENS, earned)

    def spend(self, service: str) -> bool:
        """Take the token of one retry, if there is one."""
        tokens = self._tokens.get(service, BURST_TOKENS)
        if tokens < 1:
            return False
        self._tokens[service] = tokens - 1
        return True
