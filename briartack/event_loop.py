"""The loop of a daemon: events go to the reducer one at a time.

An event is applied in the greenlet in which it occurs, since a queue between
greenlets would cost a switch for each event. Greenlets switch only at I/O, and
no effect waits for I/O, so a guard against re-entry keeps the order.
"""

from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from typing import Final, Generic, TypeAlias, TypeVar, final

import gevent

from briartack.core.effects import Effect, Effects
from briartack.core.events import Event, Tick
from briartack.core.redaction import redacted
from briartack.error_texts import EFFECT_FAILED, REDUCER_FAILED, TRACE_FAILED
from briartack.logs import write_exception
from briartack.ports import Clock
from briartack.recorder import Recorder

StateT = TypeVar('StateT')
Reduce: TypeAlias = Callable[[StateT, Event], Effects]
# Each handler takes the effect of the class under which it is listed.
Handlers: TypeAlias = Mapping[type[Effect], Callable[..., None]]

TICK_SECONDS: Final = 0.1


@final
class EventLoop(Generic[StateT]):
    """Apply events to the state and execute the effects."""

    __slots__ = (
        '_state',
        '_reduce',
        '_clock',
        '_handlers',
        '_after_event',
        '_recorder',
        '_waiting',
        '_is_busy',
        '_wake_timer',
        '_wake_at',
    )

    def __init__(
        self,
        *,
        state: StateT,
        reduce: Reduce[StateT],
        clock: Clock,
        recorder: Recorder | None,
    ) -> None:
        """Start without handlers; `connect` sets them."""
        self._state = state
        self._reduce = reduce
        self._clock = clock
        self._handlers: Handlers = {}
        self._after_event: Callable[[], None] = _nothing
        self._recorder = recorder
        self._waiting: deque[Event] = deque()
        self._is_busy = False
        self._wake_timer: gevent.Greenlet | None = None
        self._wake_at: float = 0

    @property
    def state(self) -> StateT:
        """Return the state, for reports to operators."""
        return self._state

    def connect(
        self,
        handlers: Handlers,
        *,
        after_event: Callable[[], None],
    ) -> None:
        """Set what executes effects and what follows each event."""
        self._handlers = handlers
        self._after_event = after_event

    def deliver(self, event: Event) -> None:
        """Apply an event now, or after the one that is being applied."""
        self._waiting.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._waiting:
                self._apply(self._waiting.popleft())
        finally:
            self._is_busy = False

    def tick_forever(self) -> None:
        """Deliver regular ticks until killed."""
        while True:
            self.deliver(Tick(now=self._clock()))
            gevent.sleep(TICK_SECONDS)

    def wake_at(self, at: float) -> None:
        """Deliver a tick at a time before the next regular one."""
        if self._wake_timer is not None:
            if self._wake_at <= at:
                return
            self._wake_timer.kill(block=False)
        self._wake_at = at
        delay = max(0, at - self._clock())
        self._wake_timer = gevent.spawn_later(delay, self._wake)

    def flush_trace(self) -> None:
        """Write out the trace so far, so that a kill loses little of it."""
        if self._recorder is not None:
            self._write_trace(self._recorder.flush)

    def close(self) -> None:
        """Write out the trace."""
        recorder = self._recorder
        self._recorder = None
        if recorder is not None:
            recorder.close()

    def _wake(self) -> None:
        self._wake_timer = None
        self.deliver(Tick(now=self._clock()))

    def _apply(self, event: Event) -> None:
        try:
            effects = self._reduce(self._state, event)
        except Exception:
            # Ending here would let one event stop the whole fleet; what was
            # in force stays in force.
            write_exception(REDUCER_FAILED, {'event': type(event).__name__})
            self._record(event, [])
            return
        self._record(event, effects)
        for effect in effects:
            self._execute(effect)
        self._after_event()

    def _execute(self, effect: Effect) -> None:
        try:
            self._handlers[type(effect)](effect)
        except Exception:
            write_exception(EFFECT_FAILED, {'effect': type(effect).__name__})

    def _record(self, event: Event, effects: Effects) -> None:
        if self._recorder is not None:
            kept = redacted(event, effects)
            self._write_trace(partial(self._recorder.write, kept))

    def _write_trace(self, write: Callable[[], None]) -> None:
        try:
            write()
        except OSError:
            self._recorder = None
            write_exception(TRACE_FAILED, {})


def _nothing() -> None:
    """Follow an event with nothing."""
