"""Run whole daemons with tenants in simulated time.

Every event goes through the reducer. The links have a fixed latency and may be
cut; each upstream runs a request for a fixed time.
"""

import heapq
import itertools
import json
from bisect import bisect_left
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Any, Final, TypeAlias

import msgspec

from briartack.core import effects as out
from briartack.core import events, messages
from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.units import (
    CallId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.credentials import digest_key
from briartack.platform.configuration import TEAM_KEY, translate_subtree

TICK_SECONDS: Final = 0.1
LATENCY_SECONDS: Final = 0.002
RUN_SECONDS: Final = 0.005
START_AT: Final = 100.0
SERVICE: Final = 'op/main'
REGIONS: Final = ('north', 'south')
TENANT_HEADER: Final = 'X-Tenant'
WINDOW_SECONDS: Final = 5.0
Action: TypeAlias = Callable[[], None]


def tenant(name: str, *keys: str, **spec: Any) -> dict[str, Any]:
    """Return the resource of a tenant as operators write it."""
    return {
        'resource_kind': 'tenants',
        'metadata': {'name': name},
        'spec': {'api_keys': list(keys), **spec},
    }


def route(name: str, prefix: str, **spec: Any) -> dict[str, Any]:
    """Return the resource of a route as operators write it."""
    return {
        'resource_kind': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': '',
            'prefix': prefix,
            'kind': 'idempotent',
            'timeout_ms': 2000,
            'target_latency_ms': 500,
            'service': 'main',
            **spec,
        },
    }


ROUTES: Final = (
    route('main', '/main/'),
    route('public', '/public/', public=True),
    route('slow', '/slow/', timeout_ms=60_000),
)


