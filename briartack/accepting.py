"""Accept connections while descriptors run out and other errors pass.

gevent writes a traceback for each failed accept and waits for up to a second
after it, in which no connection is accepted.
"""

import errno
import time
from typing import Any, Final

from gevent.baseserver import BaseServer
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from briartack.addresses import format_address
from briartack.core.effects import LogLevel
from briartack.error_texts import ACCEPT_FAILED
from briartack.logs import write_log
from briartack.open_connections import ConnectionLimits

# The connection stays in the queue, so another accept at once fails as well.
_EXHAUSTION_ERRORS: Final = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
_PAUSE_SECONDS: Final = 0.05
_LOG_INTERVAL_SECONDS: Final = 10.0


class PatientAccept(BaseServer):  # type: ignore[misc]
    """Go on accepting after errors, which are logged at a bounded rate."""

    def __init__(self, *args: Any, **options: Any) -> None:
        """Pass all arguments to the server."""
        super().__init__(*args, **options)
        self._failures = 0
        self._logged_at = float('-inf')

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


class HttpServer(PatientAccept, WSGIServer):  # type: ignore[misc]
    """Accept connections for HTTP."""


class LimitedHttpServer(HttpServer):
    """Accept connections for HTTP up to a number of open ones."""

    def __init__(
        self, *args: Any, limits: ConnectionLimits, **options: Any
    ) -> None:
        """Set the limit and pass the other arguments to the server."""
        self._max_open = limits.max_open
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

    def do_close(self, *args: Any) -> None:
        """Close a connection and accept the next one."""
        super().do_close(*args)
        self._open -= 1
        self._start_accepting_if_started()
