"""State of dissemination, with one part for each kind of decision."""

from random import Random
from typing import Final, final

from briartack.core.dissemination.announcer import Announcer
from briartack.core.dissemination.holdings import Holdings
from briartack.core.dissemination.links import LinksState
from briartack.core.dissemination.pause_confirmation import PauseConfirmation
from briartack.core.dissemination.peer_sync import PeerSyncState
from briartack.core.dissemination.store_reads import StoreReadsState
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.core.dissemination.tree_position import TreePosition
from briartack.core.identity import Identity
from briartack.core.units import InstanceId

# A daemon without a snapshot reads all keys from the store by itself after it
# has heard no parent for this time.
PARENTLESS_READ_DELAY_SECONDS: Final = 3.0
# A daemon without a snapshot stops waiting for its parents after this time,
# as parents that answer may lack a snapshot too. The jitter keeps the reads of
# 2,600 daemons below 150 per second.
SNAPSHOT_WAIT_SECONDS: Final = 10.0
SNAPSHOT_WAIT_JITTER_SECONDS: Final = 20.0


@final
class DisseminationState:
    """Hold the state of the dissemination of one daemon.

    Holds the parts that decide on the position in the tree, streams, calls to
    the store, pulls, summaries and the confirmation after a pause.
    """

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
        'unwatched_since',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
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
        self.announcer: Final = Announcer(
            incarnation=identity.incarnation, outages=self.store.outages
        )
        self.confirmation: Final = PauseConfirmation()
        self.started_at = float(0)
        self.next_work_at = float('-inf')
        # Since when no parent knows a daemon that watches the store.
        self.unwatched_since: float | None = None
        self.snapshot_wait_seconds: Final = (
            SNAPSHOT_WAIT_SECONDS
            + random.uniform(0, SNAPSHOT_WAIT_JITTER_SECONDS)
        )

    def needs_full_read(self, now: float, holdings: Holdings) -> bool:
        """Return whether to read all keys from the store without being on duty.

        Parents normally send the configuration. The daemon reads all keys
        itself if it has no snapshot and its parents are silent or take too
        long.
        """
        if holdings.has_snapshot or not self.tree.is_list_known:
            return False
        return (
            self.tree.silence_seconds(now) > PARENTLESS_READ_DELAY_SECONDS
            or now - self.started_at > self.snapshot_wait_seconds
        )

    def starts_inventories_with(self, peer: InstanceId) -> bool:
        """Return whether this daemon starts the inventories with a peer.

        Only one of the two sides starts them.
        """
        if peer not in self.links.sync_sources:
            return False
        # Two daemons that are sync sources of each other would both start.
        summary = self.sync.summary_of(peer)
        is_mutual = summary is not None and summary.wants_answers
        return not is_mutual or self.identity.instance < peer
