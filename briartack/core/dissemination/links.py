"""Streams to peers: which peers to dial and to send summaries to."""

from collections.abc import Iterable, Iterator
from random import Random
from typing import Final, final

from briartack.core.dissemination.dialling import (
    REDIAL_INTERVAL_SECONDS,
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

PARENT_REDIAL_INTERVAL_SECONDS: Final = 1.0
LOST_STREAM_JITTER_SECONDS: Final = 0.3
SECOND_DIALLER_DELAY_SECONDS: Final = 5.0


@final
class LinksState:
    """Track the streams of this daemon and the peers it wants streams to.

    Holds the region of each connected peer, the subscribers, the peers from
    which this daemon expects changes (its sync sources), the dialler, and the
    probe of another region.
    """

    __slots__ = (
        '_identity',
        '_random',
        '_tree',
        '_redial_seconds',
        '_regions',
        '_subscribers',
        '_sync_sources',
        '_dialler',
        '_remote_probe',
    )

    def __init__(
        self,
        *,
        identity: Identity,
        random: Random,
        tree: TreePosition,
        redial_seconds: float = REDIAL_INTERVAL_SECONDS,
    ) -> None:
        self._identity = identity
        self._random = random
        self._tree = tree
        self._redial_seconds = redial_seconds
        self._regions: dict[InstanceId, str] = {}  # of connected peers
        self._subscribers = Subscribers()
        self._sync_sources: frozenset[InstanceId] = frozenset()
        self._dialler = Dialler()
        self._remote_probe = RemoteProbe(region=identity.region, random=random)

    @property
    def connected_peers(self) -> tuple[InstanceId, ...]:
        """Return all peers to which a stream is up."""
        return tuple(self._regions)

    @property
    def parents(self) -> tuple[InstanceId, ...]:
        """Return the parents to which a stream is up."""
        return self._connected_ids(self._tree.neighbours.parents)

    @property
    def local_neighbours(self) -> tuple[InstanceId, ...]:
        """Return the connected neighbours in this region."""
        return tuple(
            peer for peer in self._neighbours() if not self.is_remote(peer)
        )

    @property
    def remote_neighbours(self) -> tuple[InstanceId, ...]:
        """Return the connected neighbours in other regions."""
        return tuple(filter(self.is_remote, self._neighbours()))

    @property
    def sync_sources(self) -> frozenset[InstanceId]:
        """Return the peers from which this daemon expects changes.

        The sync sources are the parents and the wanted peers in other regions.
        """
        return self._sync_sources

    def is_linked(self, peer: InstanceId) -> bool:
        """Return whether a stream to a peer is up."""
        return peer in self._regions

    def is_remote(self, peer: InstanceId) -> bool:
        """Return whether a connected peer runs in another region."""
        return self._regions.get(peer) != self._identity.region

    def add_stream(self, peer: InstanceId, hello: Hello) -> None:
        """Record a stream that has come up."""
        self._regions[peer] = hello.region

    def remove_stream(self, now: float, peer: InstanceId) -> None:
        """Record that a stream or an attempt to open one has failed.

        The peer of a lost stream is dialled again soon. A peer that could not
        be reached is no longer used to probe its region.
        """
        self._subscribers.remove(peer)
        if self._regions.pop(peer, None) is not None:
            jitter = self._random.uniform(0, LOST_STREAM_JITTER_SECONDS)
            self._dialler.schedule(peer, now + jitter)
        else:
            self._remote_probe.drop_unreachable(peer)

    def renew_subscriber(self, now: float, peer: InstanceId) -> bool:
        """Record a summary of a subscriber; return whether it is new."""
        return self._subscribers.renew(now, peer)

    def remove_subscriber(self, peer: InstanceId) -> None:
        """Remove a subscriber that is about to stop."""
        self._subscribers.remove(peer)

    def resume(self, now: float) -> None:
        """Renew all subscribers, which were not heard during a pause."""
        self._subscribers.renew_all(now)

    def dial_missing_peers(
        self, now: float, membership: MembershipState
    ) -> Effects:
        """Update the wanted peers from the tree and dial the missing ones.

        Subscribers that were not heard in time are removed as well.
        """
        if self._tree.is_list_known:
            self._remote_probe.update(now, membership.live_members())
        self._sync_sources = frozenset(
            member.instance
            for member in (
                *self._tree.neighbours.parents,
                *self._remote_members(),
            )
        )
        self._subscribers.expire(now)
        requests = [
            request
            for request in self._dial_requests(membership)
            if request.member.instance not in self._regions
        ]
        return self._dialler.dial_due_peers(now, requests)

    def _connected_ids(
        self, members: Iterable[Member]
    ) -> tuple[InstanceId, ...]:
        return tuple(
            member.instance
            for member in members
            if member.instance in self._regions
        )

    def _remote_members(self) -> tuple[Member, ...]:
        wanted = (
            *self._tree.neighbours.remote_roots,
            *self._remote_probe.probed_members(),
        )
        return tuple(dict.fromkeys(wanted))

    def _neighbours(self) -> tuple[InstanceId, ...]:
        members = (*self._tree.neighbours.parents, *self._remote_members())
        peers = (*self._connected_ids(members), *self._subscribers.peers())
        return tuple(dict.fromkeys(peers))

    def _dial_requests(
        self, membership: MembershipState
    ) -> Iterator[DialRequest]:
        neighbours = self._tree.neighbours
        for parent in neighbours.parents:
            yield DialRequest(
                member=parent, redial_seconds=PARENT_REDIAL_INTERVAL_SECONDS
            )
        for probe in self._remote_probe.probed_members():
            yield DialRequest(member=probe)
        for root in neighbours.remote_roots:
            # The delay keeps two roots from dialling each other at once.
            is_second = self._identity.instance > root.instance
            delay_seconds = SECOND_DIALLER_DELAY_SECONDS if is_second else 0
            yield DialRequest(member=root, delay_seconds=delay_seconds)
        # Children dial their parents, unless they have no list: a child that
        # starts while the store is down learns of its parents only if they
        # dial the child.
        for child in neighbours.children:
            yield self._delayed_request(child)
        for checked in map(membership.get, self._tree.checked_peers):
            if checked is not None:
                yield DialRequest(member=checked)
        for peer in (*self._tree.suspects, *membership.departed_instances):
            suspected = membership.get(peer)
            if suspected is not None:
                yield self._delayed_request(suspected)

    def _delayed_request(self, member: Member) -> DialRequest:
        """Return a request for a stream that the peer should open first."""
        return DialRequest(
            member=member,
            delay_seconds=self._redial_seconds,
            redial_seconds=self._redial_seconds,
        )
