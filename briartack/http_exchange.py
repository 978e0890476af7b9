"""Send one HTTP request over a pooled connection and receive the response.

The pool and the parser are those of geventhttpclient. The `HTTPClient` of that
library is not used because it retries idempotent requests on its own: such a
retry would bypass the retry budget, and a read of the store would count twice.
"""

import errno
import math
import os
import select
import time
from typing import Any, Final, TypeAlias, final

import gevent
from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from briartack.addresses import Address
from briartack.body_budget import BodyBudget
from briartack.http_response import (
    CollectedResponse,
    IdentifyResponse,
    identify_nothing,
)
from briartack.socket_options import (
    DEFAULT_SILENCE_SECONDS,
    configure_socket,
    limit_silence,
)
from briartack.turns import TurnLimit

_SocketAddress: TypeAlias = tuple[str, int] | tuple[str, int, int, int]

_RECEIVE_BYTES: Final = 65536
_CONNECT_TIMEOUT_SECONDS: Final = 2.0
_FIRST_ERROR_STATUS: Final = 400
# A connection that has failed more requests is not used again.
_MAX_FAILED_IDS: Final = 64
# A server may take its time to read a longer request, such as one that reads
# the body late. The exchange itself has a time limit.
_MAX_SHORT_REQUEST_BYTES: Final = 16384
# A body up to this size is sent with its head in one write.
_JOINED_BYTES: Final = 65536
# Share of the stated idle time in which a connection is used again. A server
# that closes it as the next request arrives leaves the outcome unknown.
_IDLE_SHARE: Final = 0.8
_RESET_ERRORS: Final = frozenset(
    (errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE),
)


class ExchangeError(Exception):
    """Report an exchange without a complete response."""

    def __init__(
        self,
        reason: str,
        *,
        may_have_run: bool,
        is_reset: bool = False,
        is_timeout: bool = False,
    ) -> None:
        """Store the reason and whether the server may have run the request.

        `is_reset` is true if the server refused, reset or closed the
        connection, `is_timeout` if no answer came in time.
        """
        super().__init__(reason)
        self.is_timeout = is_timeout
        self.may_have_run = may_have_run
        self.is_reset = is_reset


@final
class PooledSocket(socket.socket):  # type: ignore[misc]
    """Add to a connection what decides whether a request may use it.

    `failed_ids` holds the ids of the requests that failed on it. The server may
    write an earlier answer once more, which cannot be told from the answer to
    another request with the same id. `usable_until` is a monotonic time.
    """

    __slots__ = ('failed_ids', 'usable_until')

    def __init__(self, family: int, kind: int, protocol: int) -> None:
        super().__init__(family, kind, protocol)
        self.failed_ids: set[str] = set()
        self.usable_until = math.inf


@final
class KeepAlivePool(ConnectionPool):
    """Pool keep-alive connections to one address, with TCP_NODELAY."""

    def __init__(self, address: Address, *, size: int) -> None:
        """Create a pool of at most `size` connections."""
        super().__init__(
            *address,
            *address,
            size=size,
            connection_timeout=_CONNECT_TIMEOUT_SECONDS,
        )

    def after_connect(self, sock: socket.socket) -> None:
        """Set the socket options that `briartack.socket_options` defines.

        The options send small writes at once and detect an unresponsive server.
        """
        configure_socket(sock)

    def take_idle(self, request_id: str) -> PooledSocket | None:
        """Return an idle connection, or None if none is ready at once.

        A connection on which a request with the id has failed is closed.
        """
        if self._socket_queue.empty() or self._semaphore.locked():
            return None
        # With an idle connection and a free pool slot, no call here blocks.
        sock: PooledSocket = self._socket_queue.get_nowait()
        is_ambiguous = request_id in sock.failed_ids
        if is_ambiguous or not self._is_socket_alive(sock):
            sock.close()
            return None
        self._semaphore.acquire()
        return sock

    def acquire(self, request_id: str) -> PooledSocket:
        """Return a connection, idle or new; wait for a free place.

        Raises OSError.
        """
        sock: PooledSocket = self.get_socket()
        while request_id in sock.failed_ids:
            self.release_socket(sock)
            sock = self.get_socket()
        return sock

    def close_idle(self) -> None:
        """Close the idle connections."""
        while not self._socket_queue.empty():
            self._socket_queue.get_nowait().close()

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> PooledSocket:
        return PooledSocket(family, socktype, protocol)

    def _create_socket(self) -> socket.socket:
        sock = super()._create_socket()
        # `finish` sets one timeout for the whole exchange; a timeout on the
        # socket would start a timer for each read and write.
        sock.settimeout(None)
        return sock

    def _is_socket_alive(self, sock: PooledSocket | None) -> bool:
        # An idle connection that is readable has been closed by the server.
        # The base class uses `select`, which rejects descriptors above 1023.
        if sock is None or sock.fileno() < 0:
            return False
        if time.monotonic() >= sock.usable_until:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def _resolve(self) -> list[tuple[Any, Any, int, str, _SocketAddress]]:
        # Every host is an IP address, so a resolver would only cost time.
        host, port = self._connection_host, self._connection_port
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, 0, '', (host, port))]


