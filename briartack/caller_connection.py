"""Serve one caller's connection.

pywsgi reads the request heads and bodies. Each request becomes a call, and the
connection's pipeline writes the responses.
"""

import io
import random
from typing import Any, BinaryIO, Final, Protocol

import gevent
from gevent import socket
from gevent.pywsgi import WSGIHandler

from briartack.arriving_bodies import ArrivingBodies, NoBodyRoomError
from briartack.buffered_input import has_buffered_input
from briartack.caller_headers import (
    MAX_REQUEST_LINE_BYTES,
    RequestError,
    RequestHeaders,
    check_raw_request_line,
    check_request_line,
)
from briartack.caller_pipeline import Pipeline, ReadyResponse
from briartack.core.calls.reasons import NO_ROOM
from briartack.core.effects import LimitCallers
from briartack.core.messages import MAX_BODY_BYTES
from briartack.dialects import CallerDialect
from briartack.error_texts import (
    CONNECTIONS_FULL,
    MALFORMED_REQUEST,
    TOO_LARGE,
)
from briartack.head_room import HeadRoom, NoHeadRoomError
from briartack.inbound_call import InboundCall
from briartack.memory_budget import Lease, MemoryBudget
from briartack.read_ahead import MAX_PIPELINED_REQUESTS
from briartack.read_turns import ReadTurns, TurnInput
from briartack.receive_windows import ReceiveWindow, ReceiveWindows
from briartack.request_body import RequestBody
from briartack.request_head import RequestHead
from briartack.shell_interfaces import Observer
from briartack.turns import TurnLimit

# No more of the body of a refused request is waited for.
_MAX_REST_BYTES: Final = 4 * MAX_BODY_BYTES
# What pywsgi keeps of the head of a request.
_HEAD_ATTRIBUTES: Final = ('headers', 'path', 'requestline')
_STATUS_BAD_REQUEST: Final = 400
_STATUS_TOO_LARGE: Final = 413
_STATUS_UNAVAILABLE: Final = 503
# Bounds of the time after which the caller of a full daemon may retry; idle
# connections make room after a second at most, and requests in flight earlier.
_MIN_RETRY_SECONDS: Final = 0.2
_MAX_RETRY_SECONDS: Final = 0.6


