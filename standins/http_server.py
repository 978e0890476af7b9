"""Provide the HTTP server of the stand-ins, which can break connections.

An application is a function from `Request` to `Response` or `BrokenResponse`.
A `BrokenResponse` ends the connection in the middle of a response, which WSGI
cannot express.
"""

import select
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from errno import ECONNRESET
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final
from urllib.parse import parse_qsl

import gevent
import msgspec
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

MAX_CONNECTIONS: Final = 10_000
BACKLOG_CONNECTIONS: Final = 1024
# SO_LINGER with a timeout of zero, so that close() sends a reset.
LINGER_AND_RESET: Final = struct.pack('ii', 1, 0)
Address: TypeAlias = tuple[str, int]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Hold one request whose body has not been read yet."""

    method: str
    path: str
    query: dict[str, str]
    environ: dict[str, Any]
    connection: Any  # gevent socket
    open_connections: int  # when this connection opened, including it

    def header(self, name: str) -> str:
        """Return a header, or an empty string if the header is missing."""
        key = name.upper().replace('-', '_')
        return str(self.environ.get(f'HTTP_{key}', ''))

    def body(self) -> bytes:
        """Read the whole body; raise OSError if the body is incomplete."""
        return bytes(self.environ['wsgi.input'].read())

    def has_client_closed(self) -> bool:
        """Return whether the client has closed its side of the connection."""
        # select() comes first because recv() of a gevent socket blocks even
        # with MSG_DONTWAIT.
        readable, _, _ = select.select([self.connection.fileno()], [], [], 0)
        if not readable:
            return False
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def wait(self, seconds: float) -> bool:
        """Wait for a time; return False early if the client disconnects."""
        if seconds <= 0:
            return not self.has_client_closed()
        try:
            gevent.socket.wait_read(self.connection.fileno(), timeout=seconds)
        except TimeoutError:
            return True
        if self.has_client_closed():
            return False
        # A pipelined request also makes the socket readable. The client is
        # still connected, and waiting the full time again keeps this simple.
        gevent.sleep(seconds)
        return not self.has_client_closed()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Hold one complete response."""

    status: int = HTTPStatus.OK
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenResponse:
    """Represent raw bytes to send before the connection is ended."""

    sent: bytes = b''
    is_reset: bool = False


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionLimits:
    """Limit the idle time and the number of connections to a server.

    Connections above the number are reset.
    """

    idle_seconds: float | None = None
    max_connections: int = MAX_CONNECTIONS

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Return the header that states the idle time in whole seconds."""
        whole_seconds = int(self.idle_seconds or 0)
        if not whole_seconds:
            return ()
        return (('Keep-Alive', f'timeout={whole_seconds}'),)


Application: TypeAlias = Callable[[Request], Response | BrokenResponse]


def json_response(content: object, *, status: int = HTTPStatus.OK) -> Response:
    """Create a response with a JSON body."""
    return Response(
        status=status,
        body=msgspec.json.encode(content),
        headers=(('Content-Type', 'application/json'),),
    )


def parse_address(text: str) -> Address:
    """Split `IP:PORT`; raise ValueError if the text has another form."""
    host, colon, port = text.rpartition(':')
    if not colon or not host:
        raise ValueError(f'address {text!r} is not of the form IP:PORT')
    return host, int(port)


@final
class _Handler(WSGIHandler):  # type: ignore[misc]
    """Pass the connection to the application."""

    open_connections = 0

    def get_environ(  # noqa: WPS615, the name is that of the base class
        self,
    ) -> dict[str, Any]:
        """Return the WSGI environment, extended by data on the connection."""
        environ: dict[str, Any] = super().get_environ()
        environ['standins.connection'] = self.socket
        environ['standins.position'] = self.open_connections
        return environ

    def read_requestline(self) -> str:
        """Read a request line; return nothing at the end of the idle time."""
        idle_seconds = self.server.limits.idle_seconds
        with gevent.Timeout(idle_seconds, exception=False):
            line: str = super().read_requestline()
            return line
        return ''


@final
class _Server(WSGIServer):  # type: ignore[misc]
    """Send responses without delay and count the open connections."""

    def __init__(
        self, listener: Address, application: Any, limits: ConnectionLimits
    ) -> None:
        super().__init__(
            listener,
            application,
            backlog=BACKLOG_CONNECTIONS,
            spawn=Pool(MAX_CONNECTIONS),
            log=None,
            error_log=None,
            handler_class=_Handler,
        )
        self.limits = limits
        self._open_connections = 0

    def handle(self, sock: Any, address: Address) -> None:
        """Serve one connection."""
        # Without TCP_NODELAY a response in two writes is delayed by 40 ms.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._open_connections >= self.limits.max_connections:
            _set_reset_on_close(sock)
            sock.close()
            return
        handler = _Handler(sock, address, self)
        self._open_connections += 1
        handler.open_connections = self._open_connections
        try:
            handler.handle()
        finally:
            self._open_connections -= 1


@final
class HttpServer:
    """Serve an application at one address; may stop and start again."""

    __slots__ = ('_address', '_application', '_limits', '_server')

    def __init__(
        self,
        *,
        address: str,
        application: Application,
        limits: ConnectionLimits | None = None,
    ) -> None:
        self._address = parse_address(address)
        self._application = application
        self._limits = limits or ConnectionLimits()
        self._server: _Server | None = None

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self._server.pool) if self._server else 0

    @property
    def address(self) -> str:
        """Return the address, with the actual port after the first start."""
        host, port = self._address
        return f'{host}:{port}'

    def replace_application(self, application: Application) -> None:
        """Replace the application, for example by a wrapper around it."""
        self._application = application

    def limit_connections(self, limits: ConnectionLimits) -> None:
        """Replace the limits of connections, now or for the next start."""
        self._limits = limits
        if self._server is not None:
            self._server.limits = limits

    def start(self) -> None:
        """Start accepting connections; raise OSError if the port is in use."""
        if self._server is None:
            self._server = _Server(self._address, self._answer, self._limits)
            self._server.start()
            self._address = (self._server.server_host, self._server.server_port)

    def stop(self, *, grace_seconds: float = 0) -> None:
        """Refuse new connections and close the open ones after a time."""
        server = self._server
        self._server = None
        if server is not None:
            server.stop(timeout=grace_seconds)

    def stop_accepting(self) -> None:
        """Close the listening socket and keep the open connections."""
        if self._server is not None:
            self._server.close()

    def _answer(self, environ: dict[str, Any], start: Any) -> list[bytes]:
        request = Request(
            method=environ['REQUEST_METHOD'],
            path=environ['PATH_INFO'],
            query=dict(parse_qsl(environ['QUERY_STRING'])),
            environ=environ,
            connection=environ['standins.connection'],
            open_connections=environ['standins.position'],
        )
        response = self._application(request)
        if isinstance(response, BrokenResponse):
            _break_connection(request.connection, response)
            # On this error the server ends the connection without a response.
            raise ConnectionResetError(
                ECONNRESET, 'connection ended by the application'
            )
        length = str(len(response.body))
        start(
            f'{response.status} {HTTPStatus(response.status).phrase}',
            [
                *response.headers,
                *self._limits.headers,
                ('Content-Length', length),
            ],
        )
        return [response.body]


def _break_connection(connection: Any, broken: BrokenResponse) -> None:
    connection.sendall(broken.sent)
    if broken.is_reset:
        _set_reset_on_close(connection)
    else:
        connection.shutdown(socket.SHUT_RDWR)


def _set_reset_on_close(connection: Any) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_AND_RESET)