@final
class Exchange:
    """Represent one request on its way and the response to it.

    Holds the socket between `send_without_waiting` and `finish`.
    """

    __slots__ = (
        '_pool',
        '_request',
        '_rest',
        '_request_id',
        '_response',
        '_sock',
        '_sent_bytes',
        '_send_error',
    )

    def __init__(
        self,
        pool: KeepAlivePool,
        *,
        method: str,
        request: bytes,
        max_body_bytes: int,
        body: bytes = b'',
        request_id: str = '',
        identify_response: IdentifyResponse = identify_nothing,
        budget: BodyBudget | None = None,
    ) -> None:
        """Prepare the exchange without sending anything.

        `body` is sent behind `request`, and a large one isn't copied.
        `request_id` is the id that the response names; empty if it names none.
        `budget` limits the bodies of several responses together.
        """
        self._pool = pool
        self._request = request + body[:_JOINED_BYTES]
        self._rest = memoryview(body)[_JOINED_BYTES:]
        self._request_id = request_id
        self._response = CollectedResponse(
            method=method,
            max_body_bytes=max_body_bytes,
            request_id=request_id,
            identify_response=identify_response,
            budget=budget,
        )
        self._sock: PooledSocket | None = None
        self._sent_bytes = 0
        self._send_error: OSError | None = None

    def send_without_waiting(self) -> None:
        """Write as much of the request as an idle connection accepts at once.

        The server can then start before the greenlet that calls `finish` runs.
        The caller must call `finish` or `abandon` afterwards.
        """
        self._sock = self._pool.take_idle(self._request_id)
        if self._sock is None:
            return
        try:
            self._sent_bytes = os.write(self._sock.fileno(), self._request)
        except BlockingIOError:
            return
        except OSError as error:
            self._send_error = error
        self._response.has_sent_bytes = self._sent_bytes > 0

    def abandon(self) -> None:
        """Close the connection of an exchange that will not be finished."""
        sock = self._sock
        self._sock = None
        if sock is not None:
            self._pool.release_socket(sock)

    def finish(self, timeout_seconds: float) -> CollectedResponse:
        """Send the rest of the request and receive the response.

        Raises ExchangeError, also when the timeout expires.
        """
        timeout = gevent.Timeout.start_new(timeout_seconds)
        try:
            self._transfer(timeout_seconds)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            _break_cycle(expired)
            raise ExchangeError(
                'timeout',
                may_have_run=self._response.has_sent_bytes,
                is_timeout=True,
            ) from None
        finally:
            timeout.close()
            self._response.release_budget()
        return self._response

    @property
    def _unsent(self) -> memoryview:
        """Return the next bytes of the request to be sent."""
        if self._sent_bytes < len(self._request):
            return memoryview(self._request)[self._sent_bytes :]
        return self._rest[self._sent_bytes - len(self._request) :]

    @property
    def _is_long(self) -> bool:
        return len(self._request) > _MAX_SHORT_REQUEST_BYTES

    def _transfer(self, timeout_seconds: float) -> None:
        sock = self._sock or _acquire_socket(self._pool, self._request_id)
        # From here on, this method returns the socket, and `abandon` must not.
        self._sock = None
        is_reusable = False
        # Return the socket on every path, also if the greenlet is killed.
        try:
            self._send_request(sock, timeout_seconds)
            _receive_response(sock, self._response)
            is_reusable = self._conclude(sock)
        finally:
            _return_socket(self._pool, sock, is_reusable=is_reusable)

    def _conclude(self, sock: PooledSocket) -> bool:
        """Prepare the connection for reuse; return whether it is reusable."""
        self._record_failed_id(sock)
        idle_seconds = _IDLE_SHARE * self._response.keep_alive_seconds
        sock.usable_until = time.monotonic() + idle_seconds
        if self._is_long:
            limit_silence(sock, DEFAULT_SILENCE_SECONDS)
        return self._is_reusable(sock)

    def _record_failed_id(self, sock: PooledSocket) -> None:
        """Record on the connection that the server failed the request."""
        is_failed = self._response.get_code() >= _FIRST_ERROR_STATUS
        if self._request_id and is_failed:
            sock.failed_ids.add(self._request_id)

    def _is_reusable(self, sock: PooledSocket) -> bool:
        """Return whether the connection may carry another request."""
        # After an early response, the server still expects the rest of the
        # request on this connection.
        is_sent = not self._unsent
        if not is_sent or self._response.should_close():
            return False
        # A copy of an answer that names no request could answer any of them.
        is_named = self._response.is_named
        return is_named and len(sock.failed_ids) <= _MAX_FAILED_IDS

    def _send_request(
        self, sock: socket.socket, timeout_seconds: float
    ) -> None:
        if self._is_long:
            limit_silence(sock, max(timeout_seconds, DEFAULT_SILENCE_SECONDS))
        if self._send_error is not None:
            raise _make_write_error(self._send_error, may_have_run=False)
        if self._sent_bytes == 0:
            self._send_first(sock)
        self._send_rest(sock)

    def _send_rest(self, sock: socket.socket) -> None:
        """Send until the request is complete or the server responds early."""
        descriptor = sock.fileno()
        while self._unsent and not self._response.is_complete:
            try:
                self._sent_bytes += os.write(descriptor, self._unsent)
            except BlockingIOError:
                socket.wait_readwrite(descriptor)
                _receive_available(descriptor, self._response)
            except OSError as error:
                # The response may have arrived before the connection broke.
                _receive_available(descriptor, self._response, is_broken=True)
                if not self._response.is_complete:
                    raise _make_write_error(error, may_have_run=True) from None

    def _send_first(self, sock: socket.socket) -> None:
        try:
            self._sent_bytes = sock.send(self._request)
        except OSError as error:
            # The first write failed, so no byte was sent.
            raise _make_write_error(error, may_have_run=False) from None
        self._response.has_sent_bytes = True