class _CallRegistry(Protocol):
    """Represent the part of `CallerServer` that a connection uses."""

    @property
    def arriving_bodies(self) -> ArrivingBodies:
        """Return what admits and reads the bodies of requests."""

    @property
    def dialect(self) -> CallerDialect:
        """Return the codec for request heads and responses."""

    @property
    def limits_in_force(self) -> LimitCallers:
        """Return how much callers may send, and how long they may take."""

    @property
    def memory(self) -> MemoryBudget:
        """Return the budget of the bodies that the daemon holds."""

    @property
    def observer(self) -> Observer:
        """Return the recorder of metrics and log lines."""

    @property
    def read_turns(self) -> ReadTurns:
        """Return the bound of one pass over the connections."""

    @property
    def receive_windows(self) -> ReceiveWindows:
        """Return the bound of connections that receive in large steps."""

    def add_connection(self, connection: Pipeline) -> bool:
        """Register a new connection; return False to refuse its requests."""

    def start_head(self, connection: Pipeline) -> None:
        """Record that the first byte of a request has arrived."""

    def remove_connection(self, connection: Pipeline) -> None:
        """Remove a closed connection."""

    def start_call(self, call: InboundCall, pipeline: Pipeline) -> None:
        """Register a call whose request head has been decoded."""

    def complete_body(self, call: InboundCall, body: bytes | None) -> None:
        """Record the complete request body of a call; None without room."""

    def cancel(self, call: InboundCall) -> None:
        """Cancel a call whose caller has disconnected."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]  # noqa: WPS214
    """Read requests from one connection with pywsgi and start calls.

    The handler reads the next request while earlier ones are unanswered, so
    that it detects a disconnect of the caller by the end of the stream.
    """

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        """Disable Nagle's algorithm and create the response pipeline."""
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NODELAY,
            1,
        )
        self._calls: _CallRegistry = server.application.callers
        turns = self._calls.read_turns
        stream = TurnInput(sock, sock.makefile('rb', buffering=0), turns)
        super().__init__(sock, address, server, io.BufferedReader(stream))
        self._pipeline = Pipeline(sock, memory=self._calls.memory)
        self._is_refused = False
        self._refusals = 0
        self._turn = TurnLimit()
        self._head_room = HeadRoom(memory=self._calls.memory)
        self._window = ReceiveWindow(
            sock=sock, windows=self._calls.receive_windows
        )

    def handle(self) -> None:
        """Serve the connection until either side closes it.

        Cancels the calls that are still unanswered then.
        """
        self._is_refused = not self._calls.add_connection(self._pipeline)
        try:
            super().handle()
        finally:
            self._calls.remove_connection(self._pipeline)
            self._cancel_unanswered()
            self._release_memory()

    def handle_one_request(self) -> Any:
        """Serve one request; return None at the end of the connection.

        pywsgi closes the socket then. The end of the caller's requests may be a
        half-close, after which the caller still reads.
        """
        next_step = super().handle_one_request()
        if next_step is None:
            self._cancel_unanswered()
            self._pipeline.wait_until_sent()
        return next_step

    def read_requestline(self) -> str:
        """Return the request line, truncated at MAX_REQUEST_LINE_BYTES.

        pywsgi itself would respond to a longer line, without a verdict header.
        """
        # The head of the request before would be held as long as the wait.
        for name in _HEAD_ATTRIBUTES:
            self.__dict__.pop(name, None)
        # Waits for the first byte, and leaves it to be read.
        if self.rfile.peek(1):
            self._calls.start_head(self._pipeline)
        line: bytes = self.rfile.readline(MAX_REQUEST_LINE_BYTES)
        return line.decode('latin-1')

    # pywsgi defines the name, and creates the headers of a request by it.
    def MessageClass(  # noqa: N802
        self, stream: BinaryIO, seekable: int
    ) -> RequestHeaders:
        """Read the headers of a request within the memory for heads."""
        return RequestHeaders(
            stream,
            reserve=self._head_room.reserve,
            max_bytes=self._calls.limits_in_force.max_head_bytes,
        )

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the request line and headers; return whether both are valid.

        Raises RequestError.
        """
        check_raw_request_line(raw_requestline)
        return bool(super().read_request(raw_requestline))

    def get_environ(self) -> dict[str, object]:
        """Create the input stream of the request body.

        Returns an empty environment, since no WSGI application runs.
        """
        # The pipeline sends "100 Continue".
        self.wsgi_input = RequestBody(
            self.rfile, self.content_length, is_chunked=self._is_chunked
        )
        return {}

    def log_error(self, msg: str, *args: object) -> None:
        """Count a malformed request; only the caller receives the message."""
        self._calls.observer.count('calls.malformed')

    def handle_one_response(self) -> None:
        """Start a call for one request.

        The response may be written after this method has returned.
        """
        # Requests that are answered at once, and whose bytes are buffered, let
        # no other greenlet run.
        self._turn.count_read(0)
        if self._pipeline.is_ending:
            # A request that can't be answered must not be passed on.
            self.close_connection = True
            self._discard_input()
            return
        if self._is_refused:
            self._refuse_beyond_limit()
            return
        try:
            head = self._decode_head()
        except RequestError as error:
            self._refuse(_STATUS_BAD_REQUEST, MALFORMED_REQUEST, str(error))
            return
        max_bytes = self._calls.limits_in_force.max_body_bytes
        if (head.body_bytes or 0) > max_bytes:
            detail = _describe_limit(max_bytes)
            self._refuse(_STATUS_TOO_LARGE, TOO_LARGE, detail)
            return
        call = InboundCall(
            head=head,
            connection=self._choose_connection_header(),
            dialect=self._calls.dialect,
        )
        call.head_lease = self._head_room.take()
        self._receive_call(call)
        if call.closes_connection or self.close_connection:
            self.close_connection = True
            self._discard_input()
        self._pipeline.wait_for_capacity()

    @property
    def _is_chunked(self) -> bool:
        return self.headers.get('transfer-encoding') is not None

    @property
    def _awaits_continue(self) -> bool:
        expectation: str = self.headers.get('expect', '')
        return (
            expectation.lower() == '100-continue'
            and self.request_version != 'HTTP/1.0'
        )

    def _release_memory(self) -> None:
        self._head_room.release()
        self._window.close()
        self._pipeline.close()

    def _cancel_unanswered(self) -> None:
        for pending in self._pipeline.take_unanswered():
            if isinstance(pending, InboundCall):
                self._calls.cancel(pending)

    def _receive_call(self, call: InboundCall) -> None:
        """Start a call and read its body, if there is room for one."""
        call.lease = self._calls.arriving_bodies.admit(call.head.body_bytes)
        try:
            self._calls.start_call(call, self._pipeline)
            if call.is_body_read or call.is_answered:
                return
            if call.lease is None:
                # The call is being refused, and its body discarded.
                self.close_connection = True
            else:
                self._read_body(call, call.lease)
        finally:
            lease = call.take_lease()
            if lease is not None:
                lease.release()

    def _read_body(self, call: InboundCall, lease: Lease) -> None:
        self._window.expect_body(call.head.body_bytes)
        if self._awaits_continue:
            call.request_body()
            self._pipeline.flush()
        call.reader = gevent.getcurrent()
        # Another configuration may come in force while the body arrives.
        max_bytes = self._calls.limits_in_force.max_body_bytes
        try:
            body = self._calls.arriving_bodies.read(
                call,
                lease,
                self.wsgi_input,
                connection=self._pipeline,
                max_bytes=max_bytes,
            )
        except (NoBodyRoomError, MemoryError):
            # The rest of the body is not read as a request.
            self.close_connection = True
            self._calls.complete_body(call, None)
            return
        except (OSError, ValueError) as error:
            # pywsgi raises OSError for malformed chunks too.
            self._refuse_broken_body(call, error)
            return
        finally:
            call.reader = None
        if body is None:
            self._abort_call(
                call, _STATUS_TOO_LARGE, TOO_LARGE, _describe_limit(max_bytes)
            )
        elif not call.is_answered:
            call.is_body_read = True
            self._calls.complete_body(call, body)

    def _refuse_broken_body(self, call: InboundCall, error: Exception) -> None:
        if call.is_answered:
            return
        self._calls.observer.count('calls.malformed')
        self._abort_call(
            call,
            _STATUS_BAD_REQUEST,
            MALFORMED_REQUEST,
            f'The body is incomplete or malformed: {error}',
        )

    def _abort_call(
        self,
        call: InboundCall,
        status: int,
        code: str,
        detail: str,
    ) -> None:
        """Cancel a call with an unusable body and respond with a refusal."""
        self._calls.cancel(call)
        call.closes_connection = True
        call.respond(self._encode_refusal(status, code, detail))
        self._pipeline.flush()

    def _refuse_beyond_limit(self) -> None:
        """Refuse a request on a connection beyond the limit.

        Requests that were sent behind this one are refused too, instead of
        being cut off by the end of the connection, up to the number that is
        read ahead from other connections.
        """
        self._refusals += 1
        has_body = self._is_chunked or (self.content_length or 0) > 0
        is_last = (
            has_body
            or self.close_connection
            or self._refusals >= MAX_PIPELINED_REQUESTS
            or not has_buffered_input(self.rfile)
        )
        if is_last:
            self._refuse(_STATUS_UNAVAILABLE, CONNECTIONS_FULL, '')
            return
        response = self._encode_refusal(
            _STATUS_UNAVAILABLE,
            CONNECTIONS_FULL,
            '',
            connection=self._choose_connection_header(),
        )
        self._pipeline.add(
            ReadyResponse(response=response, closes_connection=False)
        )
        self._pipeline.wait_for_capacity()

    def _refuse(self, status: int, code: str, detail: str) -> None:
        self.close_connection = True
        response = self._encode_refusal(status, code, detail)
        self._pipeline.add(ReadyResponse(response=response))
        self._discard_input()

    def _encode_refusal(
        self, status: int, code: str, detail: str, *, connection: str = 'close'
    ) -> bytes:
        return self._calls.dialect.encode_refusal(
            status=status,
            code=code,
            detail=detail,
            method=self.command or '',
            retry_after_seconds=_draw_retry_seconds(status),
            connection=connection,
        )

    def _discard_input(self) -> None:
        self._pipeline.lingering.discard_input(self.socket, self._count_rest())

    def _count_rest(self) -> int:
        """Return how many bytes of the body the caller may still send."""
        if self.wsgi_input is None:
            return 0
        if self._is_chunked:
            return MAX_BODY_BYTES
        rest_bytes: int = (self.content_length or 0) - self.wsgi_input.position
        return min(rest_bytes, _MAX_REST_BYTES)

    def _handle_client_error(self, ex: Exception) -> None:
        # pywsgi would send a response returned here and close the connection
        # at once. The pipeline keeps the connection half open, so that the
        # caller can read the response.
        if isinstance(ex, NoHeadRoomError):
            self._calls.observer.count('calls.heads_refused')
            self._refuse(_STATUS_UNAVAILABLE, NO_ROOM.code, '')
            return
        self._calls.observer.count('calls.malformed')
        self._refuse(_STATUS_BAD_REQUEST, MALFORMED_REQUEST, str(ex))

    def _choose_connection_header(self) -> str:
        if self.close_connection:
            return 'close'
        return 'keep-alive' if self.request_version == 'HTTP/1.0' else ''

    def _decode_head(self) -> RequestHead:
        check_request_line(self.command, self.path)
        return self._calls.dialect.decode_head(
            method=self.command,
            target=self.path,
            headers=self.headers,
            body_bytes=None if self._is_chunked else self.content_length or 0,
        )


def _draw_retry_seconds(status: int) -> float:
    if status != _STATUS_UNAVAILABLE:
        return 0
    return random.uniform(_MIN_RETRY_SECONDS, _MAX_RETRY_SECONDS)


def _describe_limit(max_bytes: int) -> str:
    return f'At most {max_bytes} bytes are taken.'
