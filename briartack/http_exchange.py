"""One HTTP request and its answer over a pooled connection.

The pool and the parser are those of geventhttpclient. Its `HTTPClient` is not
used, because it repeats idempotent requests by itself: a repeat here would
escape the retry budget, and a read of the store would count twice.
"""

import errno
import os
import select
from typing import Any, Final, TypeAlias, final

import gevent
from gevent import socket
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import HTTPParseError

from briartack.addresses import Address
from briartack.http_answer import HttpAnswer, IsExpected
from briartack.sockets import prepare

_SocketAddress: TypeAlias = tuple[str, int] | tuple[str, int, int, int]

_RECEIVE_BYTES: Final = 65536
_CONNECT_SECONDS: Final = 2.0
_RESET_ERRORS: Final = frozenset(
    (errno.ECONNREFUSED, errno.ECONNRESET, errno.EPIPE),
)


class ExchangeError(Exception):
    """Report an exchange without a whole answer."""

    def __init__(
        self,
        reason: str,
        *,
        may_have_run: bool,
        is_reset: bool = False,
    ) -> None:
        """Keep whether the request may have been read at the other side."""
        super().__init__(reason)
        self.may_have_run = may_have_run
        self.is_reset = is_reset


@final
class Connections(ConnectionPool):
    """Keep connections to one address alive, with TCP_NODELAY."""

    def __init__(self, address: Address, *, size: int) -> None:
        """Allow `size` connections at once."""
        super().__init__(
            *address,
            *address,
            size=size,
            connection_timeout=_CONNECT_SECONDS,
        )

    def after_connect(self, sock: socket.socket) -> None:
        """Send small writes at once, and notice a silent other side."""
        prepare(sock)

    def take_idle(self) -> socket.socket | None:
        """Take an idle connection, or none if that would take time."""
        if self._socket_queue.empty() or self._semaphore.locked():
            return None
        # With an idle connection and a free place this does not wait.
        sock = self._socket_queue.get_nowait()
        if not self._is_socket_alive(sock):
            sock.close()
            return None
        self._semaphore.acquire()
        return sock

    def _create_socket(self) -> socket.socket:
        sock = super()._create_socket()
        # Those who call `exchange` keep one deadline for it; a timeout here
        # would start a timer for each read and write.
        sock.settimeout(None)
        return sock

    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        # An idle connection that is readable was closed by the other side.
        # `select` as in the base class refuses descriptors above 1023.
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)

    def _resolve(self) -> list[tuple[Any, Any, int, str, _SocketAddress]]:
        # Every address is an IP address; a resolver would only cost time.
        host, port = self._connection_host, self._connection_port
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        return [(family, socket.SOCK_STREAM, 0, '', (host, port))]


@final
class Exchange:
    """Send one whole request and receive the whole answer."""

    __slots__ = ('_pool', '_request', '_answer', '_sock', '_sent', '_error')

    def __init__(
        self,
        pool: Connections,
        *,
        method: str,
        request: bytes,
        max_body_bytes: int,
        is_expected: IsExpected | None = None,
    ) -> None:
        """Prepare the exchange; nothing is sent yet."""
        self._pool = pool
        self._request = request
        self._answer = HttpAnswer(
            method=method,
            max_body_bytes=max_body_bytes,
            is_expected=is_expected,
        )
        self._sock: socket.socket | None = None
        self._sent = 0
        self._error: OSError | None = None

    def send_now(self) -> None:
        """Write what an idle connection takes without waiting.

        The other side then works while this process goes on. `finish` or
        `give_up` must follow.
        """
        self._sock = self._pool.take_idle()
        if self._sock is None:
            return
        try:
            self._sent = os.write(self._sock.fileno(), self._request)
        except BlockingIOError:
            return
        except OSError as error:
            self._error = error
        self._answer.is_requested = self._sent > 0

    def give_up(self) -> None:
        """Close the connection of a request that `finish` will not follow."""
        sock = self._sock
        self._sock = None
        if sock is not None:
            self._pool.release_socket(sock)

    def finish(self, timeout_seconds: float) -> HttpAnswer:
        """Send the rest and receive the answer; raise ExchangeError."""
        timeout = gevent.Timeout.start_new(timeout_seconds)
        try:
            self._run()
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise
            raise ExchangeError(
                'timeout',
                may_have_run=self._answer.is_requested,
            ) from None
        finally:
            timeout.close()
        return self._answer

    def _run(self) -> None:
        sock = self._sock or _connected(self._pool)
        # From here on, `give_up` has nothing to close.
        self._sock = None
        is_reusable = False
        # The socket goes back on every path, also when the greenlet is killed.
        try:
            self._send(sock)
            _receive(sock, self._answer)
            is_reusable = self._is_reusable
        finally:
            _give_back(self._pool, sock, is_reusable=is_reusable)

    @property
    def _is_reusable(self) -> bool:
        # The rest of a request that was answered early is still due.
        is_sent = self._sent == len(self._request)
        return is_sent and not self._answer.should_close()

    def _send(self, sock: socket.socket) -> None:
        if self._error is not None:
            raise _write_error(self._error, may_have_run=False)
        if self._sent == 0:
            self._send_first(sock)
        self._send_rest(sock)

    def _send_rest(self, sock: socket.socket) -> None:
        """Send until all is out or the other side answers early."""
        descriptor = sock.fileno()
        rest = memoryview(self._request)
        while self._sent < len(self._request) and not self._answer.is_whole:
            try:
                self._sent += os.write(descriptor, rest[self._sent :])
            except BlockingIOError:
                socket.wait_readwrite(descriptor)
                _receive_ready(descriptor, self._answer)
            except OSError as error:
                # An answer may have come before the connection broke.
                _receive_ready(descriptor, self._answer)
                if not self._answer.is_whole:
                    raise _write_error(error, may_have_run=True) from None

    def _send_first(self, sock: socket.socket) -> None:
        try:
            self._sent = sock.send(self._request)
        except OSError as error:
            # The first write failed as a whole, so no byte went out.
            raise _write_error(error, may_have_run=False) from None
        self._answer.is_requested = True