def exchange(
    pool: KeepAlivePool,
    *,
    method: str,
    request: bytes,
    max_body_bytes: int,
    timeout_seconds: float,
) -> CollectedResponse:
    """Send one request and return the complete response.

    Raises ExchangeError.
    """
    request_exchange = Exchange(
        pool,
        method=method,
        request=request,
        max_body_bytes=max_body_bytes,
    )
    return request_exchange.finish(timeout_seconds)


def _acquire_socket(pool: KeepAlivePool, request_id: str) -> PooledSocket:
    try:
        return pool.acquire(request_id)
    except OSError as error:
        _break_cycle(error)
        raise ExchangeError(
            _format_os_error('connect', error),
            may_have_run=False,
            is_reset=error.errno in _RESET_ERRORS,
        ) from None


def _break_cycle(error: BaseException) -> None:
    """Drop the traceback of an error that one of its frames refers to.

    The frames would hold the body of the request, which no budget counts any
    longer, until the next garbage collection.
    """
    error.__traceback__ = None


def _return_socket(
    pool: KeepAlivePool,
    sock: socket.socket,
    *,
    is_reusable: bool,
) -> None:
    if is_reusable:
        pool.return_socket(sock)
    else:
        pool.release_socket(sock)


def _make_write_error(error: OSError, *, may_have_run: bool) -> ExchangeError:
    return ExchangeError(
        _format_os_error('write', error),
        may_have_run=may_have_run,
        is_reset=error.errno in _RESET_ERRORS,
    )


def _receive_response(sock: socket.socket, response: CollectedResponse) -> None:
    turn = TurnLimit()
    while not response.is_complete:
        response.wait_for_room()
        try:
            received = sock.recv(_RECEIVE_BYTES)
        except OSError as error:
            raise _make_read_error(error) from None
        _parse_received(response, received)
        if not response.is_complete:
            turn.count_read(len(received))


def _receive_available(
    descriptor: int, response: CollectedResponse, *, is_broken: bool = False
) -> None:
    """Parse the bytes that have arrived, without waiting.

    On a broken connection, an end of the input is none of the response: the
    write that failed has taken the error, which a read would report otherwise.
    """
    try:
        received = os.read(descriptor, _RECEIVE_BYTES)
    except BlockingIOError:
        return
    except OSError as error:
        raise _make_read_error(error) from None
    if received or not is_broken:
        _parse_received(response, received)


def _make_read_error(error: OSError) -> ExchangeError:
    return ExchangeError(
        _format_os_error('read', error),
        may_have_run=True,
        is_reset=error.errno in _RESET_ERRORS,
    )


def _parse_received(response: CollectedResponse, received: bytes) -> None:
    try:
        response.feed(received)
    except HTTPParseError as error:
        if response.is_complete:
            # Bytes after a complete response belong to no request. The parser
            # has failed, so the connection is not reused.
            return
        reason = f'malformed answer: {error}' if received else 'answer cut off'
        raise ExchangeError(
            reason,
            may_have_run=True,
            is_reset=not received,
        ) from None
    if response.is_oversize:
        raise ExchangeError('answer is too large', may_have_run=True)
    if not received and not response.is_complete:
        raise ExchangeError(
            'answer cut off',
            may_have_run=True,
            is_reset=True,
        )


def _format_os_error(step: str, error: OSError) -> str:
    name = errno.errorcode.get(error.errno or 0, type(error).__name__)
    return f'{step} failed: {name}'
