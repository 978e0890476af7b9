"""Baseline of cold_start: a daemon without slow start and retry budget."""

from typing import Final

from briartack.core.calls.ramp import RampState
from briartack.core.calls.retry import RetryState
from briartack.core.configuration.settings import ServiceLimits
from briartack.main import main

MODULE: Final = 'benchmarks.plain_calls_daemon'


def _full_limit(_ramp: RampState, limits: ServiceLimits) -> int:
    return min(limits.slots, limits.connections)


def _spend_always(_budget: RetryState, _service: str) -> bool:
    return True


def _patch() -> None:
    """Take the decisions out that the benchmark compares with."""
    # mypy allows no assignment to methods.
    setattr(RampState, 'limit', _full_limit)  # noqa: B010
    setattr(RetryState, 'spend', _spend_always)  # noqa: B010


if __name__ == '__main__':
    _patch()
    main()
