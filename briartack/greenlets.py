"""Report unexpected errors in the greenlets of a daemon.

A greenlet that ends by an exception ends its task without notice. Tasks that
run as long as the daemon are started again; all others report the failure of
their one operation as an event.
"""

from collections.abc import Callable
from typing import Final

import gevent

from briartack.error_texts import TASK_FAILED
from briartack.logs import write_exception
from briartack.shell_interfaces import Observer

RESTART_SECONDS: Final = 0.5


def report_failed_task(observer: Observer, task: str) -> None:
    """Count and log the exception that is being handled."""
    observer.count('tasks.failed', task=task)
    write_exception(TASK_FAILED, {'task': task})


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
