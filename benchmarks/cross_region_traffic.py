"""Measures bytes sent between regions from the daemons' counters."""

from typing import Final, final

from benchmarks.benchmark_fleet import fetch_all_metrics
from benchmarks.figures import Figures
from standins.deployment import Deployment

COUNTER_PREFIX: Final = 'briartack_peers_bytes{'
CROSS_REGION_LABELS: Final = ('direction="sent"', 'region="other"')
TRAFFIC_KINDS: Final = ('call', 'control')


@final
class CrossRegionTraffic:
    """Track the bytes that daemons sent to other regions since construction."""

    __slots__ = ('_deployment', '_before')

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._before = _read_sent_bytes(deployment)

    def summarise(self, restarted: frozenset[str]) -> Figures:
        """Return the bytes by kind.

        The counters of a restarted daemon begin at zero, so the bytes sent
        before its restart are missing.
        """
        return {
            'cross_region_bytes': {
                kind: sum(
                    sent - (name not in restarted) * before[name]
                    for name, sent in after.items()
                )
                for kind, after, before in self._pair_counters()
            },
            'cross_region_bytes_lack_daemons_before_kill': sorted(restarted),
        }

    def _pair_counters(
        self,
    ) -> list[tuple[str, dict[str, float], dict[str, float]]]:
        after = _read_sent_bytes(self._deployment)
        return [
            (kind, after[kind], self._before[kind]) for kind in TRAFFIC_KINDS
        ]


def _read_sent_bytes(deployment: Deployment) -> dict[str, dict[str, float]]:
    """Return the bytes sent to other regions, by kind and instance."""
    metrics = fetch_all_metrics(deployment)
    return {
        kind: {
            name: _sum_matching(
                counters, (f'kind="{kind}"', *CROSS_REGION_LABELS)
            )
            for name, counters in metrics.items()
        }
        for kind in TRAFFIC_KINDS
    }


def _sum_matching(
    counters: dict[str, float], required_labels: tuple[str, ...]
) -> float:
    return sum(
        total
        for label, total in counters.items()
        if label.startswith(COUNTER_PREFIX)
        and all(part in label for part in required_labels)
    )
