"""Counts requests by what their callers saw."""

from collections import Counter, defaultdict
from statistics import median
from typing import Final

import msgspec

from benchmarks.run_record import SentRequest

RETRYABLE_STATUSES: Final = frozenset((429, 503))


def count_statuses(requests: list[SentRequest]) -> Counter[str]:
    """Count requests by their kind, status and reason."""
    return Counter(
        f'{one.kind} {one.status} {_read_reason(one)}'.rstrip()
        for one in requests
    )


def _read_reason(sent: SentRequest) -> str:
    if b'application/json' not in sent.head:
        return ''
    reasons: dict[str, object] = msgspec.json.decode(sent.answer)
    return str(reasons['code'])


def measure_refusals(requests: list[SentRequest]) -> dict[str, list[float]]:
    """Return the median and the longest time to a refusal by its reason."""
    seconds: dict[str, list[float]] = defaultdict(list)
    for one in requests:
        if one.status in RETRYABLE_STATUSES:
            taken = one.ended_at - one.started_at
            seconds[_read_reason(one)].append(taken)
    return {
        reason: [round(median(taken), 3), round(max(taken), 3), len(taken)]
        for reason, taken in seconds.items()
    }
