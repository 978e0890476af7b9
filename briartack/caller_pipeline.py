"""The answers on one caller's connection, in the order of its requests."""

import os
from collections import deque
from typing import Any, Final, Protocol, final

import gevent
from gevent import socket
from gevent.event import Event

# A caller that sends more requests ahead waits for answers first.
MAX_PIPELINED: Final = 32
# Closing with unread bytes would reset the connection and could destroy the
# answer before the caller reads it.
LINGER_SECONDS: Final = 1.0


class Reply(Protocol):
    """Read one request's place in the order of answers."""

    @property
    def whole(self) -> bytes | None:
        """Return the whole answer once there is one."""

    @property
    def is_last(self) -> bool:
        """Tell whether the connection ends after the answer."""


@final
class ReadyReply:
    """Hold an answer that is known at once, after which nothing follows."""

    __slots__ = ('whole',)

    def __init__(self, *, whole: bytes) -> None:
        """Answer with these bytes."""
        self.whole: bytes | None = whole

    @property
    def is_last(self) -> bool:
        """Tell that the connection ends after it."""
        return True


@final
class Pipeline:
    """Own what is to be written to one caller."""

    __slots__ = (
        '_sock',
        '_descriptor',
        '_replies',
        '_unsent',
        '_is_writing',
        '_is_ending',
        '_has_room',
        'last_active',
    )

    def __init__(self, sock: Any) -> None:
        """Write to a connected socket."""
        self._sock = sock
        self._descriptor: int = sock.fileno()
        self._replies: deque[Reply] = deque()
        self._unsent: deque[bytes] = deque()
        self._is_writing = False
        self._is_ending = False
        self._has_room = Event()
        self._has_room.set()
        self.last_active: float = 0

    @property
    def is_ending(self) -> bool:
        """Tell whether the last answer has been written or queued."""
        return self._is_ending

    @property
    def has_replies(self) -> bool:
        """Tell whether a request has no answer yet, or bytes wait."""
        return bool(self._replies) or bool(self._unsent)

    @property
    def waiting(self) -> int:
        """Count the requests without an answer."""
        return len(self._replies)

    def add(self, reply: Reply) -> None:
        """Take the place of a request that has been read."""
        self._replies.append(reply)
        if len(self._replies) >= MAX_PIPELINED:
            self._has_room.clear()
        self.flush()

    def wait_for_room(self) -> None:
        """Wait until not too many requests are unanswered."""
        self._has_room.wait()

    def take_unanswered(self) -> list[Reply]:
        """Remove the requests that will get no answer any more."""
        replies = list(self._replies)
        self._replies.clear()
        self._has_room.set()
        return replies

    def flush(self) -> None:
        """Write the answers whose turn has come, from whatever greenlet."""
        while self._replies and not self._is_ending:
            reply = self._replies[0]
            whole = reply.whole
            if whole is None:
                break
            self._replies.popleft()
            self._write(whole)
            if reply.is_last:
                self._is_ending = True
        if len(self._replies) < MAX_PIPELINED:
            self._has_room.set()
        if self._is_ending and not self._unsent:
            self._end()

    def shut_down(self) -> None:
        """End the connection in both directions."""
        self._shutdown(socket.SHUT_RDWR)

    def _write(self, whole: bytes) -> None:
        if self._unsent:
            self._unsent.append(whole)
            return
        # The descriptor is non-blocking, as those of all gevent sockets are.
        written = 0
        try:
            written = os.write(self._descriptor, whole)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reading greenlet meets the same error and ends.
            return
        if written < len(whole):
            self._unsent.append(whole[written:])
            gevent.spawn(self._write_rest)

    def _write_rest(self) -> None:
        while self._unsent:
            try:
                self._sock.sendall(self._unsent[0])
            except OSError:
                self._unsent.clear()
                return
            self._unsent.popleft()
        if self._is_ending:
            self._end()

    def _end(self) -> None:
        self._shutdown(socket.SHUT_WR)
        gevent.spawn_later(LINGER_SECONDS, self.shut_down)

    def _shutdown(self, how: int) -> None:
        try:
            self._sock.shutdown(how)
        except OSError:
            # The caller was faster.
            return
