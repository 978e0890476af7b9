"""Calls of a fault run whose routes have home regions or several services.

Their randomness is apart from that of the other calls of a seed.
"""

import math
import operator
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec

from benchmarks.fault_load import CallRequest, CallResult

PLACED_KEY: Final = 'teams/placed'
HOME_KIND: Final = 'home'
SPLIT_KIND: Final = 'split'
HOME_REGION: Final = 'region-1'
# A part of the split route that has no instance, hence never room.
EMPTY_PART: Final = 'placed/empty'
NO_ENDPOINT: Final = 'no-endpoint'  # code of its refusals
# The part without weight gets nothing, whatever room the others have.
SPLIT_WEIGHTS: Final[Mapping[str, float]] = MappingProxyType(
    {'svc-1': 0.5, 'svc-2': 0.25, 'svc-3': 0.0}
)
CALLS_PER_BURST: Final = 40
BURST_PROBABILITY: Final = 0.01
CALL_PROBABILITY: Final = 0.2
# Standard deviations by which the draws of the parts may miss their weights.
MAX_DEVIATIONS: Final = 5


def encode_placed_subtree() -> str:
    """Encode a subtree with a route that has homes and a split route."""
    shares = [
        {'service': f'generated/{name}', 'weight': weight}
        for name, weight in SPLIT_WEIGHTS.items()
    ]
    empty_weight = 1 - sum(SPLIT_WEIGHTS.values())
    shares.append({'service': EMPTY_PART, 'weight': empty_weight})
    common = {'service': 'generated/svc-1', 'policy': 'placed'}
    routes = [
        {
            'name': HOME_KIND,
            'path_prefix': f'/{HOME_KIND}/',
            'workspace': HOME_KIND,
            **common,
        },
        {
            'name': SPLIT_KIND,
            'path_prefix': f'/{SPLIT_KIND}/',
            'split': shares,
            **common,
        },
    ]
    subtree = {
        'services': {'empty': {'slots': 1, 'connections': 1}},
        'policies': {'placed': {'timeout_ms': 2000, 'max_attempts': 3}},
        'workspaces': {HOME_KIND: {'home_regions': [HOME_REGION]}},
        'routes': routes,
    }
    return msgspec.json.encode(subtree).decode()


class PlacedCalls:
    """Choose the further calls of each step, one or a burst of them."""

    __slots__ = ('_random', '_instances', '_last_number')

    def __init__(self, *, random: Random, instances: list[str]) -> None:
        self._random = random
        self._instances = instances
        self._last_number = 0

    def create_requests(self) -> list[tuple[CallRequest, str]]:
        """Return the requests of one step and whom they call, often none."""
        if self._random.random() < BURST_PROBABILITY:
            return [self._create(SPLIT_KIND) for _ in range(CALLS_PER_BURST)]
        if self._random.random() < CALL_PROBABILITY:
            kind = self._random.choice((HOME_KIND, SPLIT_KIND))
            return [self._create(kind)]
        return []

    def _create(self, kind: str) -> tuple[CallRequest, str]:
        self._last_number += 1
        request = CallRequest(
            kind=kind,
            method='POST',
            path=f'/{kind}/{self._last_number}',
            request_id=f'{kind}-{self._last_number}',
            body=b'placed',
        )
        return request, self._random.choice(self._instances)


def check_homes(
    results: Iterable[CallResult],
    runs: Mapping[str, list[str]],
    regions: Mapping[str, str],
) -> list[dict[str, object]]:
    """Find runs outside the home region of their route."""
    return [
        {
            'rule': 'a request ran outside its home region',
            'request_id': result.request.request_id,
            'ran_at': runs[result.request.request_id],
        }
        for result in results
        if result.request.kind == HOME_KIND
        and any(
            regions[name] != HOME_REGION
            for name in runs.get(result.request.request_id, ())
        )
    ]


def check_shares(
    results: Iterable[CallResult], runs: Mapping[str, list[str]]
) -> list[dict[str, object]]:
    """Find parts of the split route whose requests miss their weight.

    What a part has no room for may be refused, but not moved to another. Of
    the requests that faults did not end otherwise, the part that never has
    room therefore refuses its share.
    """
    counts: Counter[str] = Counter()
    for result in results:
        if result.request.kind == SPLIT_KIND:
            ran_at = runs.get(result.request.request_id, ())
            counts.update({name.rpartition('-')[0] for name in ran_at})
            if NO_ENDPOINT in result.text and not ran_at:
                counts[EMPTY_PART] += 1
    decided = counts.total()
    return [
        {
            'rule': 'a part of a split route misses its weight',
            'part': part,
            'counted': counts[part],
            'decided': decided,
        }
        for part, bound in _list_bounds(decided)
        if not bound(counts[part])
    ]


def _list_bounds(
    decided: int,
) -> Iterator[tuple[str, Callable[[int], bool]]]:
    """Yield each part with what its count has to satisfy."""
    empty_weight = 1 - sum(SPLIT_WEIGHTS.values())
    least = empty_weight * decided - _compute_margin(empty_weight, decided)
    yield EMPTY_PART, partial(operator.le, least)
    for part, weight in SPLIT_WEIGHTS.items():
        most = weight * decided + _compute_margin(weight, decided)
        yield part, partial(operator.ge, most)


def _compute_margin(weight: float, count: int) -> float:
    return MAX_DEVIATIONS * math.sqrt(count * weight * (1 - weight))
