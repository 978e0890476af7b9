"""Bytes between regions while calls go on, from the daemons' counters."""

from typing import Final, final

from benchmarks.control_fleet import all_metrics
from benchmarks.figures import Figures
from standins.deployment import Deployment

COUNTER: Final = 'briartack_peers_bytes{'
SENT_ELSEWHERE: Final = ('direction="sent"', 'region="other"')
KINDS: Final = ('call', 'control')


@final
class PaidBytes:
    """Add up what daemons sent to other regions since the start."""

    __slots__ = ('_deployment', '_before')

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._before = _sent(deployment)

    def figures(self, restarted: frozenset[str]) -> Figures:
        """Return the bytes by kind.

        A restarted daemon counts from zero, so what it sent before its end
        is missing.
        """
        return {
            'cross_region_bytes': {
                kind: sum(
                    sent - (name not in restarted) * before[name]
                    for name, sent in after.items()
                )
                for kind, after, before in self._changes()
            },
            'cross_region_bytes_lack_daemons_before_kill': sorted(restarted),
        }

    def _changes(
        self,
    ) -> list[tuple[str, dict[str, float], dict[str, float]]]:
        after = _sent(self._deployment)
        return [(kind, after[kind], self._before[kind]) for kind in KINDS]


def _sent(deployment: Deployment) -> dict[str, dict[str, float]]:
    """Return by kind and instance the bytes sent to other regions."""
    metrics = all_metrics(deployment)
    return {
        kind: {
            name: _total(counters, (f'kind="{kind}"', *SENT_ELSEWHERE))
            for name, counters in metrics.items()
        }
        for kind in KINDS
    }


def _total(counters: dict[str, float], wanted: tuple[str, ...]) -> float:
    return sum(
        total
        for label, total in counters.items()
        if label.startswith(COUNTER) and all(part in label for part in wanted)
    )
