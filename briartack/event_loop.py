"""Run the event loop of a daemon: pass events to the reducer one at a time.

An event is applied in the greenlet in which it occurs, because a queue between
greenlets would cost a greenlet switch for each event. Greenlets switch only at
I/O and no effect handler waits for I/O, so a guard against re-entry is enough
to apply events in order.
"""

from collections import deque
from collections.abc import Callable, Mapping
from typing import Final, Generic, TypeAlias, TypeVar, final

import gevent

from briartack.core.effects import Effect, Effects
from briartack.core.events import Event, Tick
from briartack.core.redaction import redact_event
from briartack.error_texts import EFFECT_FAILED, REDUCER_FAILED, TRACE_FAILED
from briartack.logs import write_exception
from briartack.recorder import Recorder
from briartack.shell_interfaces import Clock

StateT = TypeVar('StateT')
Reduce: TypeAlias = Callable[[StateT, Event], Effects]
# Each handler takes an effect of the class that is its key.
Handlers: TypeAlias = Mapping[type[Effect], Callable[..., None]]

TICK_SECONDS: Final = 0.1
# A timer that is late by more than this shows that the process stood still.
_LATE_SECONDS: Final = 0.1
# Room for the reads of all sockets that became ready meanwhile.
_CATCH_UP_SECONDS: Final = 0.02
_AFTER_EVENT: Final = 'after event'


@final
class EventLoop(Generic[StateT]):
    """Apply events to the state and execute the resulting effects.

    Holds the state of the core, the queue of events that occurred while
    another event was being applied, and the timer of the next wake-up.
    """

    __slots__ = (
        '_state',
        '_reduce',
        '_clock',
        '_handlers',
        '_after_event',
        '_recorder',
        '_queued_events',
        '_is_applying',
        '_wake_timer',
        '_wake_at',
        '_failed_events',
    )

    def __init__(
        self,
        *,
        state: StateT,
        reduce: Reduce[StateT],
        clock: Clock,
        recorder: Recorder | None,
    ) -> None:
        """Create the loop without handlers; `attach_handlers` sets them."""
        self._state = state
        self._reduce = reduce
        self._clock = clock
        self._handlers: Handlers = {}
        self._after_event: Callable[[], None] = _do_nothing
        self._recorder = recorder
        self._queued_events: deque[Event] = deque()
        self._is_applying = False
        self._wake_timer: gevent.Greenlet | None = None
        self._wake_at: float = 0
        self._failed_events = 0

    @property
    def state(self) -> StateT:
        """Return the state of the core, for reports to operators."""
        return self._state

    @property
    def failed_events(self) -> int:
        """Return how many events were skipped since the reducer failed."""
        return self._failed_events

    def attach_handlers(
        self,
        handlers: Handlers,
        *,
        after_event: Callable[[], None],
    ) -> None:
        """Set the effect handlers and the hook that runs after each event."""
        self._handlers = handlers
        self._after_event = after_event

    def deliver(self, event: Event) -> None:
        """Apply an event now, or queue it while another is being applied."""
        self._queued_events.append(event)
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while self._queued_events:
                self._apply(self._queued_events.popleft())
        finally:
            self._is_applying = False

    def tick_forever(self) -> None:
        """Deliver a tick every TICK_SECONDS until killed."""
        while True:
            self.deliver(Tick(now=self._clock()))
            due_at = self._clock() + TICK_SECONDS
            gevent.sleep(TICK_SECONDS)
            self._catch_up(due_at)

    def wake_at(self, at: float) -> None:
        """Schedule an extra tick at a clock time, in seconds.

        Only the earliest scheduled tick is kept.
        """
        if self._wake_timer is not None:
            if self._wake_at <= at:
                return
            self._wake_timer.kill(block=False)
        self._wake_at = at
        now = self._clock()
        due_at = max(now, at)
        self._wake_timer = gevent.spawn_later(
            due_at - now, self._deliver_wake_tick, due_at
        )

    def flush_trace(self) -> None:
        """Flush the event trace, so that a kill loses little of it."""
        if self._recorder is not None:
            self._call_recorder(self._recorder.flush)

    def close(self) -> None:
        """Close the event trace and stop recording."""
        recorder = self._recorder
        self._recorder = None
        if recorder is not None:
            recorder.close()

    def _deliver_wake_tick(self, due_at: float) -> None:
        self._wake_timer = None
        self._catch_up(due_at)
        self.deliver(Tick(now=self._clock()))

    def _catch_up(self, due_at: float) -> None:
        """Let sockets be read first if a timer is late.

        The hub serves timers before sockets. Without the wait, a tick would end
        calls at a deadline although their answers arrived before it.
        """
        if self._clock() > due_at + _LATE_SECONDS:
            gevent.sleep(_CATCH_UP_SECONDS)

    def _apply(self, event: Event) -> None:
        try:
            effects = self._reduce(self._state, event)
        except Exception:
            # If the daemon exited here, one faulty event could stop the whole
            # fleet. The event is skipped and the configuration in force
            # is kept.
            self._failed_events += 1
            write_exception(REDUCER_FAILED, {'event': type(event).__name__})
            self._record(event, [])
            return
        self._record(event, effects)
        for effect in effects:
            self._execute(effect)
        try:
            self._after_event()
        except Exception:
            write_exception(EFFECT_FAILED, {'effect': _AFTER_EVENT})

    def _execute(self, effect: Effect) -> None:
        try:
            self._handlers[type(effect)](effect)
        except Exception:
            write_exception(EFFECT_FAILED, {'effect': type(effect).__name__})

    def _record(self, event: Event, effects: Effects) -> None:
        recorder = self._recorder
        if recorder is not None:
            self._call_recorder(
                lambda: recorder.write(redact_event(event, effects))
            )

    def _call_recorder(self, write: Callable[[], None]) -> None:
        try:
            write()
        except Exception:
            # The effects of the event are executed without a trace of it.
            self._recorder = None
            write_exception(TRACE_FAILED, {})


def _do_nothing() -> None:
    """Do nothing after an event."""
