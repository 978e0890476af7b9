"""Limit the open connections of callers by descriptors and memory.

The other descriptors are kept back for operators, peers, the upstream and the
store. Connections above the limit take the place of idle ones. If there are
none, their requests are refused at once as not run: requests that wait in the
queue of a server that doesn't accept would be given up by their callers.
"""

import itertools
from collections.abc import Iterator
from typing import Final, Protocol, final

import gevent
import msgspec

from briartack.core.effects import LogLevel
from briartack.error_texts import CONNECTIONS_FULL
from briartack.shell_interfaces import Clock, Observer

# The platform reserves so many of its limit for files.
_PLATFORM_FILE_DESCRIPTORS: Final = 200
# Output, event loop and servers, with room for files that are read.
_OWN_FILE_DESCRIPTORS: Final = 32
# No more, and no more than one of so many sockets, is kept back.
_MAX_KEPT_BACK: Final = 512
_SOCKETS_PER_KEPT_BACK: Final = 3
# Memory of a connection between two requests, see docs/CAPACITY.md.
CONNECTION_BYTES: Final = 18_000
_MEMORY_SHARE: Final = 0.15
# One connection of so many is accepted only to refuse its request.
_CONNECTIONS_PER_REFUSAL: Final = 9
# A caller uses a connection again soon after an answer, and a new one at once.
MIN_IDLE_SECONDS: Final = 1.0
# The request of a refused connection has to arrive within this time.
REFUSAL_SECONDS: Final = 1.0
# A request that has arrived by then is read and refused in this time.
_READING_SECONDS: Final = 0.2
_LOG_INTERVAL_SECONDS: Final = 10.0


