"""Accept connections while descriptors run out and other errors pass.

gevent writes a traceback for each failed accept and waits for up to a second
after it, in which no connection is accepted.
"""

import contextlib
import errno
import time
from collections import OrderedDict
from typing import Any, BinaryIO, Final, final

from gevent import socket
from gevent.baseserver import BaseServer
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.server import StreamServer

from briartack.addresses import format_address
from briartack.caller_headers import RequestError
from briartack.core.effects import LogLevel
from briartack.error_texts import ACCEPT_FAILED
from briartack.logs import write_log
from briartack.open_connections import ConnectionLimits
from briartack.request_body import RequestBody
from briartack.socket_options import (
    count_waiting_connections,
    has_unread_input,
    limit_receive_buffer,
)

# The connection stays in the queue, so another accept at once fails as well.
_EXHAUSTION_ERRORS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_PAUSE_SECONDS: Final = 0.05
_LOG_INTERVAL_SECONDS: Final = 10.0
# The platform, some operators and a collector of metrics at the same time.
MAX_OPERATOR_CONNECTIONS: Final = 32
_MAX_OPERATOR_HEAD_BYTES: Final = 16_384
# Connections that are closed unread in one go, of about 50 us each.
_MAX_UNREAD: Final = 64
# No operator's request has a use for a body. One up to this size is skipped.
_MAX_OPERATOR_BODY_BYTES: Final = 16_384
# Unread bytes count towards the memory of the process, and those of a process
# that stands still are bounded by nothing else. Linux takes up to one and a
# half times as much, on each connection that waits to be accepted too.
ACCEPT_BUFFER_BYTES: Final = 4096
# The most that Linux takes unread with such a buffer.
MAX_UNREAD_HEAD_BYTES: Final = 6144
# Connections that are accepted before those accepted earlier are read: their
# first bytes say which of them are in use. Each starts a greenlet in one queue
# for all ports: with gevent's 100, those of 1,500 callers that connected at
# once went before the answer to the platform, which took 0.6 to 3 s.
_ACCEPTS: Final = 8


class PatientAccept(BaseServer):  # type: ignore[misc]
    """Go on accepting after errors, which are logged at a bounded rate.

    Connections inherit a small receive buffer, which is enlarged once there is
    room for what they send.
    """

    def __init__(self, *args: Any, **options: Any) -> None:
        """Pass all arguments to the server."""
        super().__init__(*args, **options)
        self._failures = 0
        self._logged_at = float('-inf')

    def init_socket(self) -> None:
        """Listen, with small receive buffers of the connections."""
        super().init_socket()
        limit_receive_buffer(self.socket, ACCEPT_BUFFER_BYTES)

    def do_read(self) -> Any:
        """Accept one connection; return None if there is none."""
        try:
            return super().do_read()
        except OSError as error:
            if self.is_fatal_error(error):
                raise
            self._report(error)
            if error.errno in _EXHAUSTION_ERRORS:
                self._pause()
        return None

    def _pause(self) -> None:
        self.stop_accepting()
        self._timer = self.loop.timer(_PAUSE_SECONDS)
        self._timer.start(self._start_accepting_if_started)

    def _report(self, error: OSError) -> None:
        self._failures += 1
        now = time.monotonic()
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        fields = {
            'address': format_address(self.address),
            'error': str(error),
            'failures': str(self._failures),
        }
        write_log(LogLevel.WARNING, ACCEPT_FAILED, fields)


class PeerServer(PatientAccept, StreamServer):  # type: ignore[misc]
    """Accept the streams of peers."""

    max_accept = _ACCEPTS


class HttpServer(PatientAccept, WSGIServer):  # type: ignore[misc]
    """Accept connections for HTTP."""


class LimitedHttpServer(HttpServer):
    """Accept connections for HTTP up to a number of open ones."""

    max_accept = _ACCEPTS

    def __init__(
        self, *args: Any, limits: ConnectionLimits, **options: Any
    ) -> None:
        """Set the limit and pass the other arguments to the server."""
        self._max_open = limits.max_open
        self._max_open_at_exit = limits.max_open + limits.max_refused
        self._open = 0
        super().__init__(*args, **options)

    def full(self) -> bool:
        """Return whether the next connections have to wait in the queue."""
        return self._open >= self._max_open

    def do_read(self) -> Any:
        """Accept one connection and count it; return None if there is none."""
        accepted = super().do_read()
        if accepted is not None:
            self._open += 1
        return accepted

    def end_accepting(self) -> None:
        """Accept the connections that wait, and close the listening socket.

        The system resets those that have yet to be accepted, and the requests
        that have arrived on them would be lost.
        """
        if self.closed:
            return
        while self._open < self._max_open_at_exit:
            accepted = self.do_read()
            if accepted is None:
                break
            self.do_handle(*accepted)
        self.close()

    def do_close(self, *args: Any) -> None:
        """Close a connection and accept the next one."""
        super().do_close(*args)
        self._open -= 1
        self._start_accepting_if_started()


