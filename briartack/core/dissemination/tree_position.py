"""Position of a daemon in the tree, and suspicion of silent peers."""

from random import Random
from typing import Final, final

from briartack.core.dissemination.liveness_checks import LivenessChecks
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.overlay import Member, Neighbours, Tree
from briartack.core.dissemination.store_rules import ORPHAN_SECONDS
from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.identity import Identity
from briartack.core.units import InstanceId

PARENT_SILENCE_SECONDS: Final = 1.5
PARENT_SILENCE_JITTER_SECONDS: Final = 0.5
PEERS_SUSPECTED: Final = 'peers-suspected'


@final
class TreePosition:
    """Track the neighbours in the tree and the peers suspected of a failure.

    Suspected peers are left out when the tree is computed. Holds the tree of
    the current list, the time of the last contact with each parent, the
    suspected peers, and the liveness checks of other peers.
    """

    __slots__ = (
        '_own',
        '_random',
        '_orphan_seconds',
        '_neighbours',
        '_tree',
        '_live_members',
        '_is_list_known',
        '_needs_update',
        '_suspects',
        '_parent_contact_at',
        '_silence_limit_seconds',
        '_last_parent_contact_at',
        '_checks',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        orphan_seconds: float = ORPHAN_SECONDS,
    ) -> None:
        self._orphan_seconds = orphan_seconds
        self._own = Member(
            instance=identity.instance,
            service=identity.service,
            data_centre=identity.data_centre,
            region=identity.region,
            peer_address='',
        )
        self._random = random
        self._neighbours = Neighbours()
        self._tree: Tree | None = None
        self._live_members: tuple[Member, ...] = ()
        self._is_list_known = False
        self._needs_update = True
        self._suspects: frozenset[InstanceId] = frozenset()
        self._parent_contact_at: dict[InstanceId, float] = {}
        self._silence_limit_seconds = PARENT_SILENCE_SECONDS
        self._last_parent_contact_at: float | None = None
        self._checks = LivenessChecks()

    @property
    def neighbours(self) -> Neighbours:
        """Return the neighbours of this daemon in the tree."""
        return self._neighbours

    @property
    def suspects(self) -> frozenset[InstanceId]:
        """Return the peers that are suspected to be dead or frozen."""
        return self._suspects

    @property
    def checked_peers(self) -> tuple[InstanceId, ...]:
        """Return the peers that are suspected unless they answer in time."""
        return self._checks.pending_peers()

    @property
    def is_list_known(self) -> bool:
        """Return whether a list has been received from the store or a peer."""
        return self._is_list_known

    def record_list_read(self) -> None:
        """Record that the store has answered with a list, even an empty one."""
        self._is_list_known = True
        self._needs_update = True

    def is_watcher(self, now: float) -> bool:
        """Return whether the position makes this daemon watch the store.

        The first root of a region watches, and so does a daemon that has heard
        no parent for too long.
        """
        return self._is_list_known and (
            self._neighbours.is_first_root
            or self.silence_seconds(now) > self._orphan_seconds
        )

    def silence_seconds(self, now: float) -> float:
        """Return for how long no parent was heard, or 0 without parents."""
        if self._last_parent_contact_at is None or not self._neighbours.parents:
            return 0
        return now - self._last_parent_contact_at

    def record_contact(self, now: float, peer: InstanceId) -> None:
        """Record contact with a peer, which ends a suspicion of the peer."""
        self._checks.record_contact(now, peer)
        if self._parent_contact_at.get(peer) is not None:
            self._parent_contact_at[peer] = now
            self._last_parent_contact_at = now
        if peer in self._suspects:
            self._suspects -= {peer}
            self._needs_update = True

    def resume(self, now: float) -> None:
        """Restart all silence timeouts after a pause of this process."""
        self._checks.resume(now)
        self._parent_contact_at = dict.fromkeys(self._parent_contact_at, now)
        if self._last_parent_contact_at is not None:
            self._last_parent_contact_at = now

    def update(self, now: float, membership: MembershipState) -> None:
        """Compute the tree again if the list or the suspected peers changed."""
        live = membership.live_members()
        if live is self._live_members and not self._needs_update:
            return
        self._live_members = live
        self._is_list_known = self._is_list_known or bool(live)
        self._needs_update = False
        self._suspects &= {member.instance for member in live}
        if self._is_list_known:
            self._set_tree(
                now, Tree(own=self._own, members=self._unsuspected_members())
            )

    def check_parents_of(self, now: float, child: Member) -> None:
        """Start liveness checks of the expected parents of an unexpected child.

        The child has probably chosen this daemon because the expected parents
        are silent.
        """
        is_expected = child in self._neighbours.children
        if is_expected or self._tree is None:
            return
        # The expected parents may include parents of this daemon. A single
        # silent parent of two becomes a suspect only by a failed check.
        expected = (parent.instance for parent in self._tree.parents(child))
        self._checks.start(
            now,
            (peer for peer in expected if peer != self._own.instance),
        )

    def suspect_silent_peers(self, now: float) -> Effects:
        """Suspect peers that failed a check, and silent parents.

        Parents are suspected only if all of them are silent.
        """
        silent = self._checks.pop_timed_out(now)
        last_seen_at = max(self._parent_contact_at.values(), default=now)
        if now - last_seen_at >= self._silence_limit_seconds:
            silent = (*silent, *self._parent_contact_at)
        if not silent:
            return []
        self._suspects = self._suspects.union(silent)
        self._needs_update = True
        return [
            WriteLog(
                level=LogLevel.WARNING,
                code=PEERS_SUSPECTED,
                fields=(('peers', ' '.join(silent)),),
            ),
        ]

    def _unsuspected_members(self) -> tuple[Member, ...]:
        return tuple(
            member
            for member in self._live_members
            if member.instance not in self._suspects
        )

    def _set_tree(self, now: float, tree: Tree) -> None:
        self._tree = tree
        self._neighbours = tree.own_neighbours()
        self._parent_contact_at = {
            parent.instance: self._parent_contact_at.get(parent.instance, now)
            for parent in self._neighbours.parents
        }
        # A new random limit keeps siblings from suspecting their parents at
        # the same time.
        jitter = self._random.uniform(0, PARENT_SILENCE_JITTER_SECONDS)
        self._silence_limit_seconds = PARENT_SILENCE_SECONDS + jitter
        if self._last_parent_contact_at is None:
            self._last_parent_contact_at = now
