"""One caller's connection: pywsgi reads requests, calls are answered here."""

import select
from collections.abc import Callable
from typing import Any, Final, Protocol

import gevent
from gevent import socket
from gevent.hub import get_hub
from gevent.pywsgi import Input, WSGIHandler

from briartack.caller_headers import (
    MAX_REQUEST_LINE_BYTES,
    RequestError,
    RequestHeaders,
    check_raw_request_line,
    check_request_line,
)
from briartack.core.messages import MAX_BODY_BYTES
from briartack.dialects import CallerDialect
from briartack.error_texts import MALFORMED_REQUEST, TOO_LARGE
from briartack.inbound_call import (
    ConnectionControl,
    InboundCall,
    RequestHead,
)
from briartack.ports import Observer

_READ_BYTES: Final = 65536
_READABLE: Final = 1
_LINGER_SECONDS: Final = 1.0
_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413


class _Calls(Protocol):
    @property
    def dialect(self) -> CallerDialect:
        """Return what reads heads and writes answers."""

    @property
    def observer(self) -> Observer:
        """Return what counts malformed requests."""

    def opened(self, connection: ConnectionControl) -> None:
        """Watch a connection for idleness."""

    def closed(self, connection: ConnectionControl) -> None:
        """Forget a connection that has ended."""

    def arrive(self, call: InboundCall) -> None:
        """Report a call whose head has been read."""

    def body_read(self, call: InboundCall, body: bytes) -> None:
        """Report that the body of a call is whole."""

    def cancel(self, call: InboundCall) -> None:
        """Report that the caller went away."""


class CallerHandler(WSGIHandler):  # type: ignore[misc]  # noqa: WPS214
    """Read requests with pywsgi and hand them over as calls."""

    # The name is that of pywsgi.
    MessageClass = RequestHeaders  # noqa: WPS115

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        """Set the socket up for small writes and for watching."""
        sock.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_NODELAY,
            1,
        )
        super().__init__(sock, address, server)
        self._calls: _Calls = server.application.callers
        self._watcher = get_hub().loop.io(sock.fileno(), _READABLE)
        self._is_gone = False
        self._control = ConnectionControl(sock)

    def handle(self) -> None:
        """Serve the connection until one side closes it."""
        self._calls.opened(self._control)
        try:
            super().handle()
        finally:
            self._calls.closed(self._control)
            self._watcher.stop()
            self._watcher.close()

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
        """Carry one call from its head to its answer."""
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
            control=self._control,
            descriptor=self.socket.fileno(),
            connection=self._connection_header(),
            encoder=self._calls.dialect,
        )
        self._control.has_call = True
        try:
            self._calls.arrive(call)
            self._carry(call)
        finally:
            self._control.has_call = False

    @property
    def _is_chunked(self) -> bool:
        return self.headers.get('transfer-encoding') is not None

    def _carry(self, call: InboundCall) -> None:
        while not call.is_answered:
            if call.must_read_body:
                if not self._read_body(call):
                    return
                continue
            self._wait(call)
            if self._is_gone and not call.is_answered:
                self.close_connection = True
                self._calls.cancel(call)
                return
        self._finish(call)

    def _wait(self, call: InboundCall) -> None:
        self._watcher.start(self._on_readable, call)
        try:
            call.wait()
        finally:
            self._watcher.stop()

    def _on_readable(self, call: InboundCall) -> None:
        # Runs in the hub, so it must not block.
        self._watcher.stop()
        if _is_closed(self.socket.fileno()):
            self._is_gone = True
            call.wake()
        # Otherwise a body or the next request is waiting in the socket.

    def _read_body(self, call: InboundCall) -> bool:
        call.reader = gevent.getcurrent()
        try:
            body = self._whole_body(call)
        except (OSError, ValueError) as error:
            # pywsgi reports malformed chunks as OSError too.
            self._broken_body(call, error)
            return False
        finally:
            call.reader = None
        if body is None:
            self._calls.cancel(call)
            self._refuse(_TOO_LARGE, TOO_LARGE, '')
            return False
        if not call.is_answered:
            call.is_body_read = True
            self._calls.body_read(call, body)
        return True

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
        self.close_connection = True
        if call.is_answered:
            self._finish(call)
            return
        self._calls.cancel(call)
        self._calls.observer.count('calls.malformed')
        self._refuse(
            _BAD_REQUEST,
            MALFORMED_REQUEST,
            f'The body is cut off or malformed: {error}',
        )

    def _finish(self, call: InboundCall) -> None:
        if call.unsent:
            self._send(call.unsent)
        if not call.is_body_read:
            self.close_connection = True
            self._linger()

    def _refuse(self, status: int, code: str, detail: str) -> None:
        self.close_connection = True
        self._send(
            self._calls.dialect.refusal(
                status=status,
                code=code,
                detail=detail,
                method=self.command,
            ),
        )
        self._linger()

    def _send(self, whole: bytes | memoryview) -> None:
        try:
            self.socket.sendall(whole)
        except OSError:
            self.close_connection = True

    def _linger(self) -> None:
        # Closing with unread bytes would reset the connection and could
        # destroy the answer before the caller reads it.
        with gevent.Timeout(_LINGER_SECONDS, exception=False):
            _ignore_os_error(
                lambda: self.socket.shutdown(socket.SHUT_WR),
            )
            _ignore_os_error(self._discard)

    def _discard(self) -> None:
        left = MAX_BODY_BYTES
        while left > 0:
            received = self.socket.recv(_READ_BYTES)
            if not received:
                return
            left -= len(received)

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


def _is_closed(descriptor: int) -> bool:
    # A caller that closes only its sending side counts as gone, as with
    # other proxies.
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))


def _ignore_os_error(action: Callable[[], None]) -> None:
    try:
        action()
    except OSError:
        return
