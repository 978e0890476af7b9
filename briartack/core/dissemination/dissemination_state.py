"""The state of dissemination, one part for each kind of decision."""

from random import Random
from typing import Final, final

from briartack.core.dissemination.announcer import Announcer
from briartack.core.dissemination.confirmation import Confirmation
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.links import LinksState
from briartack.core.dissemination.peer_sync import PeerSyncState
from briartack.core.dissemination.store_reads import StoreReadsState
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.core.dissemination.tree_position import TreePosition
from briartack.core.identity import Identity
from briartack.core.units import InstanceId

# Without a parent in reach, a daemon that starts reads the tree by itself.
PARENTLESS_BOOT_SECONDS: Final = 3.0
# Parents that answer may lack a snapshot too. The jitter spreads the reads
# of 2,600 daemons below 150 per second.
SNAPSHOT_WAIT_SECONDS: Final = 10.0
SNAPSHOT_WAIT_JITTER_SECONDS: Final = 20.0


@final
class DisseminationState:
    """Hold the parts that decide on streams, store calls and pulls."""

    __slots__ = (
        'identity',
        'tree',
        'links',
        'store',
        'sync',
        'announcer',
        'confirmation',
        'started_at',
        'next_work_at',
        'snapshot_wait_seconds',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
        """Start without streams, calls or a list."""
        self.identity: Final = identity
        self.tree: Final = TreePosition(
            identity=identity,
            random=random,
            orphan_seconds=rules.orphan_seconds,
        )
        self.links: Final = LinksState(
            identity=identity,
            random=random,
            tree=self.tree,
            redial_seconds=rules.redial_seconds,
        )
        self.store: Final = StoreReadsState(random=random, rules=rules)
        self.sync: Final = PeerSyncState()
        self.announcer: Final = Announcer(incarnation=identity.incarnation)
        self.confirmation: Final = Confirmation()
        self.started_at = float(0)
        self.next_work_at = float('-inf')
        self.snapshot_wait_seconds: Final = (
            SNAPSHOT_WAIT_SECONDS
            + random.uniform(0, SNAPSHOT_WAIT_JITTER_SECONDS)
        )

    def needs_tree(self, now: float, holdings: Holdings) -> bool:
        """Tell whether to read the tree although others should bring it."""
        if holdings.has_snapshot or not self.tree.is_list_known:
            return False
        return (
            self.tree.silence_seconds(now) > PARENTLESS_BOOT_SECONDS
            or now - self.started_at > self.snapshot_wait_seconds
        )

    def starts_inventories_with(self, peer: InstanceId) -> bool:
        """Tell which side compares inventories, so that only one does."""
        if peer not in self.links.upward:
            return False
        # Two that count on each other would both begin.
        summary = self.sync.summary_of(peer)
        is_mutual = summary is not None and summary.wants_answers
        return not is_mutual or self.identity.instance < peer
