"""Runs the `cold_start` baseline daemon, without slow start or retry budget."""

from typing import Final

from briartack.core.calls.retry import RetryState
from briartack.core.calls.slow_start import SlowStartState
from briartack.core.configuration.settings import ServiceLimits
from briartack.main import main

MODULE: Final = 'benchmarks.plain_calls_daemon'


def _return_full_limit(_ramp: SlowStartState, limits: ServiceLimits) -> int:
    return min(limits.slots, limits.connections)


def _allow_every_retry(_budget: RetryState, _service: str) -> bool:
    return True


def _apply_replacements() -> None:
    """Replace the slow start's limit and the retry budget."""
    # `setattr`, since mypy rejects assignments to methods.
    setattr(SlowStartState, 'limit', _return_full_limit)  # noqa: B010
    setattr(RetryState, 'take_token', _allow_every_retry)  # noqa: B010


if __name__ == '__main__':
    _apply_replacements()
    main()