@final
class ConnectionLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold how many connections are served and how many are refused at once."""

    max_served: int
    max_refused: int

    @property
    def max_open(self) -> int:
        """Return the number of connections at which none is accepted."""
        return self.max_served + self.max_refused


def compute_connection_limits(
    *,
    max_descriptors: int | None,
    system_descriptors: int | None,
    memory_bytes: int,
) -> ConnectionLimits:
    """Return the limits that follow from descriptors and memory.

    `max_descriptors` is what the platform states and `system_descriptors` what
    the system allows; None if there is no such limit.
    """
    max_open = int(memory_bytes * _MEMORY_SHARE) // CONNECTION_BYTES
    for stated, files in (
        (max_descriptors, _PLATFORM_FILE_DESCRIPTORS),
        (system_descriptors, _OWN_FILE_DESCRIPTORS),
    ):
        if stated is not None:
            sockets = max(0, stated - files)
            kept_back = min(_MAX_KEPT_BACK, sockets // _SOCKETS_PER_KEPT_BACK)
            max_open = min(max_open, sockets - kept_back)
    max_refused = max(1, max_open // _CONNECTIONS_PER_REFUSAL)
    return ConnectionLimits(
        max_served=max(1, max_open - max_refused), max_refused=max_refused
    )


class OpenConnection(Protocol):
    """Represent the part of `Pipeline` that decides which connection ends."""

    head_began_at: float | None

    @property
    def awaits_input(self) -> bool:
        """Return whether the next thing to happen is input of the caller."""

    @property
    def has_unread_input(self) -> bool:
        """Return whether bytes of the caller have arrived and are unread."""

    @property
    def is_ending(self) -> bool:
        """Return whether no further response can be written."""

    def shut_down(self) -> None:
        """Shut the connection down in both directions."""


@final
class OpenConnections:
    """Decide which connections of callers are served, closed and refused."""

    __slots__ = (
        '_limits',
        '_clock',
        '_observer',
        '_served',
        '_refused',
        '_discarding',
        '_is_timer_set',
        '_logged_at',
    )

    def __init__(
        self, *, limits: ConnectionLimits, clock: Clock, observer: Observer
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._observer = observer
        # Values are the times of the last activity, in ascending order.
        self._served: dict[OpenConnection, float] = {}
        # Values are the times at which they are closed, mostly in ascending
        # order; a later one in front delays the others by REFUSAL_SECONDS.
        self._refused: dict[OpenConnection, float] = {}
        # Refused connections that linger, and since when they may be closed if
        # others need their places, in ascending order.
        self._discarding: dict[OpenConnection, float] = {}
        self._is_timer_set = False
        self._logged_at = float('-inf')

    def add(self, connection: OpenConnection, *, has_room: bool = True) -> bool:
        """Register a new connection, perhaps in the place of an idle one.

        `has_room` says whether there is memory for one more. Returns False if
        the requests on the connection have to be refused.
        """
        has_place = has_room and len(self._served) < self._limits.max_served
        if has_place or self._close_idle():
            self._served[connection] = self._clock()
            return True
        self._refused[connection] = self._clock() + REFUSAL_SECONDS
        self._set_timer()
        self._make_place()
        self._observer.count('connections.refused')
        self._log_refusal()
        return False

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that is closed."""
        self._served.pop(connection, None)
        self._refused.pop(connection, None)
        self._discarding.pop(connection, None)

    def record_activity(self, connection: OpenConnection) -> None:
        """Make a connection the last one in the order of activity."""
        if self._served.pop(connection, None) is not None:
            self._served[connection] = self._clock()

    def _close_idle(self) -> bool:
        """Close the connection that has been idle for longest, if any is.

        If none is, closes one whose caller is slow to send a head, or one that
        was refused and still sends its body.
        """
        before = self._clock() - MIN_IDLE_SECONDS
        candidates = itertools.chain(
            self._list_idle(before),
            self._list_slow(before),
            self._list_ending(before),
        )
        connection = next(candidates, None)
        if connection is None:
            return False
        self._served.pop(connection)
        self._observer.count('connections.closed_idle')
        connection.shut_down()
        return True

    def _list_idle(self, before: float) -> Iterator[OpenConnection]:
        for connection, active_at in self._served.items():
            if active_at > before:
                return
            if connection.head_began_at is None and connection.awaits_input:
                yield connection

    def _list_slow(self, before: float) -> Iterator[OpenConnection]:
        for connection in self._served:
            began_at = connection.head_began_at
            is_slow = began_at is not None and began_at <= before
            if is_slow and connection.awaits_input:
                yield connection

    def _list_ending(self, before: float) -> Iterator[OpenConnection]:
        for connection, active_at in self._served.items():
            if active_at > before:
                return
            if connection.is_ending:
                yield connection

    def _set_timer(self) -> None:
        # One timer serves all: a greenlet for each would outlive connections
        # that are closed at once, of which there may be thousands a second.
        now = self._clock()
        due_at = next(iter(self._refused.values()), now)
        if not self._refused:
            due_at = next(reversed(self._discarding.values()), now)
        # Those that may be closed already wait for a connection without place.
        has_due = bool(self._refused) or due_at > now
        if has_due and not self._is_timer_set:
            self._is_timer_set = True
            gevent.spawn_later(max(0, due_at - now), self._end_refused)

    def _end_refused(self) -> None:
        """Close refused connections whose request has not arrived in time.

        The others linger until their callers have sent the rest of a body.
        """
        self._is_timer_set = False
        now = self._clock()
        for connection, due_at in tuple(self._refused.items()):
            if due_at > now:
                break
            self._refused.pop(connection)
            if connection.is_ending:
                self._discarding[connection] = now + REFUSAL_SECONDS
            elif connection.has_unread_input:
                # The request arrived while this process stood still.
                self._refused[connection] = now + _READING_SECONDS
            else:
                connection.shut_down()
        self._make_place()
        self._set_timer()

    def _make_place(self) -> None:
        """Close refused connections that hold the last place for others."""
        now = self._clock()
        max_refused = self._limits.max_refused
        for connection, since in tuple(self._discarding.items()):
            refused = len(self._refused) + len(self._discarding)
            if since > now or refused < max_refused:
                return
            self._discarding.pop(connection)
            connection.shut_down()

    def _log_refusal(self) -> None:
        now = self._clock()
        if now - self._logged_at >= _LOG_INTERVAL_SECONDS:
            self._logged_at = now
            self._observer.log(
                LogLevel.WARNING,
                CONNECTIONS_FULL,
                max_connections=str(self._limits.max_served),
            )
