"""Share the memory for requests among bodies that arrive at the same time.

A body holds what has arrived and one step ahead, not what its caller states.
When there is no room for a step, callers that send slowly are refused first. If
all of them wait for room, the one that holds least is refused, so that the
others can go on. A refused request has not run, since its body is incomplete.
"""

import io
import time
from typing import Final, Protocol, final

import gevent
from gevent.event import Event

from briartack.inbound_call import InboundCall
from briartack.memory_budget import Lease, MemoryBudget
from briartack.shell_interfaces import Observer
from briartack.turns import TurnLimit

# Small bodies are reserved whole: it is SMALL_BODY_BYTES of the budget too.
STEP_BYTES: Final = 65536
# A caller that has sent less than a step in this time is slow.
SLOW_SECONDS: Final = 1.0
# A body that has arrived in part waits for room for so long. Meanwhile others
# complete, or their callers become slow.
MAX_WAIT_SECONDS: Final = 1.0
_POLL_SECONDS: Final = 0.02
# pywsgi keeps an object of 50 bytes for each chunk until so many bytes have
# arrived, also if the chunks have a byte or two each.
_CHUNKED_READ_BYTES: Final = 2048


class NoBodyRoomError(Exception):
    """Report that there is no room for the rest of a body."""


class _BodySource(Protocol):
    """Represent the part of pywsgi's `Input` that is read."""

    def read(self, length: int) -> bytes:
        """Return so many bytes, or fewer at the end of the body."""


class _InputState(Protocol):
    """Represent the part of `Pipeline` that tells of unread input."""

    @property
    def has_unread_input(self) -> bool:
        """Return whether bytes of the caller have arrived and are unread."""


@final
class _ArrivingBody:
    """Represent a body of which part has arrived.

    `step_at` is when its present step began, and `reader` the greenlet that
    reads it.
    """

    __slots__ = (
        '_connection',
        'body_bytes',
        'max_bytes',
        'lease',
        'reader',
        'step_at',
        'is_waiting',
        'is_first',
        'is_refused',
    )

    def __init__(
        self,
        *,
        lease: Lease,
        body_bytes: int | None,
        max_bytes: int,
        connection: _InputState,
    ) -> None:
        self._connection = connection
        self.body_bytes = body_bytes
        self.max_bytes = max_bytes if body_bytes is None else body_bytes
        self.lease = lease
        self.reader: gevent.Greenlet | None = gevent.getcurrent()
        self.step_at = time.monotonic()
        self.is_waiting = False
        self.is_first = Event()
        self.is_refused = False

    @property
    def is_slow(self) -> bool:
        """Return whether the caller takes long to send the present step.

        After a pause of the daemon, all that was sent meanwhile is unread.
        """
        is_late = time.monotonic() - self.step_at >= SLOW_SECONDS
        may_arrive = not self.is_waiting and not self.is_refused
        return may_arrive and is_late and not self._connection.has_unread_input

    def needs_step(self, received: int) -> bool:
        """Return whether the next part would exceed the room.

        Chunks are read in small parts, the last of which may be empty.
        """
        next_bytes = received
        if self.body_bytes is not None:
            next_bytes = min(received + STEP_BYTES, self.body_bytes)
        return next_bytes > self.lease.size

    def extend(self, size: int) -> None:
        """Begin a step that ends at a size."""
        self.lease.resize(size)
        self.step_at = time.monotonic()

    def refuse(self) -> None:
        """Give the room to others, and let the reader end."""
        self.is_refused = True
        self.lease.release()
        gevent.get_hub().loop.run_callback(self._interrupt_reader)

    def _interrupt_reader(self) -> None:
        # The reader may have ended meanwhile.
        if self.reader is not None:
            self.reader.throw(NoBodyRoomError())