class OperatorServer(HttpServer):
    """Accept connections of operators, whose oldest ones give way to new ones.

    The platform asks on connections of its own, so a client that holds all
    connections must not keep a new one waiting.
    """

    max_accept = _ACCEPTS

    def __init__(self, *args: Any, **options: Any) -> None:
        """Pass all arguments to the server."""
        super().__init__(*args, handler_class=_OperatorHandler, **options)
        # In the order of their last request.
        self._open: OrderedDict[socket.socket, None] = OrderedDict()

    def do_read(self) -> Any:
        """Accept a connection, and close those before it that give way unread.

        Returns None if there is none. A connection without a whole head takes
        half a millisecond until it has given way, and the platform's question
        waits behind up to LISTEN_BACKLOG of them.
        """
        for _ in range(_MAX_UNREAD):
            accepted = super().do_read()
            if accepted is None:
                break
            if not self._gives_way(accepted[0]):
                self._add(accepted[0])
                return accepted
            accepted[0].close()
        return None

    def do_close(self, sock: socket.socket, *args: Any) -> None:
        """Close a connection."""
        self._open.pop(sock, None)
        super().do_close(sock, *args)

    def record_request(self, sock: socket.socket) -> None:
        """Make a connection the last one to give way."""
        if sock in self._open:
            self._open.move_to_end(sock)

    def _add(self, sock: socket.socket) -> None:
        if len(self._open) >= MAX_OPERATOR_CONNECTIONS:
            self._close_oldest()
        self._open[sock] = None

    def _gives_way(self, sock: socket.socket) -> bool:
        """Return whether a connection without a request gives way at once.

        Those that wait to be accepted would take its place.
        """
        waiting = count_waiting_connections(self.socket)
        return waiting >= MAX_OPERATOR_CONNECTIONS and not _has_whole_head(sock)

    def _close_oldest(self) -> None:
        sock, _ = self._open.popitem(last=False)
        # The client may have closed the connection. Its greenlet ends by this,
        # and closes the socket.
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_RDWR)


def _has_whole_head(sock: socket.socket) -> bool:
    """Return whether the head of a request has arrived."""
    if not has_unread_input(sock):
        return False
    try:
        received = sock.recv(_MAX_OPERATOR_HEAD_BYTES, socket.MSG_PEEK)
    except OSError:
        return False
    return b'\r\n\r\n' in received


class _OperatorHandler(WSGIHandler):  # type: ignore[misc]
    """Read requests of operators, whose heads are small."""

    # pywsgi defines the name, and creates the headers of a request by it.
    def MessageClass(  # noqa: N802
        self, stream: BinaryIO, seekable: int
    ) -> Any:
        """Read the headers of a request up to the limit for heads."""
        return super().MessageClass(_LimitedHead(stream), seekable)

    def get_environ(self) -> Any:
        """Return the environment of a request, and close after a large body.

        pywsgi would skip a body of any size, and chunks without a turn of
        other greenlets.
        """
        environ = super().get_environ()
        body_bytes = self.content_length or 0
        is_chunked = self.headers.get('transfer-encoding') is not None
        if is_chunked or body_bytes > _MAX_OPERATOR_BODY_BYTES:
            self.close_connection = True
            body_bytes = 0
        self.wsgi_input = RequestBody(self.rfile, body_bytes, is_chunked=False)
        environ['wsgi.input'] = self.wsgi_input
        return environ

    def handle_one_request(self) -> Any:
        """Serve one request; return None at the end of the connection."""
        next_step = super().handle_one_request()
        if next_step is True:
            self.server.record_request(self.socket)
        return next_step

    def log_error(self, msg: str, *args: object) -> None:
        """Write nothing; only the client receives the message."""


@final
class _LimitedHead:
    """Limit the bytes of a head, of which http.client allows 6 MB."""

    __slots__ = ('_stream', '_left')

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._left = _MAX_OPERATOR_HEAD_BYTES

    def readline(self, size: int) -> bytes:
        """Return the next line; raise RequestError beyond the limit."""
        line = self._stream.readline(min(size, self._left + 1))
        self._left -= len(line)
        if self._left < 0:
            raise RequestError('The head is too large.')
        return line
