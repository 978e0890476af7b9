"""Serve HTTP to callers.

Requests become events for the core; effects of the core become responses.
"""

import itertools
from functools import partial
from typing import Final, final

import msgspec

from briartack.accepting import MAX_UNREAD_HEAD_BYTES, LimitedHttpServer
from briartack.addresses import Address
from briartack.arriving_bodies import ArrivingBodies
from briartack.bodies import BodyStore
from briartack.caller_connection import CallerHandler
from briartack.caller_pipeline import Pipeline, ReadyResponse
from briartack.core.body_ids import call_body_id
from briartack.core.effects import AnswerCall, LimitCallers, ReadBody
from briartack.core.events import (
    CallArrived,
    CallBodyRead,
    CallCancelled,
    KeyRequested,
)
from briartack.core.units import CallId
from briartack.dialects import CallerDialect
from briartack.error_texts import HEAD_TIMEOUT
from briartack.framing import compute_body_digest
from briartack.inbound_call import InboundCall
from briartack.memory_budget import MemoryBudget
from briartack.open_connections import (
    CONNECTION_BYTES,
    ConnectionLimits,
    OpenConnections,
)
from briartack.read_turns import ReadTurns
from briartack.receive_windows import ReceiveWindows
from briartack.shell_interfaces import (
    LISTEN_BACKLOG,
    Clock,
    DeliverEvent,
    Observer,
)
from briartack.stalled_callers import give_up_stalled_caller

# How long callers may take until a configuration says so.
IDLE_TIMEOUT_SECONDS: Final = 75.0
_STATUS_REQUEST_TIMEOUT: Final = 408
# Memory of a call in flight without its body, see docs/CAPACITY.md.
CALL_BYTES: Final = 8000


