"""Simulate the dissemination of a fleet of daemons in tests.

Messages, store answers and connections are scheduled in one queue; the clock
moves only when a test runs the fleet.
"""

import heapq
import itertools
from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import msgspec

from briartack.core import effects as out
from briartack.core import events
from briartack.core import messages as wire
from briartack.core.dissemination import dissemination as core
from briartack.core.dissemination.dissemination_state import DisseminationState
from briartack.core.dissemination.membership import MembershipState
from briartack.core.dissemination.overlay import rank
from briartack.core.dissemination.store_rules import (
    DEFAULT_STORE_RULES,
    StoreRules,
)
from briartack.core.entries import StatedOrder
from briartack.core.identity import Identity
from briartack.core.units import Incarnation, InstanceId, Revision
from briartack.test.fake_holdings import FakeHoldings, FakeStore

TICK_SECONDS: Final = 0.1
EventFactory: TypeAlias = Callable[..., events.Event]
Handler: TypeAlias = Callable[..., Any]
Action: TypeAlias = Callable[[], None]
HANDLERS: Final[Mapping[type, Handler]] = MappingProxyType(
    {
        events.Tick: core.on_tick,
        events.StoreRead: core.on_store_read,
        events.StoreWatched: core.on_store_watched,
        events.StoreFailed: core.on_store_failed,
        events.PeerConnected: core.on_peer_connected,
        events.PeerDisconnected: core.on_peer_disconnected,
        events.PeerMessageReceived: core.on_message,
    },
)
STORE_EVENTS: Final = (
    events.StoreRead,
    events.StoreWatched,
    events.StoreFailed,
)


class Node:
    """Hold the dissemination state and the holdings of one daemon.

    Events for a frozen daemon (a paused process) wait in its inbox until it is
    resumed. `copies` counts the entries received from peers, by key and
    revision.
    """

    def __init__(
        self,
        identity: Identity,
        seed: int,
        rules: StoreRules,
    ) -> None:
        self.hello = wire.Hello(
            protocol_version=wire.PROTOCOL_VERSION,
            instance=identity.instance,
            incarnation=identity.incarnation,
            service=identity.service,
            data_centre=identity.data_centre,
            region=identity.region,
            clock=0,
        )
        self.state = DisseminationState(
            identity=identity,
            random=Random(seed),
            rules=rules,
        )
        self.holdings = FakeHoldings()
        self.is_frozen = False
        self.inbox: list[EventFactory] = []
        self.watch: tuple[float, Revision] | None = None  # until, after
        self.copies: Counter[tuple[str, int]] = Counter()


