"""Runs a daemon of a simpler design as a baseline for comparison.

Every baseline daemon watches the store itself, without jitter at startup,
without call budgets, and with a fixed delay instead of a jittered exponential
backoff after a failure. Everything else, such as connections between peers, is
the product's code.
"""

from typing import Final

from briartack.core.dissemination.backoff import Backoff
from briartack.core.dissemination.store_reads import StoreReadsState
from briartack.core.dissemination.tree_position import TreePosition
from briartack.core.token_bucket import TokenBucket
from briartack.main import main

RETRY_DELAY_SECONDS: Final = 0.5


def _always_watch(position: TreePosition, now: float) -> bool:
    return True


def _always_take_token(budget: TokenBucket, now: float) -> bool:
    return True


def _set_fixed_delay(
    backoff: Backoff,
    now: float,
    min_delay_seconds: float | None = None,
    max_jitter_seconds: float = 0,
) -> None:
    delay_seconds = (
        RETRY_DELAY_SECONDS if min_delay_seconds is None else min_delay_seconds
    )
    backoff._not_before = now + delay_seconds  # noqa: SLF001


def _read_without_jitter(reads: StoreReadsState, now: float) -> None:
    reads._instance_read_at = now  # noqa: SLF001


# Owner, method name and replacement of each decision that limits store load.
REPLACEMENTS: Final = (
    (TreePosition, 'is_watcher', _always_watch),
    (TokenBucket, 'take', _always_take_token),
    (Backoff, 'record_failure', _set_fixed_delay),
    (StoreReadsState, 'start', _read_without_jitter),
)


def apply_replacements() -> None:
    """Replace the methods that limit the load on the store."""
    for owner, name, replacement in REPLACEMENTS:
        setattr(owner, name, replacement)


if __name__ == '__main__':
    apply_replacements()
    main()
