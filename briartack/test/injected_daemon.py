"""Run a daemon in which one function raises each of several errors once.

`python -m briartack.test.injected_daemon PLACE FLAGS` runs the program. The
errors begin at SIGUSR1; standard error then names each error that was raised,
and says `works again` once the function is called after the last one.
"""

import os
import signal
import sys
from collections.abc import Callable, Iterator
from importlib import import_module
from types import MappingProxyType
from typing import Any, Final

import gevent

ERRORS: Final[tuple[BaseException, ...]] = (
    ValueError('injected'),
    MemoryError('injected'),
    OSError(24, 'injected'),
    RecursionError('injected'),
    UnicodeEncodeError('utf-8', '\udc80', 0, 1, 'injected'),
    SystemError('injected'),
    gevent.Timeout(1, 'injected'),
)
# Timeouts are raised in greenlets only, and reads of the store that fail are
# repeated after a growing time.
ERRORS_BY_PLACE: Final = MappingProxyType(
    {'log_thread': ERRORS[:-1], 'store_read': ERRORS[-2:]}
)
WORKS_AGAIN: Final = 'works again'
_DAEMON: Final = 'briartack.daemon:'
_LOOP: Final = 'briartack.event_loop:EventLoop.'
_HANDLERS: Final = 'briartack.core.calls.call_handlers:'
_CALLERS: Final = 'briartack.callers:CallerServer.'
# Where the errors are raised: the module and the path of the function.
PLACES: Final = MappingProxyType(
    {
        'reload': f'{_DAEMON}Daemon.reload',
        'deliver': f'{_LOOP}deliver',
        'reduce': 'briartack.main:reduce',
        'effect': f'{_DAEMON}Daemon._write_log',
        'after_event': 'briartack.peers:Peers.flush',
        'maintenance': f'{_CALLERS}close_idle_connections',
        'probe': 'briartack.upstream:UpstreamClient._send_probe',
        'store_read': 'briartack.store_client:StoreClient._read_pages',
        'dial': 'briartack.peer_connections:PeerConnections._create_stream',
        'accept': 'gevent.server:StreamServer.do_read',
        'connection': f'{_CALLERS}add_connection',
        'call': f'{_CALLERS}start_call',
        'operator': 'briartack.operator_port:OperatorPort._handle_health',
        'clock': f'{_DAEMON}boot_clock',
        'log_line': 'briartack.logs:_Formatter.format',
        'log_thread': 'briartack.line_writer:LineWriter._write_all',
        'report': f'{_DAEMON}ShellObserver.count',
        'stop_reload': f'{_DAEMON}Daemon.reload',
        'stop_keep_alive': f'{_CALLERS}stop_keep_alive',
        'stop_streams': f'{_DAEMON}Daemon._flush_last_bytes',
        'stop_connections': f'{_CALLERS}close_connections',
        'stop_log': f'{_DAEMON}write_log',
        'stop_reducer': f'{_HANDLERS}on_stop_requested',
        'stop_drain': 'briartack.line_writer:OutputWriters.drain',
    }
)


class Injection:
    """Raise the errors in turn once armed, then call the function."""

    def __init__(
        self, function: Callable[..., Any], errors: tuple[BaseException, ...]
    ) -> None:
        self.is_armed = False
        self._function = function
        self._errors: Iterator[BaseException] = iter(errors)

    def call(self, *arguments: Any, **named: Any) -> Any:
        """Raise the next error, or call the function."""
        if not self.is_armed:
            return self._function(*arguments, **named)
        error = next(self._errors, None)
        if error is not None:
            write_note(type(error).__name__)
            raise error
        self.is_armed = False
        write_note(WORKS_AGAIN)
        return self._function(*arguments, **named)

    def arm(self, number: int, frame: object) -> None:
        """Begin to raise errors, as a signal handler."""
        self.is_armed = True


def write_note(text: str) -> None:
    """Write a line to standard error, past the log."""
    os.write(2, f'injected: {text}\n'.encode())


def inject(place: str) -> None:
    """Replace the function of a place."""
    module_name, _, path = PLACES[place].partition(':')
    owner: Any = import_module(module_name)
    *names, last = path.split('.')
    for name in names:
        owner = getattr(owner, name)
    errors = ERRORS_BY_PLACE.get(place, ERRORS)
    injection = Injection(getattr(owner, last), errors)
    # A lambda is bound to its instance as a method is; `call` would not be.
    setattr(
        owner, last, lambda *given, **named: injection.call(*given, **named)
    )
    signal.signal(signal.SIGUSR1, injection.arm)


def shorten_waits() -> None:
    """Let tasks run more often, so that a test takes seconds."""
    names = (
        ('daemon', '_MAINTENANCE_INTERVAL_SECONDS'),
        ('greenlets', 'RESTART_SECONDS'),
        ('upstream', '_MIN_PROBE_INTERVAL_SECONDS'),
        ('upstream', '_UNHEALTHY_PROBE_INTERVAL_SECONDS'),
    )
    for module, name in names:
        owner = import_module(f'briartack.{module}')
        assert hasattr(owner, name)
        setattr(owner, name, 0.02)


if __name__ == '__main__':
    main_module = import_module('briartack.main')
    inject(sys.argv.pop(1))
    shorten_waits()
    main_module.main()