@final
class ArrivingBodies:
    """Admit the bodies of requests and read them within the memory."""

    __slots__ = ('_memory', '_observer', '_bodies', '_waiting', '_search_at')

    def __init__(self, *, memory: MemoryBudget, observer: Observer) -> None:
        self._memory = memory
        self._observer = observer
        self._bodies: list[_ArrivingBody] = []
        self._search_at = float('-inf')
        self._waiting: list[_ArrivingBody] = []

    def admit(self, body_bytes: int | None) -> Lease | None:
        """Return room for the first step of a body that would fit whole now.

        `body_bytes` is None if its size is not stated.
        """
        whole_bytes = STEP_BYTES if body_bytes is None else body_bytes
        is_large = whole_bytes > STEP_BYTES
        # Others of which part has arrived go before.
        if is_large and self._waiting:
            return None
        if not self._make_room(whole_bytes, whole_bytes):
            return None
        return self._memory.reserve_request(
            min(whole_bytes, STEP_BYTES), whole_bytes
        )

    def make_room_for_objects(self, size: int) -> bool:
        """Return whether objects have room beside an exclusive body.

        The body is refused for them if it still arrives. Without such a body,
        the number of objects has limits of its own.
        """
        memory = self._memory
        if not memory.exclusive.held_bytes or memory.fits_objects(size):
            return True
        for body in self._bodies:
            if memory.exclusive.applies_to(body.lease.size):
                self._refuse(body)
                return True
        return False

    def read(
        self,
        call: InboundCall,
        lease: Lease,
        source: _BodySource,
        *,
        connection: _InputState,
        max_bytes: int,
    ) -> bytes | None:
        """Read the body of a call; return None if it has more than allowed.

        `lease` is what `admit` has returned.
        Raises NoBodyRoomError, and OSError and ValueError for broken bodies.
        """
        body = _ArrivingBody(
            lease=lease,
            body_bytes=call.head.body_bytes,
            max_bytes=max_bytes,
            connection=connection,
        )
        self._bodies.append(body)
        try:
            return self._read_parts(call, source, body)
        finally:
            body.reader = None
            self._bodies.remove(body)

    def _read_parts(
        self, call: InboundCall, source: _BodySource, body: _ArrivingBody
    ) -> bytes | None:
        # Its value shares the memory in which the parts are collected.
        collected = io.BytesIO()
        received = 0
        turn = TurnLimit()
        read_bytes = STEP_BYTES
        if body.body_bytes is None:
            read_bytes = _CHUNKED_READ_BYTES
        while not call.is_answered and received != body.body_bytes:
            self._extend_room(body, received)
            part = source.read(read_bytes)
            if not part:
                break
            received += len(part)
            if received > body.max_bytes:
                return None
            collected.write(part)
            turn.count_read(len(part))
        if body.is_refused:
            raise NoBodyRoomError
        return collected.getvalue()

    def _extend_room(self, body: _ArrivingBody, received: int) -> None:
        """Extend the room by a step if what has arrived fills it.

        Waits for MAX_WAIT_SECONDS at most; raises NoBodyRoomError.
        """
        if not body.is_refused and not body.needs_step(received):
            return
        size = min(received + STEP_BYTES, body.max_bytes)
        if self._waiting or not self._has_room(body, size):
            self._wait_for_room(body, size)
        body.extend(size)

    def _wait_for_room(self, body: _ArrivingBody, size: int) -> None:
        """Wait until a body is the first that waits and has room.

        Only the first looks for room: many bodies that look at all others
        would hold up the event loop.
        """
        until = time.monotonic() + MAX_WAIT_SECONDS
        body.is_waiting = True
        self._waiting.append(body)
        try:
            while self._waiting[0] is not body or not self._has_room(
                body, size
            ):
                seconds = until - time.monotonic()
                if seconds <= 0:
                    raise NoBodyRoomError
                if self._waiting[0] is body:
                    seconds = min(seconds, _POLL_SECONDS)
                body.is_first.wait(seconds)
                body.is_first.clear()
        finally:
            body.is_waiting = False
            self._waiting.remove(body)
            if self._waiting:
                self._waiting[0].is_first.set()

    def _has_room(self, body: _ArrivingBody, size: int) -> bool:
        """Return whether there is room for a step, or will be; else refuse.

        Raises NoBodyRoomError if this body has been refused.
        """
        if body.is_refused:
            raise NoBodyRoomError
        whole_bytes = max(size, body.body_bytes or 0)
        if self._make_room(whole_bytes, size - body.lease.size):
            return True
        left = [one for one in self._bodies if not one.is_refused]
        if len(left) > 1 and all(one.is_waiting for one in left):
            # Of those that hold the same, the last one is refused.
            self._refuse(min(reversed(left), key=_get_held_bytes))
            return not body.is_refused and self._make_room(
                whole_bytes, size - body.lease.size
            )
        return False

    def _make_room(self, size: int, growth: int) -> bool:
        """Return whether a body may grow, after refusing slow callers.

        None is refused if that would not make room. After a search in vain,
        the next one waits: each looks at all bodies and connections.
        """
        memory = self._memory
        if memory.fits(size, growth):
            return True
        now = time.monotonic()
        if now < self._search_at:
            return False
        if self._refuse_slow(size, growth):
            return True
        self._search_at = now + _POLL_SECONDS
        return False

    def _refuse_slow(self, size: int, growth: int) -> bool:
        memory = self._memory
        if memory.is_full and memory.make_room() and memory.fits(size, growth):
            return True
        slow = sorted(
            (one for one in self._bodies if one.is_slow), key=_get_held_bytes
        )
        if not memory.fits(size, growth - sum(map(_get_held_bytes, slow))):
            return False
        while not memory.fits(size, growth):
            self._refuse(slow.pop())
        return True

    def _refuse(self, body: _ArrivingBody) -> None:
        self._observer.count('bodies.given_up')
        body.refuse()


def _get_held_bytes(body: _ArrivingBody) -> int:
    return body.lease.size
