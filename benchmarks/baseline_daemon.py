"""A daemon of a simpler design, to compare with: each one asks the store.

Every daemon watches the store by itself, without a jitter at its start,
without budgets and without a random or growing pause after a failure. The
rest, such as links between peers, is that of the product.
"""

from typing import Final

from briartack.core.dissemination.rate_limits import Backoff, TokenBucket
from briartack.core.dissemination.store_reads import StoreReadsState
from briartack.core.dissemination.tree_position import TreePosition
from briartack.main import main

RETRY_SECONDS: Final = 0.5


def _is_watcher(place: TreePosition, now: float) -> bool:
    return True


def _take(budget: TokenBucket, now: float) -> bool:
    return True


def _fail(
    backoff: Backoff,
    now: float,
    min_delay_seconds: float | None = None,
    max_jitter_seconds: float = 0,
) -> None:
    pause_seconds = (
        RETRY_SECONDS if min_delay_seconds is None else min_delay_seconds
    )
    backoff._not_before = now + pause_seconds  # noqa: SLF001


def _start(reads: StoreReadsState, now: float) -> None:
    reads._instance_read_at = now  # noqa: SLF001


# Owner, name and replacement of the decisions that spare the store.
REPLACED: Final = (
    (TreePosition, 'is_watcher', _is_watcher),
    (TokenBucket, 'take', _take),
    (Backoff, 'record_failure', _fail),
    (StoreReadsState, 'start', _start),
)


def simplify() -> None:
    """Replace the decisions that spare the store."""
    for owner, name, replacement in REPLACED:
        setattr(owner, name, replacement)


if __name__ == '__main__':
    simplify()
    main()
