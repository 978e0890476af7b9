"""Simulate a fleet whose streams, store and clocks fail in many ways.

The store may be silent to some daemons, refuse calls, lose answers, drop its
history and answer lists late.
"""

from collections import defaultdict
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final, TypeAlias, final

from briartack.core import effects as out
from briartack.core import events
from briartack.core.dissemination.store_rules import StoreRules
from briartack.core.entries import INSTANCE_PREFIX, Entry
from briartack.core.units import Revision
from briartack.test.fleet import EventFactory
from briartack.test.stream_fleet import StreamFleet

STORE: Final = 'r0-store'
READ_TIMEOUT_SECONDS: Final = 3.0
REFUSAL_SECONDS: Final = 0.005

Refusal: TypeAlias = Callable[[str], float | None]


@final
class _Lagging:
    """Make events at the time of a clock that lags."""

    __slots__ = ('_make_event', '_lag', 'is_lagging')

    def __init__(self, make_event: EventFactory, lag: float) -> None:
        self._make_event = make_event
        self._lag = lag
        self.is_lagging = True

    def __call__(self, *, now: float) -> events.Event:
        return self._make_event(now=now - self._lag)


class FaultyFleet(StreamFleet):
    """Run a fleet whose store and clocks fail too.

    `refusal_of` is the Retry-After of a store that refuses a daemon. Watches
    after a revision below `history_from` fail, and `list_copy` is what reads
    of the list return instead of its current state.
    """

    def __init__(
        self,
        regions: int,
        centres: int,
        size: int,
        *,
        rules: StoreRules,
        random: Random,
    ) -> None:
        super().__init__(regions, centres, size, rules=rules, random=random)
        self.refusal_of: Refusal = lambda name: None
        self.is_answer_lost: Callable[[str], bool] = lambda name: False
        self.history_from = Revision(0)
        self.list_copy: tuple[Revision, tuple[Entry, ...]] | None = None
        self._clock_lags: defaultdict[str, float] = defaultdict(float)
        self._watch_counts: defaultdict[str, int] = defaultdict(int)

    def lag_clock(self, name: str, seconds: float) -> None:
        """Set the steady clock of a daemon back, as a suspension does."""
        self._clock_lags[self.nodes[name].hello.incarnation] += seconds

    def deliver(self, name: str, make_event: EventFactory) -> None:
        """Deliver an event with the time of the daemon's own clock."""
        node = self.nodes.get(name)
        lag = node and self._clock_lags.get(node.hello.incarnation)
        if lag and not getattr(make_event, 'is_lagging', False):
            make_event = _Lagging(make_event, lag)
        super().deliver(name, make_event)

    def fail_watches(self) -> None:
        """End all pending watches, as a store does that goes down."""
        for name, node in self.nodes.items():
            if node.watch is not None:
                node.watch = None
                operation = events.StoreOperation.WATCH
                self._fail_call(name, operation, '', REFUSAL_SECONDS)

    def _execute(self, name: str, effects: out.Effects) -> None:
        if any(isinstance(effect, out.CancelWatch) for effect in effects):
            self._watch_counts[name] += 1
        super()._execute(name, effects)

    def _is_mute(self, name: str) -> bool:
        """Return whether the calls of a daemon get no answer."""
        is_cut = self.is_blocked(name, STORE) or self.is_blocked(STORE, name)
        return is_cut or self.is_store_silent(name)

    def _fail_call(
        self,
        name: str,
        operation: events.StoreOperation,
        prefix: str,
        seconds: float,
        retry_after: float | None = None,
    ) -> None:
        make_event = partial(
            events.StoreFailed,
            operation=operation,
            prefix=prefix,
            reason='failed',
            retry_after_seconds=retry_after,
        )
        self._deliver_to_start(seconds, name, make_event)

    def _deliver_to_start(
        self, seconds: float, name: str, make_event: EventFactory
    ) -> None:
        """Deliver an event unless the daemon has been started anew."""
        incarnation = self.nodes[name].hello.incarnation
        self._schedule(
            seconds,
            partial(self._deliver_if_same, name, incarnation, make_event),
        )

    def _deliver_if_same(
        self, name: str, incarnation: str, make_event: EventFactory
    ) -> None:
        if self.is_same_start(name, incarnation):
            self.deliver(name, make_event)

    def _read_store(self, name: str, prefix: str) -> None:
        self.store.calls.append((self.now, 'read'))
        operation = events.StoreOperation.READ
        refusal = self.refusal_of(name)
        seconds = self.store_seconds(name)
        if self._is_mute(name):
            self._fail_call(name, operation, prefix, READ_TIMEOUT_SECONDS)
        elif self.store.is_down or refusal is not None:
            self._fail_call(name, operation, prefix, REFUSAL_SECONDS, refusal)
        elif self.is_answer_lost(name) or seconds >= READ_TIMEOUT_SECONDS:
            self._fail_call(name, operation, prefix, READ_TIMEOUT_SECONDS)
        else:
            self._schedule(
                seconds / 2, partial(self._answer_read, name, prefix, seconds)
            )

    def _answer_read(self, name: str, prefix: str, seconds: float) -> None:
        if name not in self.nodes:
            return
        revision = self.store.revision
        entries = self.store.read(prefix)
        if prefix == INSTANCE_PREFIX and self.list_copy is not None:
            revision, entries = self.list_copy
        make_event = partial(
            events.StoreRead,
            prefix=prefix,
            revision=revision,
            entries=entries,
            era=self.store.era,
            elapsed_seconds=seconds,
        )
        self._deliver_to_start(seconds / 2, name, make_event)

    def _watch_store(self, name: str, effect: out.WatchStore) -> None:
        self.store.calls.append((self.now, 'watch'))
        self._watch_counts[name] += 1
        refusal = self.refusal_of(name)
        if self.store.is_down or refusal is not None:
            self.nodes[name].watch = None
            operation = events.StoreOperation.WATCH
            self._fail_call(name, operation, '', REFUSAL_SECONDS, refusal)
            return
        until = self.now + effect.wait_seconds
        self.nodes[name].watch = (until, effect.after)
        self._answer_due_watches()

    def _answer_due_watches(self) -> None:
        if self.store.is_down:
            return
        for name, node in self.nodes.items():
            is_mute = self.are_watches_silent or self._is_mute(name)
            make_event = self._make_watch_answer(node.watch)
            if is_mute or make_event is None:
                continue
            node.watch = None
            if not self.is_answer_lost(name):
                count = self._watch_counts[name]
                self._schedule(
                    self.store_seconds(name),
                    partial(self._deliver_watch, name, count, make_event),
                )

    def _deliver_watch(
        self, name: str, count: int, make_event: EventFactory
    ) -> None:
        # A watch that was cancelled meanwhile has no answer.
        if self._watch_counts[name] == count and name in self.nodes:
            self.deliver(name, make_event)

    def _make_watch_answer(
        self, watch: tuple[float, Revision] | None
    ) -> EventFactory | None:
        if watch is not None and watch[1] < self.history_from:
            watch = (watch[0], Revision(self.store.revision + 1))
        return super()._make_watch_answer(watch)
