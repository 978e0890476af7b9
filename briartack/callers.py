"""HTTP from callers: calls in flight and the effects that concern them."""

import itertools
from typing import Final, final

from gevent.pywsgi import WSGIServer

from briartack.addresses import Address
from briartack.bodies import Bodies
from briartack.caller_connection import CallerHandler
from briartack.caller_pipeline import Pipeline
from briartack.core.body_ids import call_body
from briartack.core.effects import AnswerCall, ReadBody
from briartack.core.events import (
    CallArrived,
    CallBodyRead,
    CallCancelled,
    KeyRequested,
)
from briartack.core.units import CallId
from briartack.dialects import CallerDialect
from briartack.framing import digest_of
from briartack.inbound_call import InboundCall
from briartack.ports import BACKLOG, Clock, Deliver, Observer

# A caller whose connection carries no call for this long loses it.
IDLE_SECONDS: Final = 75.0


@final
class Callers:
    """Turn requests of callers into events and answer them."""

    __slots__ = (
        '_bodies',
        '_dialect',
        '_deliver',
        '_clock',
        '_observer',
        '_calls',
        '_numbers',
        '_connections',
        '_is_stopping',
    )

    def __init__(
        self,
        *,
        bodies: Bodies,
        dialect: CallerDialect,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Start without calls."""
        self._bodies = bodies
        self._dialect = dialect
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._calls: dict[str, tuple[InboundCall, Pipeline]] = {}
        self._is_stopping = False
        self._numbers = itertools.count(1)
        self._connections: set[Pipeline] = set()

    @property
    def in_flight(self) -> int:
        """Count the calls that have no answer yet."""
        return len(self._calls)

    @property
    def dialect(self) -> CallerDialect:
        """Return what reads heads and writes answers."""
        return self._dialect

    @property
    def observer(self) -> Observer:
        """Return what counts malformed requests."""
        return self._observer

    def server(self, address: Address) -> WSGIServer:
        """Make the server for callers; it does not listen yet."""
        return WSGIServer(
            address,
            _CallerEntry(callers=self),
            backlog=BACKLOG,
            log=None,
            error_log=None,
            handler_class=CallerHandler,
            # Without these, pywsgi asks the resolver for the host name.
            environ={'SERVER_NAME': address[0], 'SERVER_PORT': address[1]},
        )

    def opened(self, connection: Pipeline) -> None:
        """Watch a connection for idleness."""
        connection.last_active = self._clock()
        self._connections.add(connection)

    def closed(self, connection: Pipeline) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    def close_idle(self, idle_seconds: float = IDLE_SECONDS) -> None:
        """Close the connections that carry no call for too long."""
        oldest = self._clock() - idle_seconds
        for connection in tuple(self._connections):
            is_idle = connection.last_active < oldest
            if is_idle and not connection.has_replies:
                connection.shut_down()

    def stop_keeping(self) -> None:
        """End each connection after its next answer."""
        self._is_stopping = True

    def arrive(self, call: InboundCall, pipeline: Pipeline) -> None:
        """Report a call whose head has been read."""
        call_id = CallId(f'c{next(self._numbers)}')
        call.call_id = call_id
        call.arrived = self._clock()
        self._calls[call_id] = (call, pipeline)
        pipeline.add(call)
        head = call.head
        if head.key_service:
            self._deliver(
                KeyRequested(
                    now=call.arrived,
                    call_id=call_id,
                    service=head.key_service,
                ),
            )
            return
        self._deliver(
            CallArrived(
                now=call.arrived,
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
            ),
        )

    def body_read(self, call: InboundCall, body: bytes) -> None:
        """Report that the body of a call is whole."""
        self._bodies.put(call_body(CallId(call.call_id)), body)
        self._deliver(
            CallBodyRead(
                now=self._clock(),
                call_id=CallId(call.call_id),
                body_bytes=len(body),
                body_digest=digest_of(body),
            ),
        )

    def cancel(self, call: InboundCall) -> None:
        """Report that the caller went away or broke off its body."""
        if self._calls.pop(call.call_id, None) is None:
            return
        self._observer.count('calls.cancelled')
        self._deliver(
            CallCancelled(now=self._clock(), call_id=CallId(call.call_id)),
        )

    def read_body(self, effect: ReadBody) -> None:
        """Report an empty body; a longer one is being read already."""
        call, _ = self._calls.get(effect.call_id, (None, None))
        if call is not None and call.head.body_bytes == 0:
            # The event is queued behind the one that is being applied.
            self.body_read(call, b'')

    def answer(self, effect: AnswerCall) -> None:
        """Answer a caller at once, from whatever greenlet runs this."""
        call, pipeline = self._calls.pop(effect.call_id, (None, None))
        if call is None or pipeline is None:
            return
        call.answer(
            effect,
            self._bodies.get(effect.body_id),
            is_stopping=self._is_stopping and pipeline.waiting == 1,
        )
        pipeline.flush()
        now = self._clock()
        pipeline.last_active = now
        self._observer.observe('call.seconds', now - call.arrived)


@final
class _CallerEntry:
    """Give the handler of a connection access to the calls."""

    __slots__ = ('callers',)

    def __init__(self, *, callers: Callers) -> None:
        self.callers: Final = callers
