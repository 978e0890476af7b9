"""Start the servers of a daemon, also while another process ends.

A daemon may be started while the one before serves the rest of its grace time
at the same addresses.
"""

import errno
from collections.abc import Callable, Iterable
from typing import Final

import gevent
from gevent.baseserver import BaseServer

from briartack.addresses import format_address
from briartack.core.effects import LogLevel
from briartack.error_texts import ADDRESS_IN_USE, METRICS_UNAVAILABLE
from briartack.logs import write_log
from briartack.shell_interfaces import Clock

# The platform kills a process after its grace time, which is shorter.
_WAIT_SECONDS: Final = 10.0
_RETRY_SECONDS: Final = 0.1
_OPTIONAL_RETRY_SECONDS: Final = 1.0
# Another process ends, or the address is not assigned to the machine yet.
_PASSING_ERRORS: Final = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))


def start_servers(
    servers: Iterable[BaseServer],
    *,
    clock: Clock,
    is_stopping: Callable[[], bool],
) -> bool:
    """Start all servers; return False if a stop is requested meanwhile.

    Waits for addresses that another process uses or that the machine does not
    have yet. Raises OSError if an address
    cannot be bound.
    """
    until = clock() + _WAIT_SECONDS
    for server in servers:
        if _start(server, is_last_try=False):
            continue
        fields = {'address': format_address(server.address)}
        write_log(LogLevel.WARNING, ADDRESS_IN_USE, fields)
        while not is_stopping():
            if _start(server, is_last_try=clock() > until):
                break
            gevent.sleep(_RETRY_SECONDS)
    return not is_stopping()


def start_metrics_server(server: BaseServer) -> None:
    """Start the server of the metrics, however long that takes.

    Logs the first error.
    """
    is_reported = False
    while True:
        try:
            server.start()
        except OSError as error:
            if not is_reported:
                fields = {'error': str(error)}
                write_log(LogLevel.WARNING, METRICS_UNAVAILABLE, fields)
        else:
            return
        is_reported = True
        gevent.sleep(_OPTIONAL_RETRY_SECONDS)


def _start(server: BaseServer, *, is_last_try: bool) -> bool:
    try:
        server.start()
    except OSError as error:
        if is_last_try or error.errno not in _PASSING_ERRORS:
            raise
        return False
    return True
