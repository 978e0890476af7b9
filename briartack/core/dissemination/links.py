"""Which peers to dial and which to send summaries to."""

from collections.abc import Iterable, Iterator
from random import Random
from typing import Final, final

from briartack.core.dissemination.dialling import (
    REDIAL_SECONDS,
    Dialler,
    DialRequest,
)
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.overlay import Member
from briartack.core.dissemination.remote_probe import RemoteProbe
from briartack.core.dissemination.subscribers import Subscribers
from briartack.core.dissemination.tree_position import TreePosition
from briartack.core.effects import Effects
from briartack.core.identity import Identity
from briartack.core.messages import Hello
from briartack.core.units import InstanceId

REDIAL_PARENT_SECONDS: Final = 1.0
LOST_LINK_JITTER_SECONDS: Final = 0.3
SECOND_DIALLER_SECONDS: Final = 5.0


@final
class LinksState:
    """Own the streams, the times to dial and the probe of another region."""

    __slots__ = (
        '_identity',
        '_random',
        '_tree',
        '_redial_seconds',
        '_regions',
        '_subscribers',
        '_upward',
        '_dialler',
        '_remote_probe',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        tree: TreePosition,
        redial_seconds: float = REDIAL_SECONDS,
    ) -> None:
        """Start without streams."""
        self._identity = identity
        self._random = random
        self._tree = tree
        self._redial_seconds = redial_seconds
        self._regions: dict[InstanceId, str] = {}  # of connected peers
        self._subscribers = Subscribers()
        self._upward: frozenset[InstanceId] = frozenset()
        self._dialler = Dialler()
        self._remote_probe = RemoteProbe(region=identity.region, random=random)

    @property
    def parents(self) -> tuple[InstanceId, ...]:
        """Return the parents that a stream leads to."""
        return self._linked(self._tree.place.parents)

    @property
    def local(self) -> tuple[InstanceId, ...]:
        """Return the linked neighbours in this region."""
        return tuple(
            peer for peer in self._neighbours() if not self.is_remote(peer)
        )

    @property
    def remote(self) -> tuple[InstanceId, ...]:
        """Return the linked neighbours in other regions."""
        return tuple(filter(self.is_remote, self._neighbours()))

    @property
    def upward(self) -> frozenset[InstanceId]:
        """Return the peers that this daemon counts on."""
        return self._upward

    def is_linked(self, peer: InstanceId) -> bool:
        """Tell whether a stream to a peer is up."""
        return peer in self._regions

    def is_remote(self, peer: InstanceId) -> bool:
        """Tell whether a connected peer runs in another region."""
        return self._regions.get(peer) != self._identity.region

    def connect(self, peer: InstanceId, hello: Hello) -> None:
        """Note a stream."""
        self._regions[peer] = hello.region

    def disconnect(self, now: float, peer: InstanceId) -> None:
        """Note that a stream is down, and plan to dial again soon."""
        self._subscribers.remove(peer)
        if self._regions.pop(peer, None) is not None:
            jitter = self._random.uniform(0, LOST_LINK_JITTER_SECONDS)
            self._dialler.plan(peer, now + jitter)
        else:
            self._remote_probe.fail(peer)

    def subscribe(self, now: float, peer: InstanceId) -> bool:
        """Note a summary of a child and tell whether the child is new."""
        return self._subscribers.renew(now, peer)

    def unsubscribe(self, peer: InstanceId) -> None:
        """Forget a subscriber that is about to stop."""
        self._subscribers.remove(peer)

    def resume(self, now: float) -> None:
        """Keep the subscribers that a pause kept from being heard."""
        self._subscribers.extend(now)

    def due(self, now: float, membership: MembershipState) -> Effects:
        """Follow the place in the tree and dial who is missing."""
        if self._tree.is_list_known:
            self._remote_probe.follow(now, membership.live_members())
        self._upward = frozenset(
            member.instance
            for member in (*self._tree.place.parents, *self._remote_members())
        )
        self._subscribers.expire(now)
        requests = [
            request
            for request in self._requests(membership)
            if request.member.instance not in self._regions
        ]
        return self._dialler.due(now, requests)

    def _linked(self, members: Iterable[Member]) -> tuple[InstanceId, ...]:
        return tuple(
            member.instance
            for member in members
            if member.instance in self._regions
        )

    def _remote_members(self) -> tuple[Member, ...]:
        wanted = (*self._tree.place.remote_roots, *self._remote_probe.current())
        return tuple(dict.fromkeys(wanted))

    def _neighbours(self) -> tuple[InstanceId, ...]:
        members = (*self._tree.place.parents, *self._remote_members())
        peers = (*self._linked(members), *self._subscribers.current())
        return tuple(dict.fromkeys(peers))

    def _requests(self, membership: MembershipState) -> Iterator[DialRequest]:
        place = self._tree.place
        for parent in place.parents:
            yield DialRequest(
                member=parent, redial_seconds=REDIAL_PARENT_SECONDS
            )
        for probe in self._remote_probe.current():
            yield DialRequest(member=probe)
        for root in place.remote_roots:
            # Two roots that want each other would dial at the same time.
            is_second = self._identity.instance > root.instance
            delay_seconds = SECOND_DIALLER_SECONDS if is_second else 0
            yield DialRequest(member=root, delay_seconds=delay_seconds)
        # Children dial by themselves, unless they have no list: one that
        # starts while the store is down hears of its parents only by this.
        for child in place.children:
            yield self._later(child)
        for checked in map(membership.get, self._tree.checked):
            if checked is not None:
                yield DialRequest(member=checked)
        for peer in (*self._tree.suspects, *membership.leaving_marks):
            doubted = membership.get(peer)
            if doubted is not None:
                yield self._later(doubted)

    def _later(self, member: Member) -> DialRequest:
        """Ask for a stream that the other side would rather open."""
        return DialRequest(
            member=member,
            delay_seconds=self._redial_seconds,
            redial_seconds=self._redial_seconds,
        )
