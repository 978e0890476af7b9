"""One call of a caller, from its head to the answer on its socket."""

import os
from typing import Any, Protocol, final

import gevent
import msgspec
from gevent import socket
from gevent.hub import Waiter, get_hub

from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers


@final
class AnsweredError(OSError):
    """Interrupt the reading of a body that nothing needs any more."""


@final
class ConnectionControl:
    """Let the daemon close a caller's connection that carries no call."""

    __slots__ = ('last_active', 'has_call', '_sock')

    def __init__(self, sock: Any) -> None:
        """Control a connected socket."""
        self.last_active: float = 0
        self.has_call = False
        self._sock = sock

    def shut_down(self) -> None:
        """End the connection; its greenlet then closes the socket."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller was faster.
            return


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the head of a request says."""

    method: str
    target: str
    headers: Headers
    tenant: str
    idempotency_key: str
    deadline_ms: float | None
    is_nested: bool
    body_bytes: int | None
    key_service: str  # not empty when the caller asks for a key
    host: str = ''
    request_id: str = ''


class AnswerEncoder(Protocol):
    """Encode answers to callers."""

    def answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the whole answer that the core decided."""


@final
class InboundCall:
    """Hold one call from its head to its answer."""

    __slots__ = (
        'call_id',
        'arrived',
        'head',
        'is_answered',
        'unsent',
        'control',
        '_descriptor',
        '_connection',
        '_encoder',
        '_wants_body',
        '_waiter',
        'is_body_read',
        'reader',
    )

    def __init__(
        self,
        *,
        head: RequestHead,
        control: ConnectionControl,
        descriptor: int,
        connection: str,
        encoder: AnswerEncoder,
    ) -> None:
        """Start unanswered; `connection` is the Connection header to send."""
        self.call_id = ''
        self.arrived: float = 0
        self.head = head
        self.control = control
        self.is_answered = False
        self.unsent: bytes | memoryview = b''
        self.is_body_read = head.body_bytes == 0
        self.reader: gevent.Greenlet | None = None
        self._descriptor = descriptor
        self._connection = connection
        self._encoder = encoder
        self._wants_body = False
        self._waiter: Waiter | None = None

    @property
    def must_read_body(self) -> bool:
        """Tell whether the core waits for the body."""
        return self._wants_body and not self.is_body_read

    def want_body(self) -> None:
        """Let the connection read the body next."""
        self._wants_body = True
        self.wake()

    def answer(self, effect: AnswerCall, body: bytes) -> None:
        """Write the answer without waiting for the connection's greenlet."""
        connection = self._connection if self.is_body_read else 'close'
        whole = self._encoder.answer(
            effect,
            body=body,
            method=self.head.method,
            connection=connection,
        )
        self.is_answered = True
        self.unsent = _write_now(self._descriptor, whole)
        if self.reader is not None:
            gevent.kill(self.reader, AnsweredError(), block=False)
        self.wake()

    def wake(self) -> None:
        """Let the waiting greenlet of the connection go on."""
        waiter = self._waiter
        self._waiter = None
        if waiter is not None:
            get_hub().loop.run_callback(waiter.switch, None)

    def wait(self) -> None:
        """Wait until the core decides something or the caller acts."""
        waiter = Waiter()
        self._waiter = waiter
        try:
            waiter.get()
        finally:
            self._waiter = None


def _write_now(descriptor: int, whole: bytes) -> bytes | memoryview:
    # The descriptor is non-blocking, as those of all gevent sockets are.
    try:
        written = os.write(descriptor, whole)
    except BlockingIOError:
        return whole
    except OSError:
        # The connection's greenlet meets the same error and ends.
        return whole
    return b'' if written == len(whole) else memoryview(whole)[written:]
