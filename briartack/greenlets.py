"""Report unexpected errors in the greenlets of a daemon.

A greenlet that ends by an exception ends its task without notice. Tasks that
run as long as the daemon are started again; all others report the failure of
their one operation as an event. What any other greenlet raises is logged and
counted.
"""

from collections.abc import Callable
from functools import partial
from types import TracebackType
from typing import Final

import gevent

from briartack.error_texts import TASK_FAILED
from briartack.logs import write_exception
from briartack.shell_interfaces import Observer

RESTART_SECONDS: Final = 0.5
_GREENLET_TASK: Final = 'greenlet'


def report_failed_task(observer: Observer, task: str) -> None:
    """Count and log the exception that is being handled."""
    observer.count('tasks.failed', task=task)
    write_exception(TASK_FAILED, {'task': task})


def install_error_handler(observer: Observer) -> None:
    """Log the exceptions that end greenlets as lines of JSON, and count them.

    gevent would write plain text, with the request's headers for some of them.
    """
    gevent.get_hub().print_exception = partial(_report_greenlet, observer)


def _report_greenlet(
    observer: Observer,
    context: object,
    error_type: type[BaseException],
    error: BaseException | None,
    traceback: TracebackType | None,
) -> None:
    observer.count('tasks.failed', task=_GREENLET_TASK)
    write_exception(
        TASK_FAILED, {'task': _GREENLET_TASK}, error or error_type()
    )


def run_forever(
    run: Callable[[], None], *, task: str, observer: Observer
) -> None:
    """Run a task until it is killed, again after each unexpected error."""
    while True:
        try:
            run()
        except Exception:
            report_failed_task(observer, task)
        gevent.sleep(RESTART_SECONDS)
