"""One caller's connection: pywsgi reads requests, calls are answered here."""

from typing import Any, Final, Protocol

import gevent
from gevent import socket
from gevent.pywsgi import Input, WSGIHandler

from briartack.caller_headers import (
    MAX_REQUEST_LINE_BYTES,
    RequestError,
    RequestHeaders,
    check_raw_request_line,
    check_request_line,
)
from briartack.caller_pipeline import Pipeline, ReadyReply
from briartack.core.messages import MAX_BODY_BYTES
from briartack.dialects import CallerDialect
from briartack.error_texts import MALFORMED_REQUEST, TOO_LARGE
from briartack.inbound_call import InboundCall
from briartack.ports import Observer
from briartack.request_head import RequestHead

_READ_BYTES: Final = 65536
_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413


class _Calls(Protocol):
    @property
    def dialect(self) -> CallerDialect:
        """Return what reads heads and writes answers."""

    @property
    def observer(self) -> Observer:
        """Return what counts malformed requests."""

    def opened(self, connection: Pipeline) -> None:
        """Watch a connection for idleness."""

    def closed(self, connection: Pipeline) -> None:
        """Forget a connection that has ended."""

    def arrive(self, call: InboundCall, pipeline: Pipeline) -> None:
        """Report a call whose head has been read."""

    def body_read(self, call: InboundCall, body: bytes) -> None:
        """Report that the body of a call is whole."""

    def cancel(self, call: InboundCall) -> None:
        """Report that the caller went away."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]  # noqa: WPS214
    """Read requests with pywsgi and hand them over as calls.

    The next request is read while earlier ones are unanswered, so that an end
    of the stream shows that the caller is gone.
    """

    # The name is that of pywsgi.
    MessageClass = RequestHeaders  # noqa: WPS115

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        """Set the socket up for small writes."""
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NODELAY,
            1,
        )
        super().__init__(sock, address, server)
        self._calls: _Calls = server.application.callers
        self._pipeline = Pipeline(sock)

    def handle(self) -> None:
        """Serve the connection until one side closes it."""
        self._calls.opened(self._pipeline)
        try:
            super().handle()
        finally:
            self._calls.closed(self._pipeline)
            for reply in self._pipeline.take_unanswered():
                if isinstance(reply, InboundCall):
                    self._calls.cancel(reply)

    def read_requestline(self) -> str:
        """Read the request line, cut off if it is too long.

        pywsgi answers longer lines itself, without a verdict.
        """
        line: bytes = self.rfile.readline(MAX_REQUEST_LINE_BYTES)
        return line.decode('latin-1')

    def read_request(self, raw_requestline: str) -> bool:
        """Parse the head of a request; raise RequestError."""
        check_raw_request_line(raw_requestline)
        return bool(super().read_request(raw_requestline))

    def get_environ(self) -> dict[str, object]:
        """Prepare the body's stream; there is no WSGI application."""
        expects = self.headers.get('expect', '').lower() == '100-continue'
        self.wsgi_input = Input(
            self.rfile,
            self.content_length,
            socket=self.socket if expects else None,
            chunked_input=self._is_chunked,
        )
        return {}

    def log_error(self, msg: str, *args: object) -> None:
        """Count a malformed request; its text goes to the caller only."""
        self._calls.observer.count('calls.malformed')

    def handle_one_response(self) -> None:
        """Hand one call over; its answer may come later."""
        if self._pipeline.is_ending:
            # What follows the last answer counts as not read.
            self.close_connection = True
            self._discard()
            return
        try:
            head = self._head()
        except RequestError as error:
            self._refuse(_BAD_REQUEST, MALFORMED_REQUEST, str(error))
            return
        if head.body_bytes is not None and head.body_bytes > MAX_BODY_BYTES:
            self._refuse(_TOO_LARGE, TOO_LARGE, '')
            return
        call = InboundCall(
            head=head,
            connection=self._connection_header(),
            dialect=self._calls.dialect,
        )
        self._calls.arrive(call, self._pipeline)
        if not call.is_body_read and not call.is_answered:
            self._read_body(call)
        if call.is_last or self.close_connection:
            self.close_connection = True
            self._discard()
        self._pipeline.wait_for_room()

    @property
    def _is_chunked(self) -> bool:
        return self.headers.get('transfer-encoding') is not None

    def _read_body(self, call: InboundCall) -> None:
        call.reader = gevent.getcurrent()
        try:
            body = self._whole_body(call)
        except (OSError, ValueError) as error:
            # pywsgi reports malformed chunks as OSError too.
            self._broken_body(call, error)
            return
        finally:
            call.reader = None
        if body is None:
            self._give_up(call, _TOO_LARGE, TOO_LARGE, '')
        elif not call.is_answered:
            call.is_body_read = True
            self._calls.body_read(call, body)

    def _whole_body(self, call: InboundCall) -> bytes | None:
        parts: list[bytes] = []
        received = 0
        while not call.is_answered:
            part = self.wsgi_input.read(_READ_BYTES)
            if not part:
                break
            received += len(part)
            if received > MAX_BODY_BYTES:
                return None
            parts.append(part)
            if received == call.head.body_bytes:
                break
        return b''.join(parts)

    def _broken_body(self, call: InboundCall, error: Exception) -> None:
        if call.is_answered:
            return
        self._calls.observer.count('calls.malformed')
        self._give_up(
            call,
            _BAD_REQUEST,
            MALFORMED_REQUEST,
            f'The body is cut off or malformed: {error}',
        )

    def _give_up(
        self,
        call: InboundCall,
        status: int,
        code: str,
        detail: str,
    ) -> None:
        """Refuse a call whose body can't be taken."""
        self._calls.cancel(call)
        call.is_last = True
        call.whole = self._refusal(status, code, detail)
        self._pipeline.flush()

    def _refuse(self, status: int, code: str, detail: str) -> None:
        self.close_connection = True
        whole = self._refusal(status, code, detail)
        self._pipeline.add(ReadyReply(whole=whole))
        self._discard()

    def _refusal(self, status: int, code: str, detail: str) -> bytes:
        return self._calls.dialect.refusal(
            status=status,
            code=code,
            detail=detail,
            method=self.command or '',
        )

    def _discard(self) -> None:
        """Read on until the caller closes, so that its answers reach it."""
        try:
            while self.socket.recv(_READ_BYTES):
                """Nothing behind the last request is served."""
        except OSError:
            return

    def _handle_client_error(self, ex: Exception) -> None:
        # An answer that is returned would be sent without lingering.
        self._calls.observer.count('calls.malformed')
        self._refuse(_BAD_REQUEST, MALFORMED_REQUEST, str(ex))

    def _connection_header(self) -> str:
        if self.close_connection:
            return 'close'
        return 'keep-alive' if self.request_version == 'HTTP/1.0' else ''

    def _head(self) -> RequestHead:
        check_request_line(self.command, self.path)
        return self._calls.dialect.head(
            method=self.command,
            target=self.path,
            headers=self.headers,
            body_bytes=None if self._is_chunked else self.content_length or 0,
        )
