"""The place of a daemon in the tree, and the parents that it suspects."""

from random import Random
from typing import Final, final

from briartack.core.dissemination.checks import Checks
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.overlay import Member, Place, Tree
from briartack.core.dissemination.store_rules import ORPHAN_SECONDS
from briartack.core.effects import Effects, LogLevel, WriteLog
from briartack.core.identity import Identity
from briartack.core.units import InstanceId

SILENCE_SECONDS: Final = 1.5
SILENCE_JITTER_SECONDS: Final = 0.5
PEERS_SUSPECTED: Final = 'peers-suspected'


@final
class TreePosition:
    """Own the place and the suspicions."""

    __slots__ = (
        '_own',
        '_random',
        '_orphan_seconds',
        '_place',
        '_tree',
        '_live',
        '_is_listed',
        '_is_stale',
        '_suspects',
        '_parents_since',
        '_silence_limit',
        '_answered_at',
        '_checks',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        orphan_seconds: float = ORPHAN_SECONDS,
    ) -> None:
        """Start without a list."""
        self._orphan_seconds = orphan_seconds
        self._own = Member(
            instance=identity.instance,
            service=identity.service,
            data_centre=identity.data_centre,
            region=identity.region,
            peer_address='',
        )
        self._random = random
        self._place = Place()
        self._tree: Tree | None = None
        self._live: tuple[Member, ...] = ()
        self._is_listed = False
        self._is_stale = True
        self._suspects: frozenset[InstanceId] = frozenset()
        self._parents_since: dict[InstanceId, float] = {}
        self._silence_limit = SILENCE_SECONDS
        self._answered_at: float | None = None
        self._checks = Checks()

    @property
    def place(self) -> Place:
        """Return the neighbours in the tree."""
        return self._place

    @property
    def suspects(self) -> frozenset[InstanceId]:
        """Return the peers that are taken for dead or frozen."""
        return self._suspects

    @property
    def checked(self) -> tuple[InstanceId, ...]:
        """Return the peers that have to answer, or they are suspected."""
        return self._checks.current()

    @property
    def is_list_known(self) -> bool:
        """Tell whether a list has been received, from whomever."""
        return self._is_listed

    def note_list(self) -> None:
        """Note that the store has answered with a list, maybe an empty one."""
        self._is_listed = True
        self._is_stale = True

    def is_watcher(self, now: float) -> bool:
        """Tell whether this daemon is to watch the store."""
        return self._is_listed and (
            self._place.is_first_root
            or self.silence_seconds(now) > self._orphan_seconds
        )

    def silence_seconds(self, now: float) -> float:
        """Return for how long no parent has answered; 0 without parents."""
        if self._answered_at is None or not self._place.parents:
            return 0
        return now - self._answered_at

    def note_contact(self, now: float, peer: InstanceId) -> None:
        """Note a sign of life, which ends a suspicion."""
        self._checks.note_contact(now, peer)
        if self._parents_since.get(peer) is not None:
            self._parents_since[peer] = now
            self._answered_at = now
        if peer in self._suspects:
            self._suspects -= {peer}
            self._is_stale = True

    def resume(self, now: float) -> None:
        """Forget the silence during a pause of this process."""
        self._checks.resume(now)
        self._parents_since = dict.fromkeys(self._parents_since, now)
        if self._answered_at is not None:
            self._answered_at = now

    def follow(self, now: float, membership: MembershipState) -> None:
        """Compute the place again when the list or a suspicion changed."""
        live = membership.live_members()
        if live is self._live and not self._is_stale:
            return
        self._live = live
        self._is_listed = self._is_listed or bool(live)
        self._is_stale = False
        self._suspects &= {member.instance for member in live}
        if self._is_listed:
            self._move(now, Tree(own=self._own, members=self._trusted()))

    def check_parents_of(self, now: float, child: Member) -> None:
        """Check who should be the parents of an unexpected child."""
        is_expected = child in self._place.children
        if is_expected or self._tree is None:
            return
        # Own parents too: one of two may be silent without being suspected.
        expected = (parent.instance for parent in self._tree.parents(child))
        self._checks.begin(
            now,
            (peer for peer in expected if peer != self._own.instance),
        )

    def suspect(self, now: float) -> Effects:
        """Suspect whom a check or all of the parents' silence condemns."""
        silent = self._checks.take_silent(now)
        last_seen_at = max(self._parents_since.values(), default=now)
        if now - last_seen_at >= self._silence_limit:
            silent = (*silent, *self._parents_since)
        if not silent:
            return []
        self._suspects = self._suspects.union(silent)
        self._is_stale = True
        return [
            WriteLog(
                level=LogLevel.WARNING,
                code=PEERS_SUSPECTED,
                fields=(('peers', ' '.join(silent)),),
            ),
        ]

    def _trusted(self) -> tuple[Member, ...]:
        return tuple(
            member
            for member in self._live
            if member.instance not in self._suspects
        )

    def _move(self, now: float, tree: Tree) -> None:
        self._tree = tree
        self._place = tree.place()
        self._parents_since = {
            parent.instance: self._parents_since.get(parent.instance, now)
            for parent in self._place.parents
        }
        # Drawn anew, so that siblings never act in step.
        jitter = self._random.uniform(0, SILENCE_JITTER_SECONDS)
        self._silence_limit = SILENCE_SECONDS + jitter
        if self._answered_at is None:
            self._answered_at = now
