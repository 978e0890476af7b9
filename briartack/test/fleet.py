"""Daemons' dissemination joined by a queue and a clock that tests move."""

import heapq
import itertools
import math
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
from briartack.core.identity import Identity
from briartack.core.units import Incarnation, InstanceId, Revision
from briartack.test.fake_holdings import FakeHoldings, FakeStore

TICK: Final = 0.1
Make: TypeAlias = Callable[..., events.Event]
Handler: TypeAlias = Callable[..., Any]
Step: TypeAlias = Callable[[], None]
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
FROM_STORE: Final = (events.StoreRead, events.StoreWatched, events.StoreFailed)


class Node:
    """One daemon; what happens to a frozen one waits until it is thawed."""

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
        self.held = FakeHoldings()
        self.is_frozen = False
        self.inbox: list[Make] = []
        self.watch: tuple[float, Revision] | None = None  # until, after
        self.copies: Counter[tuple[str, int]] = Counter()


class Fleet:
    """Runs the effects of all nodes; a link joins two live nodes."""

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
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.is_dropped: Callable[[str, wire.PeerMessage], bool] = (
            lambda peer, message: False
        )
        self._queue: list[tuple[float, int, Step]] = []
        self._order = itertools.count()
        shape = itertools.product(range(regions), range(centres), range(size))
        self.names = [f'r{place[0]}-{place[1]}-{place[2]}' for place in shape]
        self.store.put('teams/a', 'first')
        for name in self.names:
            self.enlist(name)

    def enlist(self, name: str) -> None:
        record = {'service': 's', 'data_centre': name[:4], 'region': name[:2]}
        record['peer_address'] = name
        text = msgspec.json.encode(record).decode()
        self.store.put(f'instances/{name}', text)

    def start(self, *names: str) -> None:
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
        self.nodes.pop(name)
        self._unlink(lambda link: name in link)

    def cut(self, is_cut: Callable[[str, str], bool]) -> None:
        self.is_cut = is_cut
        self._unlink(lambda link: is_cut(*link))

    def thaw(self, name: str) -> None:
        self.nodes[name].is_frozen = False
        for make in self.nodes[name].inbox:
            self.feed(name, make)
        self.nodes[name].inbox.clear()

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK)):
            until = self.now + TICK
            while self._queue and self._queue[0][0] <= until:
                at, _order, step = heapq.heappop(self._queue)
                self.now = at
                step()
            self.now = until
            for name, node in tuple(self.nodes.items()):
                if not node.is_frozen:
                    self.feed(name, events.Tick)
            self._answer_watches()

    def run_until(self, is_reached: Callable[[], bool], limit: float) -> bool:
        until = self.now + limit
        while not is_reached() and self.now < until:
            self.run(TICK)
        return is_reached()

    def watchers(self) -> list[str]:
        return [name for name, node in self.nodes.items() if node.watch]

    def edit(self, key: str, text: str | None) -> Revision:
        revision = self.store.put(key, text).revision
        self._answer_watches()
        return revision

    def roots(self, region: str) -> list[str]:
        named = [name for name in self.names if name.startswith(region)]
        return sorted(named, key=lambda name: rank(region, InstanceId(name)))

    def lacking(self, revision: Revision) -> list[str]:
        """Name the nodes that do not hold an edit."""
        return [
            name
            for name, node in self.nodes.items()
            if revision
            not in {held.revision for held in node.held.versions().values()}
        ]

    def send(self, name: str, peer: str, message: wire.PeerMessage) -> None:
        self.sent[type(message).__name__] += 1
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        seconds = 0.0005 if name[:2] == peer[:2] else 0.012
        self._later(seconds, partial(self._arrive, name, peer, message))

    def feed(self, name: str, make: Make) -> None:
        node = self.nodes.get(name)
        if node is None:
            return
        if node.is_frozen:
            node.inbox.append(make)
            return
        event = make(now=self.now)
        members = node.held.membership
        rest = () if isinstance(event, FROM_STORE) else (members,)
        if isinstance(event, events.PeerConnected):
            members.record_incarnation(event.peer, event.hello.incarnation)
        if isinstance(event, events.PeerMessageReceived):
            _note_goodbye(members, event)
        outcome = HANDLERS[type(event)](node.state, event, node.held, *rest)
        if isinstance(outcome, core.ReceivedEntries):
            self._run(name, outcome.effects)
            changed = node.held.merge(
                outcome.entries,
                outcome.full_read_prefix,
                outcome.revision,
            )
            outcome = core.on_merged(
                node.state,
                self.now,
                changed=bool(changed),
                holdings=node.held,
                source=outcome.source,
            )
        self._run(name, outcome)

    def _run(self, name: str, effects: out.Effects) -> None:
        for effect in effects:
            match effect:
                case out.SendMessage():
                    self.send(name, effect.peer, effect.message)
                case out.Connect():
                    self._dial(name, effect.peer)
                case out.ReadStore():
                    self._read(name, effect.prefix)
                case out.WatchStore():
                    self._watch(name, effect)
                case out.CancelWatch():
                    self.nodes[name].watch = None
                case out.WriteLog():
                    self.logs[effect.code] += 1

    def _later(self, seconds: float, step: Step) -> None:
        at = self.now + seconds
        heapq.heappush(self._queue, (at, next(self._order), step))

    def _feed_later(
        self,
        seconds: float,
        name: str,
        make: Make,
    ) -> None:
        self._later(seconds, partial(self.feed, name, make))

    def _arrive(self, name: str, peer: str, message: wire.PeerMessage) -> None:
        is_linked = frozenset((name, peer)) in self.links
        if not is_linked or self.is_dropped(peer, message):
            return
        if isinstance(message, wire.Entries):
            copies = ((entry.key, entry.revision) for entry in message.entries)
            self.nodes[peer].copies.update(copies)
        sender = InstanceId(name)
        received = events.PeerMessageReceived
        self.feed(peer, partial(received, peer=sender, message=message))

    def _dial(self, name: str, peer: str) -> None:
        link = frozenset((name, peer))
        if peer not in self.nodes or self.is_cut(name, peer):
            self._lost(name, peer)
        elif link not in self.links and not self.nodes[peer].is_frozen:
            self.links.add(link)
            for one, other in itertools.permutations(link):
                hello = self.nodes[other].hello
                connected = events.PeerConnected
                make = partial(connected, peer=hello.instance, hello=hello)
                self._feed_later(0, one, make)

    def _unlink(self, is_lost: Callable[[frozenset[str]], bool]) -> None:
        for link in sorted(filter(is_lost, self.links), key=sorted):
            self.links.discard(link)
            for one, other in itertools.permutations(sorted(link)):
                self._lost(one, other)

    def _lost(self, name: str, peer: str) -> None:
        lost = events.PeerDisconnected
        make = partial(lost, peer=InstanceId(peer), reason='lost')
        self._feed_later(0, name, make)

    def _answer(
        self,
        name: str,
        operation: events.StoreOperation,
        make: Make,
    ) -> None:
        if self.store.is_down or self.is_cut(name, 'r0-store'):
            failed = events.StoreFailed
            make = partial(failed, operation=operation, prefix='', reason='')
        self._feed_later(self.store_seconds(name), name, make)

    def _read(self, name: str, prefix: str) -> None:
        self.store.calls.append((self.now, 'read'))
        make = partial(
            events.StoreRead,
            prefix=prefix,
            revision=self.store.revision,
            entries=self.store.read(prefix),
            elapsed_seconds=self.store_seconds(name),
        )
        self._answer(name, events.StoreOperation.READ, make)

    def _watch(self, name: str, effect: out.WatchStore) -> None:
        self.store.calls.append((self.now, 'watch'))
        until = self.now + effect.wait_seconds
        if self.store.is_down or self.is_cut(name, 'r0-store'):
            until = self.now
        self.nodes[name].watch = (until, effect.after)
        self._answer_watches()

    def _answer_watches(self) -> None:
        for name, node in self.nodes.items():
            until, after = node.watch or (math.inf, self.store.revision)
            entries = self.store.above(after)
            if self.now >= until or entries:
                node.watch = None
                make = partial(
                    events.StoreWatched,
                    revision=self.store.revision,
                    entries=entries,
                )
                self._answer(name, events.StoreOperation.WATCH, make)


def _note_goodbye(
    members: MembershipState,
    event: events.PeerMessageReceived,
) -> None:
    """Do what the reducer does before it hands a goodbye on."""
    if isinstance(event.message, wire.Goodbye):
        members.mark_leaving(event.peer, event.message.incarnation)
