"""Keep unexpected errors from ending a daemon, or a part of its work.

A greenlet that ends by an exception ends its task without notice. Tasks that
run as long as the daemon are started again; all others report the failure of
their one operation as an event. What any other greenlet raises is logged and
counted.
"""

import contextlib
from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Final, TypeAlias

import gevent

from briartack.error_texts import TASK_FAILED
from briartack.logs import write_exception
from briartack.shell_interfaces import Observer

RESTART_SECONDS: Final = 0.5
RETRY_SECONDS: Final = 0.05
_HandleError: TypeAlias = Callable[..., None]
_GREENLET_TASK: Final = 'greenlet'
# A `gevent.Timeout` that leaves its block is no subclass of Exception.
UNEXPECTED: Final = (Exception, gevent.Timeout)


def report_failed_task(observer: Observer, task: str) -> None:
    """Count and log the exception that is being handled; raise none."""
    _report(observer, task, None)


def install_error_handler(observer: Observer) -> None:
    """Log the exceptions that end greenlets as lines of JSON, and count them.

    gevent would write plain text, with the request's headers for some of them.
    It would also raise a SystemError of any greenlet, and all errors of signal
    handlers, in the main greenlet, which would end the process.
    """
    hub = gevent.get_hub()
    hub.print_exception = partial(_report_greenlet, observer)
    hub.handle_system_error = partial(
        _pass_requests_to_exit, hub.handle_system_error
    )


def run_forever(
    run: Callable[[], None], *, task: str, observer: Observer
) -> None:
    """Run a task until it is killed, again after each unexpected error."""
    while True:
        run_guarded(run, task=task, observer=observer)
        gevent.sleep(RESTART_SECONDS)


def run_until_done(
    run: Callable[[], None], *, task: str, observer: Observer
) -> None:
    """Run a step that must not be left out, again after each error."""
    while not run_guarded(run, task=task, observer=observer):
        gevent.sleep(RETRY_SECONDS)


def run_guarded(
    run: Callable[[], object], *, task: str, observer: Observer
) -> bool:
    """Run a step; report an unexpected error and return False after one."""
    try:
        run()
    except UNEXPECTED:
        report_failed_task(observer, task)
        return False
    return True


def _report_greenlet(
    observer: Observer,
    context: object,
    error_type: type[BaseException],
    error: BaseException | None,
    traceback: TracebackType | None,
) -> None:
    _report(observer, _GREENLET_TASK, error or error_type())


def _report(observer: Observer, task: str, error: BaseException | None) -> None:
    # A report that fails, as for lack of memory, must not end the task that
    # survived the error, and an error in gevent's handler of errors would.
    with contextlib.suppress(Exception):
        write_exception(TASK_FAILED, {'task': task}, error)
    with contextlib.suppress(Exception):
        observer.count('tasks.failed', task=task)


def _pass_requests_to_exit(
    handle: _HandleError,
    error_type: type[BaseException],
    error: BaseException | None,
    traceback: TracebackType | None = None,
) -> None:
    """Raise requests to exit in the main greenlet; others are reported."""
    if issubclass(error_type, (KeyboardInterrupt, SystemExit)):
        handle(error_type, error, traceback)