@final
class CallerServer:
    """Track calls in flight, report them as events and answer them.

    Holds the open connections of callers and the calls without an answer.
    `server` is the HTTP server once it has been created.
    """

    __slots__ = (
        '_bodies',
        '_deliver',
        '_clock',
        '_calls',
        '_call_numbers',
        '_connections',
        'arriving_bodies',
        'read_turns',
        'receive_windows',
        'dialect',
        'observer',
        '_is_stopping',
        '_limits',
        '_connection_limits',
        '_reserve_bytes',
        '_open_connections',
        'server',
    )

    def __init__(
        self,
        *,
        bodies: BodyStore,
        dialect: CallerDialect,
        deliver: DeliverEvent,
        clock: Clock,
        observer: Observer,
        connection_limits: ConnectionLimits,
    ) -> None:
        self._bodies = bodies
        self.dialect = dialect
        self._deliver = deliver
        self._clock = clock
        self.observer: Final = observer
        self.arriving_bodies: Final = ArrivingBodies(
            memory=bodies.memory, observer=observer
        )
        self.read_turns: Final = ReadTurns()
        self.receive_windows: Final = ReceiveWindows(memory=bodies.memory)
        self._calls: dict[str, tuple[InboundCall, Pipeline]] = {}
        self._is_stopping = False
        self._call_numbers = itertools.count(1)
        self._connections: set[Pipeline] = set()
        self.server: LimitedHttpServer | None = None
        self._connection_limits = connection_limits
        # A connection, and those that are open only to be refused.
        reserved_count = connection_limits.max_refused + 1
        self._reserve_bytes = reserved_count * (
            CONNECTION_BYTES + MAX_UNREAD_HEAD_BYTES
        )
        self._open_connections = OpenConnections(
            limits=connection_limits, clock=clock, observer=observer
        )
        bodies.memory.count_objects(
            lambda: len(self._connections),
            CONNECTION_BYTES,
            unread_bytes=MAX_UNREAD_HEAD_BYTES,
        )
        bodies.memory.count_objects(lambda: len(self._calls), CALL_BYTES)
        bodies.memory.set_reliever(
            partial(
                give_up_stalled_caller,
                self._connections,
                memory=bodies.memory,
                observer=observer,
            )
        )
        self._limits = LimitCallers(
            idle_seconds=IDLE_TIMEOUT_SECONDS,
            header_seconds=IDLE_TIMEOUT_SECONDS,
        )

    @property
    def in_flight(self) -> int:
        """Return the number of calls without an answer."""
        return len(self._calls)

    @property
    def open_connections(self) -> int:
        """Return the number of connections, also of those that are ending."""
        return len(self._connections)

    @property
    def unsent_connections(self) -> tuple[Pipeline, ...]:
        """Return the connections whose callers have yet to get bytes."""
        return tuple(
            connection
            for connection in self._connections
            if connection.has_unsent
        )

    @property
    def has_unread_input(self) -> bool:
        """Return whether bytes of a caller have arrived and are unread."""
        return any(
            connection.has_unread_input for connection in self._connections
        )

    @property
    def memory(self) -> MemoryBudget:
        """Return the budget of the bodies that the daemon holds."""
        return self._bodies.memory

    @property
    def limits_in_force(self) -> LimitCallers:
        """Return the limits, of which that of bodies keeps to the memory."""
        most_bytes = self.memory.max_request_bytes
        if self._limits.max_body_bytes <= most_bytes:
            return self._limits
        return msgspec.structs.replace(self._limits, max_body_bytes=most_bytes)

    def create_server(self, address: Address) -> LimitedHttpServer:
        """Create the HTTP server for callers, which does not listen yet."""
        self.server = LimitedHttpServer(
            address,
            _CallerApplication(callers=self),
            backlog=LISTEN_BACKLOG,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
            limits=self._connection_limits,
            # Without these keys, pywsgi resolves the host name.
            environ={'SERVER_NAME': address[0], 'SERVER_PORT': address[1]},
        )
        return self.server

    def add_connection(self, connection: Pipeline) -> bool:
        """Register a new connection, and close an idle one at the limit.

        Returns False if the requests on the connection have to be refused.
        """
        self._record_activity(connection)
        self._connections.add(connection)
        has_room = self.arriving_bodies.make_room_for_objects(
            self._reserve_bytes
        )
        return self._open_connections.add(connection, has_room=has_room)

    def remove_connection(self, connection: Pipeline) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._open_connections.remove(connection)

    def limit(self, effect: LimitCallers) -> None:
        """Set how long callers may take from their next request on.

        Connections that are waiting get the longer of the times before and now,
        because their callers may still rely on the one before.
        """
        self._limits = effect

    def start_head(self, connection: Pipeline) -> None:
        """Record that the first byte of a request has arrived."""
        connection.head_began_at = self._clock()

    def close_idle_connections(self, idle_seconds: float | None = None) -> None:
        """Close idle connections, and refuse requests whose head is late.

        Connections are idle after `idle_seconds`, by default the time that
        applies to each.
        """
        now = self._clock()
        waiting = [one for one in self._connections if one.awaits_input]
        for connection in waiting:
            began_at = connection.head_began_at
            limits = _choose_longer(connection.limits, self._limits)
            if began_at is None:
                allowed = limits.idle_seconds
                if idle_seconds is not None:
                    allowed = idle_seconds
                if now - connection.last_active_at > allowed:
                    connection.shut_down()
            elif now - began_at > limits.header_seconds:
                self._refuse_late_head(connection)

    def close_connections(self, *, only_idle: bool = False) -> None:
        """Close connections, so that no further request is sent on them.

        Those on which a request arrives or waits for its response stay open if
        only idle ones are closed.
        """
        for connection in tuple(self._connections):
            is_idle = (
                connection.head_began_at is None and connection.awaits_input
            )
            if is_idle or not only_idle:
                connection.shut_down()

    def stop_keep_alive(self) -> None:
        """Close each connection once its last unanswered call is answered."""
        self._is_stopping = True

    def start_call(self, call: InboundCall, pipeline: Pipeline) -> None:
        """Register a call with a new id and report its arrival to the core."""
        call_id = CallId(f'c{next(self._call_numbers)}')
        call.call_id = call_id
        call.arrived_at = self._clock()
        pipeline.head_began_at = None
        self._calls[call_id] = (call, pipeline)
        pipeline.add(call)
        head = call.head
        if head.key_service:
            self._deliver(
                KeyRequested(
                    now=call.arrived_at,
                    call_id=call_id,
                    service=head.key_service,
                ),
            )
            return
        self._deliver(
            CallArrived(
                now=call.arrived_at,
                call_id=call_id,
                method=head.method,
                target=head.target,
                host=head.host,
                request_id=head.request_id,
                parent_id=head.parent_id,
                headers=head.headers,
                tenant=head.tenant,
                idempotency_key=head.idempotency_key,
                deadline_ms=head.deadline_ms,
                is_nested=head.is_nested,
                body_bytes=head.body_bytes,
                has_room=call.lease is not None,
                key_digest=head.key_digest,
            ),
        )

    def complete_body(self, call: InboundCall, body: bytes | None) -> None:
        """Store the complete request body and report it to the core.

        None reports that there is no room for the rest of the body.
        """
        stored = body or b''
        self._bodies.put(
            call_body_id(CallId(call.call_id)), stored, call.take_lease()
        )
        self._deliver(
            CallBodyRead(
                now=self._clock(),
                call_id=CallId(call.call_id),
                body_bytes=len(stored),
                body_digest=compute_body_digest(stored),
                has_room=body is not None,
            ),
        )

    def cancel(self, call: InboundCall) -> None:
        """Cancel a call whose caller disconnected or sent an unusable body.

        Does nothing if the call has been answered.
        """
        if self._calls.pop(call.call_id, None) is None:
            return
        call.release_head()
        self.observer.count('calls.cancelled')
        self._deliver(
            CallCancelled(now=self._clock(), call_id=CallId(call.call_id)),
        )

    def count_ahead(self, call_id: CallId | None) -> int | None:
        """Return how many responses go before that of a call in flight.

        Returns None if there is no such call.
        """
        call, pipeline = self._calls.get(call_id or '', (None, None))
        if call is None or pipeline is None:
            return None
        return pipeline.count_ahead(call)

    def read_body(self, effect: ReadBody) -> None:
        """Report an empty request body to the core.

        The connection already reads a non-empty body without being asked.
        """
        call, _ = self._calls.get(effect.call_id, (None, None))
        if call is not None and call.head.body_bytes == 0:
            # The event loop applies this event after the current one.
            self.complete_body(call, b'')

    def answer(self, effect: AnswerCall) -> None:
        """Encode the response to a call and write it when it is next in order.

        Any greenlet may call this method.
        """
        call, pipeline = self._calls.pop(effect.call_id, (None, None))
        if call is None or pipeline is None:
            return
        call.release_head()
        is_last = pipeline.unanswered_count == 1
        try:
            call.answer(
                effect,
                self._bodies.get(effect.body_id),
                is_stopping=self._is_stopping and is_last,
            )
        except Exception:
            # Otherwise the caller would wait for the response without end.
            pipeline.shut_down()
            raise
        pipeline.flush()
        pipeline.hold(call)
        self._record_activity(pipeline)
        seconds = pipeline.last_active_at - call.arrived_at
        self.observer.observe('call.seconds', seconds)

    def _record_activity(self, connection: Pipeline) -> None:
        connection.last_active_at = self._clock()
        connection.limits = self._limits
        self._open_connections.record_activity(connection)

    def _refuse_late_head(self, connection: Pipeline) -> None:
        response = self.dialect.encode_refusal(
            status=_STATUS_REQUEST_TIMEOUT,
            code=HEAD_TIMEOUT,
            detail='',
            method='',
        )
        # The connection is ending from now on, so the rest of the request is
        # discarded.
        connection.add(ReadyResponse(response=response))


@final
class _CallerApplication:
    """Stand in for the WSGI application; expose `CallerServer` to handlers."""

    __slots__ = ('callers',)

    def __init__(self, *, callers: CallerServer) -> None:
        self.callers: Final = callers


def _choose_longer(
    before: LimitCallers | None, limits: LimitCallers
) -> LimitCallers:
    before = before or limits
    return LimitCallers(
        idle_seconds=max(before.idle_seconds, limits.idle_seconds),
        header_seconds=max(before.header_seconds, limits.header_seconds),
        max_body_bytes=limits.max_body_bytes,
        max_head_bytes=limits.max_head_bytes,
    )