class Fleet:
    """Run the daemons of a fleet, their links and the fake store.

    The daemon `rX-Y-Z` is number Z of data centre `rX-Y` in region `rX`. Tests
    inject faults by `is_cut` (no connection between two names), `is_dropped`
    (a message to a peer is lost), `store_seconds` (latency of the store),
    `is_store_silent` (the store accepts a daemon's calls and never answers
    them), `are_watches_silent` (it does so with all watches) and `is_frozen`.
    The store is in region `r0`, under the name `r0-store`.
    """

    def __init__(
        self,
        regions: int,
        centres: int,
        size: int,
        *,
        rules: StoreRules = DEFAULT_STORE_RULES,
    ) -> None:
        self.now = 100.0
        self.rules = rules
        self.store = FakeStore()
        self.nodes: dict[str, Node] = {}
        self.links: set[frozenset[str]] = set()
        self.sent: Counter[str] = Counter()
        self.sent_bytes = 0
        self.logs: Counter[str] = Counter()
        self.store_seconds: Callable[[str], float] = lambda name: 0.003
        self.is_store_silent: Callable[[str], bool] = lambda name: False
        self.are_watches_silent = False
        self.is_cut: Callable[[str, str], bool] = lambda left, right: False
        self.is_dropped: Callable[[str, wire.PeerMessage], bool] = (
            lambda peer, message: False
        )
        self._queue: list[tuple[float, int, Action]] = []
        self._order = itertools.count()
        positions = itertools.product(
            range(regions), range(centres), range(size)
        )
        self.names = [
            f'r{position[0]}-{position[1]}-{position[2]}'
            for position in positions
        ]
        self.store.put('teams/a', '1')
        for name in self.names:
            self.list_instance(name)

    def list_instance(self, name: str) -> None:
        """Put the instance record of a daemon into the store."""
        record = {'service': 's', 'data_centre': name[:4], 'region': name[:2]}
        record['peer_address'] = name
        text = msgspec.json.encode(record).decode()
        self.store.put(f'instances/{name}', text)

    def start(self, *names: str) -> None:
        """Start daemons by name, or all of them, each as a new incarnation."""
        for name in names or self.names:
            count = next(self._order)
            identity = Identity(
                instance=InstanceId(name),
                incarnation=Incarnation(f'{name}.{count}'),
                service='s',
                data_centre=name[:4],
                region=name[:2],
            )
            node = Node(identity, count, self.rules)
            self.nodes[name] = node
            event = events.Started(
                now=self.now,
                incarnation=identity.incarnation,
            )
            core.on_started(node.state, event)

    def kill(self, name: str) -> None:
        """Remove a daemon; its peers lose their connections to it."""
        self.nodes.pop(name)
        self._drop_links(lambda link: name in link)

    def partition(self, is_cut: Callable[[str, str], bool]) -> None:
        """Partition the network: drop the links for which `is_cut` holds."""
        self.is_cut = is_cut
        self._drop_links(lambda link: is_cut(*link))

    def resume(self, name: str) -> None:
        """Resume a frozen daemon and deliver the events in its inbox."""
        self.nodes[name].is_frozen = False
        for make_event in self.nodes[name].inbox:
            self.deliver(name, make_event)
        self.nodes[name].inbox.clear()

    def run(self, seconds: float) -> None:
        """Advance the clock, with a tick of every daemon each 0.1 s."""
        for _ in range(round(seconds / TICK_SECONDS)):
            until = self.now + TICK_SECONDS
            while self._queue and self._queue[0][0] <= until:
                at, _order, action = heapq.heappop(self._queue)
                self.now = at
                action()
            self.now = until
            for name, node in tuple(self.nodes.items()):
                if not node.is_frozen:
                    self.deliver(name, events.Tick)
            self._answer_due_watches()

    def run_until(self, is_reached: Callable[[], bool], limit: float) -> bool:
        """Run until a condition holds, for `limit` seconds at most."""
        until = self.now + limit
        while not is_reached() and self.now < until:
            self.run(TICK_SECONDS)
        return is_reached()

    def list_watchers(self) -> list[str]:
        """Return the names of the daemons with a pending watch of the store."""
        return [name for name, node in self.nodes.items() if node.watch]

    def edit_store(
        self, key: str, text: str | None, stated: StatedOrder = ()
    ) -> Revision:
        """Put a value under a key of the store; `None` deletes the key."""
        revision = self.store.put(key, text, stated).revision
        self._answer_due_watches()
        return revision

    def rank_daemons(self, region: str) -> list[str]:
        """Return the daemons of a region by rank; the first is the root."""
        named = [name for name in self.names if name.startswith(region)]
        return sorted(named, key=lambda name: rank(region, InstanceId(name)))

    def find_daemons_without(self, revision: Revision) -> list[str]:
        """Return the names of the daemons that do not hold a revision."""
        return [
            name
            for name, node in self.nodes.items()
            if revision
            not in {held.revision for held in node.holdings.versions().values()}
        ]

    def send(self, name: str, peer: str, message: wire.PeerMessage) -> None:
        """Count a message and schedule its arrival.

        The latency is 0.5 ms within a region and 12 ms between regions.
        """
        self.sent[type(message).__name__] += 1
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        seconds = 0.0005 if name[:2] == peer[:2] else 0.012
        self._schedule(seconds, partial(self._receive, name, peer, message))

    def deliver(self, name: str, make_event: EventFactory) -> None:
        """Deliver an event to a daemon and execute the resulting effects.

        A frozen daemon gets the event when it is resumed; a killed one never.
        """
        node = self.nodes.get(name)
        if node is None:
            return
        if node.is_frozen:
            node.inbox.append(make_event)
            return
        event = make_event(now=self.now)
        members = node.holdings.membership
        membership_arguments = (
            () if isinstance(event, STORE_EVENTS) else (members,)
        )
        if isinstance(event, events.PeerConnected):
            members.record_incarnation(event.peer, event.hello.incarnation)
        if isinstance(event, events.PeerMessageReceived):
            _mark_leaving(members, event)
        outcome = HANDLERS[type(event)](
            node.state, event, node.holdings, *membership_arguments
        )
        if isinstance(outcome, core.ReceivedEntries):
            self._execute(name, outcome.effects)
            changed = node.holdings.merge(
                outcome.entries,
                outcome.full_read_prefix,
                outcome.revision,
            )
            outcome = core.on_merged(
                node.state,
                self.now,
                changed=bool(changed),
                holdings=node.holdings,
                source=outcome.source,
            )
        self._execute(name, outcome)

    def _execute(self, name: str, effects: out.Effects) -> None:
        for effect in effects:
            match effect:
                case out.SendMessage():
                    self.send(name, effect.peer, effect.message)
                case out.Connect():
                    self._connect(name, effect.peer)
                case out.ReadStore():
                    self._read_store(name, effect.prefix)
                case out.WatchStore():
                    self._watch_store(name, effect)
                case out.CancelWatch():
                    self.nodes[name].watch = None
                case out.WriteLog():
                    self.logs[effect.code] += 1

    def _schedule(self, seconds: float, action: Action) -> None:
        at = self.now + seconds
        heapq.heappush(self._queue, (at, next(self._order), action))

    def _deliver_later(
        self,
        seconds: float,
        name: str,
        make_event: EventFactory,
    ) -> None:
        self._schedule(seconds, partial(self.deliver, name, make_event))

    def _receive(self, name: str, peer: str, message: wire.PeerMessage) -> None:
        is_linked = frozenset((name, peer)) in self.links
        if not is_linked or self.is_dropped(peer, message):
            return
        if isinstance(message, wire.Entries):
            copies = ((entry.key, entry.revision) for entry in message.entries)
            self.nodes[peer].copies.update(copies)
        sender = InstanceId(name)
        received = events.PeerMessageReceived
        self.deliver(peer, partial(received, peer=sender, message=message))

    def _connect(self, name: str, peer: str) -> None:
        link = frozenset((name, peer))
        if peer not in self.nodes or self.is_cut(name, peer):
            self._report_lost_link(name, peer)
        elif link not in self.links and not self.nodes[peer].is_frozen:
            self.links.add(link)
            for left, right in itertools.permutations(link):
                hello = self.nodes[right].hello
                connected = events.PeerConnected
                make_event = partial(
                    connected, peer=hello.instance, hello=hello
                )
                self._deliver_later(0, left, make_event)

    def _drop_links(self, is_lost: Callable[[frozenset[str]], bool]) -> None:
        for link in sorted(filter(is_lost, self.links), key=sorted):
            self.links.discard(link)
            for left, right in itertools.permutations(sorted(link)):
                self._report_lost_link(left, right)

    def _report_lost_link(self, name: str, peer: str) -> None:
        lost = events.PeerDisconnected
        make_event = partial(lost, peer=InstanceId(peer), reason='lost')
        self._deliver_later(0, name, make_event)

    def _answer_from_store(
        self,
        name: str,
        operation: events.StoreOperation,
        make_event: EventFactory,
    ) -> None:
        if self.store.is_down or self.is_cut(name, 'r0-store'):
            failed = events.StoreFailed
            make_event = partial(
                failed, operation=operation, prefix='', reason=''
            )
        self._deliver_later(self.store_seconds(name), name, make_event)

    def _read_store(self, name: str, prefix: str) -> None:
        self.store.calls.append((self.now, 'read'))
        if self.is_store_silent(name):
            return
        make_event = partial(
            events.StoreRead,
            prefix=prefix,
            revision=self.store.revision,
            entries=self.store.read(prefix),
            era=self.store.era,
            elapsed_seconds=self.store_seconds(name),
        )
        self._answer_from_store(name, events.StoreOperation.READ, make_event)

    def _watch_store(self, name: str, effect: out.WatchStore) -> None:
        self.store.calls.append((self.now, 'watch'))
        until = self.now + effect.wait_seconds
        if self.store.is_down or self.is_cut(name, 'r0-store'):
            until = self.now
        self.nodes[name].watch = (until, effect.after)
        self._answer_due_watches()

    def _answer_due_watches(self) -> None:
        for name, node in self.nodes.items():
            if self.are_watches_silent or self.is_store_silent(name):
                continue
            make_event = self._make_watch_answer(node.watch)
            if make_event is not None:
                node.watch = None
                self._answer_from_store(
                    name, events.StoreOperation.WATCH, make_event
                )

    def _make_watch_answer(
        self, watch: tuple[float, Revision] | None
    ) -> EventFactory | None:
        """Return the answer to a watch, `None` if it is not due."""
        if watch is None:
            return None
        until, after = watch
        if after > self.store.revision:
            return partial(
                events.StoreFailed,
                operation=events.StoreOperation.WATCH,
                prefix='',
                reason='gone',
                is_history_gone=True,
            )
        entries = self.store.edits_after(after)
        if not entries and self.now < until:
            return None
        return partial(
            events.StoreWatched,
            revision=self.store.revision,
            entries=entries,
            era=self.store.era,
        )


def _mark_leaving(
    members: MembershipState,
    event: events.PeerMessageReceived,
) -> None:
    """Mark a peer as leaving, as the reducer does before dissemination."""
    if isinstance(event.message, wire.Goodbye):
        members.mark_leaving(event.peer, event.message.incarnation)