@dataclass(slots=True, kw_only=True)
class TenantFleet:
    """Run daemons and hold what their callers and upstreams saw.

    `runs` holds the time, the daemon and the headers of each run, `sent` the
    messages between daemons, and `written` the lines of log and audit trail.
    """

    size: int = 1
    seed: int = 1
    resources: tuple[dict[str, Any], ...] = ()
    now: float = START_AT
    names: list[str] = field(default_factory=list)
    states: dict[str, State] = field(default_factory=dict)
    answers: dict[str, out.AnswerCall] = field(default_factory=dict)
    answered_at: dict[str, float] = field(default_factory=dict)
    runs: list[tuple[float, str, dict[str, str]]] = field(default_factory=list)
    written: list[out.WriteLog | out.WriteAudit] = field(default_factory=list)
    sent: list[tuple[str, str, messages.PeerMessage]] = field(
        default_factory=list
    )
    cuts: set[frozenset[str]] = field(default_factory=set)
    # Daemons that are frozen, so that their peers' messages go unanswered.
    frozen: set[str] = field(default_factory=set)
    # Daemons of an earlier release.
    old: set[str] = field(default_factory=set)
    cut_from_store: set[str] = field(default_factory=set)
    run_seconds: float = RUN_SECONDS
    _linked: set[frozenset[str]] = field(default_factory=set)
    listed: dict[str, tuple[str, ...]] = field(default_factory=dict)
    _entry: Entry | None = None
    _revision: int = 0
    _starts: int = 0
    _partitions: int = 0
    _running: dict[str, str] = field(default_factory=dict)
    _queue: list[tuple[float, int, Action]] = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=itertools.count)
    _random: Random = field(default_factory=lambda: Random(7))

    def __post_init__(self) -> None:
        """Start the daemons and publish the first version everywhere."""
        self.names = [f'm{number}' for number in range(self.size)]
        for name in self.names:
            self.listed[name] = tuple(self.names)
        for name in self.names:
            self.start(name)
        if self.resources:
            self.publish(*self.resources)
        self.run_until(self.now + 0.3)

    def start(self, name: str) -> None:
        """Start a daemon, or restart it with nothing but the store's values."""
        for other in self.names:
            self._unlink(name, other)
        self._starts += 1
        identity = Identity(
            instance=InstanceId(name),
            incarnation=Incarnation(f'{name}.{self._starts}'),
            service=SERVICE,
            data_centre=f'{self._region_of(name)}-1',
            region=self._region_of(name),
        )
        self.states[name] = State(
            identity=identity,
            random=Random(f'{name} {self.seed} {self._starts}'),
            drain_seconds=5,
        )
        self.apply(
            name,
            events.Started(now=self.now, incarnation=identity.incarnation),
        )
        self._read_store(name)
        probed = events.UpstreamProbed(
            now=self.now,
            is_healthy=True,
            is_draining=False,
            identity=f'u-{name}',
            reported_load=0,
        )
        self.apply(name, probed)

    def publish(
        self, *resources: dict[str, Any], to: tuple[str, ...] | None = None
    ) -> None:
        """Publish a version of the operators' configuration.

        Only the daemons in `to` get it, by default all.
        """
        self._revision += 1
        service = {
            'resource_kind': 'services',
            'metadata': {'name': 'main'},
            # A rate replaces the limit of one slot at the start.
            'spec': {'max_conns': 1000, 'cold_per_s': 100_000},
        }
        version = {
            'version': self._revision,
            'resources': [*ROUTES, service, *resources],
        }
        text, stated = translate_subtree(json.dumps(version).encode())
        self._entry = Entry(
            key=TEAM_KEY,
            revision=Revision(self._revision),
            value=text,
            stated=stated,
        )
        for name in self.names if to is None else to:
            self._read_store(name)

    def list_instances(self, name: str, listed: tuple[str, ...]) -> None:
        """Set which instances one daemon sees in the list."""
        self.listed[name] = listed
        self._revision += 1
        self._read_store(name)

    def cut(self, left: str, right: str) -> None:
        """Cut the link between two daemons."""
        self.cuts.add(frozenset((left, right)))
        self._unlink(left, right)

    def partition(self, cut_off: tuple[str, ...]) -> None:
        """Cut some daemons off from the others and from the store.

        The others drop them from their lists 2.5 s later.
        """
        others = tuple(one for one in self.names if one not in cut_off)
        for left in cut_off:
            for right in others:
                self.cut(left, right)
        self.cut_from_store.update(cut_off)
        self._fail_store()
        self._partitions += 1
        self._after(2.5, partial(self._drop_cut_off, self._partitions, others))

    def heal(self) -> None:
        """Restore all links; daemons dial again by themselves.

        Those that were cut off from the store are listed again.
        """
        self.cuts.clear()
        if self.cut_from_store:
            self.cut_from_store.clear()
            for name in self.names:
                self.list_instances(name, tuple(self.names))

    def call(
        self,
        name: str,
        call_id: str,
        *,
        key: str = '',
        request_id: str = '',
        path: str = '/main/x',
        body_bytes: int = 0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        """Make a call at a daemon."""
        event = events.CallArrived(
            now=self.now,
            call_id=CallId(call_id),
            method='GET',
            target=path,
            headers=headers,
            request_id=request_id or call_id,
            parent_id=request_id.rpartition('.')[0],
            key_digest=digest_key(key.encode()) if key else '',
            body_bytes=body_bytes,
        )
        self.apply(name, event)

    def read_body(self, name: str, call_id: str, size: int) -> None:
        """Report the complete body of a call."""
        event = events.CallBodyRead(
            now=self.now,
            call_id=CallId(call_id),
            body_bytes=size,
            body_digest=Digest(b''),
        )
        self.apply(name, event)

    def run_until(self, until: float) -> None:
        """Advance the clock, with a tick of every daemon each 0.1 s."""
        while self.now < until:
            tick_at = min(self.now + TICK_SECONDS, until)
            while self._queue and self._queue[0][0] <= tick_at:
                at, _, action = heapq.heappop(self._queue)
                self.now = max(at, self.now)
                action()
            self.now = tick_at
            for name in tuple(self.names):
                self.apply(name, events.Tick(now=self.now))

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action of the test."""
        heapq.heappush(self._queue, (at, next(self._order), action))

    def apply(self, name: str, event: events.Event) -> None:
        """Feed an event to a daemon and execute the effects."""
        for effect in reduce(self.states[name], event):
            self._execute(name, effect)

    def flood(
        self,
        names: tuple[str, ...],
        calls_per_second: float,
        seconds: float,
        *,
        label: str = 'f',
        **request: Any,
    ) -> None:
        """Schedule calls at random times from now on, at each daemon.

        Their ids begin with the label.
        """
        for name in names:
            end = self.now + seconds
            at = self.now + self._random.expovariate(calls_per_second)
            while at < end:
                call_id = f'{label}{next(self._order)}'
                self.schedule(at, partial(self.call, name, call_id, **request))
                at += self._random.expovariate(calls_per_second)

    def list_excesses(
        self, header: str, bound: float, since: float = 0
    ) -> list[tuple[float, int]]:
        """Return the windows of 5 s with more runs than a bound.

        Each is given by the time of its first run, and their number.
        """
        times = [
            at
            for at, _, headers in self.runs
            if headers.get(TENANT_HEADER) == header and at >= since
        ]
        counts = [
            (start, bisect_left(times, start + WINDOW_SECONDS) - first)
            for first, start in enumerate(times)
        ]
        return [(start, count) for start, count in counts if count > bound]

    def count_answers(self, status: int) -> int:
        """Return how many calls were answered with a status."""
        return sum(one.status == status for one in self.answers.values())

    def count_sent(self, *kinds: type) -> int:
        """Return how many messages of some kinds the daemons sent."""
        return sum(isinstance(sent[-1], kinds) for sent in self.sent)

    def make_hello(self, name: str) -> messages.Hello:
        """Return the first message of a daemon."""
        identity = self.states[name].identity
        return messages.Hello(
            protocol_version=messages.PROTOCOL_VERSION,
            instance=identity.instance,
            incarnation=identity.incarnation,
            service=identity.service,
            data_centre=identity.data_centre,
            region=identity.region,
            clock=self.now,
            leases_caps=name not in self.old,
        )

    def _execute(self, name: str, effect: out.Effect) -> None:
        match effect:
            case out.SendMessage():
                self._send(name, effect.peer, effect.message)
            case out.SendAttempt():
                self._send(name, effect.peer, effect.attempt)
            case out.SendAnswer():
                self._send(name, effect.peer, effect.answer)
            case out.Connect():
                self._after(
                    LATENCY_SECONDS, partial(self._dial, name, effect.peer)
                )
            case out.Disconnect():
                self._unlink(name, effect.peer)
            case out.Dispatch():
                self._dispatch(name, effect)
            case out.WakeAt():
                self.schedule(
                    effect.at, partial(self._tick, name, self.states[name])
                )
            case out.ReadStore() | out.WatchStore():
                self._after(
                    LATENCY_SECONDS,
                    partial(
                        self._answer_store, name, self.states[name], effect
                    ),
                )
            case out.WriteLog() | out.WriteAudit():
                self.written.append(effect)
            case out.AnswerCall():
                self.answers[effect.call_id] = effect
                self.answered_at[effect.call_id] = self.now

    def _after(self, seconds: float, action: Action) -> None:
        self.schedule(self.now + seconds, action)

    def _drop_cut_off(self, number: int, others: tuple[str, ...]) -> None:
        """Let the other daemons drop those of a partition that still lasts."""
        if self.cut_from_store and number == self._partitions:
            for name in others:
                self.list_instances(name, others)

    def _answer_store(
        self, name: str, state: State, call: out.ReadStore | out.WatchStore
    ) -> None:
        """Answer a read, or let a call fail; other watches stay open."""
        if self.states[name] is not state:
            return
        if name in self.cut_from_store:
            is_read = isinstance(call, out.ReadStore)
            failed = events.StoreFailed(
                now=self.now,
                operation=(
                    events.StoreOperation.READ
                    if is_read
                    else events.StoreOperation.WATCH
                ),
                prefix=call.prefix if isinstance(call, out.ReadStore) else '',
                reason='cut',
            )
            self.apply(name, failed)
        elif isinstance(call, out.ReadStore):
            self._read_store(name)

    def _fail_store(self) -> None:
        """Report failed watches each second, as the watchers see them."""
        for name in self.cut_from_store:
            failed = events.StoreFailed(
                now=self.now,
                operation=events.StoreOperation.WATCH,
                prefix='',
                reason='cut',
            )
            self.apply(name, failed)
        if self.cut_from_store:
            self._after(1, self._fail_store)

    def _tick(self, name: str, state: State) -> None:
        if self.states[name] is state:
            self.apply(name, events.Tick(now=self.now))

    def _dial(self, name: str, peer: str) -> None:
        pair = frozenset((name, peer))
        if peer not in self.states or pair in self.cuts:
            reason = 'unreachable'
            self.apply(
                name,
                events.PeerDisconnected(
                    now=self.now, peer=InstanceId(peer), reason=reason
                ),
            )
            return
        if pair in self._linked:
            return
        self._linked.add(pair)
        for own, other in ((name, peer), (peer, name)):
            connected = events.PeerConnected(
                now=self.now,
                peer=InstanceId(other),
                hello=self.make_hello(other),
            )
            self.apply(own, connected)

    def _unlink(self, left: str, right: str) -> None:
        pair = frozenset((left, right))
        if pair not in self._linked:
            return
        self._linked.discard(pair)
        for own, other in ((left, right), (right, left)):
            lost = events.PeerDisconnected(
                now=self.now, peer=InstanceId(other), reason='cut'
            )
            self.apply(own, lost)

    def _send(self, name: str, peer: str, message: Any) -> None:
        if frozenset((name, peer)) in self._linked:
            self.sent.append((name, peer, message))
            self._after(
                LATENCY_SECONDS, partial(self._receive, name, peer, message)
            )

    def _receive(
        self, name: str, peer: str, message: messages.PeerMessage
    ) -> None:
        is_linked = frozenset((name, peer)) in self._linked
        if is_linked and peer not in self.frozen:
            event = events.PeerMessageReceived(
                now=self.now, peer=InstanceId(name), message=message
            )
            self.apply(peer, event)
            self._deliver_body(name, peer, message)

    def _deliver_body(
        self, name: str, peer: str, message: messages.PeerMessage
    ) -> None:
        if isinstance(message, messages.Attempt) and message.body_bytes:
            read = events.AttemptBodyRead(
                now=self.now,
                peer=InstanceId(name),
                attempt_id=message.attempt_id,
            )
            self.apply(peer, read)

    def _dispatch(self, name: str, effect: out.Dispatch) -> None:
        self.runs.append((self.now, name, dict(effect.headers)))
        answered = events.UpstreamAnswered(
            now=self.now,
            attempt_id=effect.attempt_id,
            status=200,
            headers=(),
            body_bytes=0,
            body_digest=Digest(b''),
            elapsed_seconds=self.run_seconds,
        )
        self._after(
            self.run_seconds,
            partial(self._answer, name, self.states[name], answered),
        )

    def _answer(
        self, name: str, state: State, event: events.UpstreamAnswered
    ) -> None:
        if self.states[name] is state:
            self.apply(name, msgspec.structs.replace(event, now=self.now))

    def _read_store(self, name: str) -> None:
        if name in self.cut_from_store:
            return
        entries = [] if self._entry is None else [self._entry]
        entries.extend(map(self._make_record, self.listed[name]))
        read = events.StoreRead(
            now=self.now,
            prefix='',
            revision=Revision(self._revision + 1),
            entries=tuple(entries),
        )
        self.apply(name, read)

    def _make_record(self, name: str) -> Entry:
        number = self.names.index(name)
        record = {
            'service': SERVICE,
            'data_centre': f'{self._region_of(name)}-1',
            'region': self._region_of(name),
            'peer_address': f'127.0.0.1:{7001 + number}',
            'slots': 1000,
        }
        return Entry(
            key=f'instances/{name}',
            revision=Revision(self._revision + 1),
            value=json.dumps(record),
        )

    def _region_of(self, name: str) -> str:
        return REGIONS[self.names.index(name) % 2]