def exchange(
    pool: Connections,
    *,
    method: str,
    request: bytes,
    max_body_bytes: int,
    timeout_seconds: float,
) -> HttpAnswer:
    """Send a whole request and receive the whole answer.

    Raises ExchangeError.
    """
    whole = Exchange(
        pool,
        method=method,
        request=request,
        max_body_bytes=max_body_bytes,
    )
    return whole.finish(timeout_seconds)


def _connected(pool: Connections) -> socket.socket:
    try:
        return pool.get_socket()
    except OSError as error:
        raise ExchangeError(
            _describe('connect', error),
            may_have_run=False,
            is_reset=error.errno in _RESET_ERRORS,
        ) from None


def _give_back(
    pool: Connections,
    sock: socket.socket,
    *,
    is_reusable: bool,
) -> None:
    if is_reusable:
        pool.return_socket(sock)
    else:
        pool.release_socket(sock)


def _write_error(error: OSError, *, may_have_run: bool) -> ExchangeError:
    return ExchangeError(
        _describe('write', error),
        may_have_run=may_have_run,
        is_reset=error.errno in _RESET_ERRORS,
    )


def _receive(sock: socket.socket, answer: HttpAnswer) -> None:
    while not answer.is_whole:
        try:
            received = sock.recv(_RECEIVE_BYTES)
        except OSError as error:
            raise _read_error(error) from None
        _feed(answer, received)


def _receive_ready(descriptor: int, answer: HttpAnswer) -> None:
    """Take what has arrived, without a wait."""
    try:
        received = os.read(descriptor, _RECEIVE_BYTES)
    except BlockingIOError:
        return
    except OSError as error:
        raise _read_error(error) from None
    _feed(answer, received)


def _read_error(error: OSError) -> ExchangeError:
    return ExchangeError(
        _describe('read', error),
        may_have_run=True,
        is_reset=error.errno in _RESET_ERRORS,
    )


def _feed(answer: HttpAnswer, received: bytes) -> None:
    try:
        answer.feed(received)
    except HTTPParseError as error:
        if answer.is_whole:
            # What follows a whole answer belongs to no request; the parser
            # has failed, so the connection is not used again.
            return
        reason = f'malformed answer: {error}' if received else 'answer cut off'
        raise ExchangeError(
            reason,
            may_have_run=True,
            is_reset=not received,
        ) from None
    if answer.is_oversize:
        raise ExchangeError('answer is too large', may_have_run=True)
    if not received and not answer.is_whole:
        raise ExchangeError(
            'answer cut off',
            may_have_run=True,
            is_reset=True,
        )


def _describe(step: str, error: OSError) -> str:
    name = errno.errorcode.get(error.errno or 0, type(error).__name__)
    return f'{step} failed: {name}'
