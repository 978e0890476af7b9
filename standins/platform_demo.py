"""Demonstrate daemons with the platform's dialect on a small site.

The demo makes calls, adds a route and evacuates a zone. It prints its progress
and exits with 0 only if every step succeeded.
"""

import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Final

import gevent

from standins.platform_site import (
    DEFAULT_ROUTES,
    PlatformSite,
    build_configuration,
    build_route,
    send_consumer_request,
)

MAX_STEP_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.05
READ_CALLS: Final = 60
OK_STATUS: Final = 200


def run_steps(site: PlatformSite) -> list[str]:
    """Run all steps of the demo; return a description of each failure."""
    problems: list[str] = []
    _await_step(problems, 'all daemons are ready', site.is_ready)
    first = site.machines[0]
    _await_step(
        problems, 'a call is served', lambda: _call_buys(site) == OK_STATUS
    )
    counts = Counter(
        send_consumer_request(machine, '/reads/').status
        for machine in site.machines
        for _ in range(READ_CALLS // len(site.machines))
    )
    _print_line(f'{READ_CALLS} calls: {dict(counts)}')
    if set(counts) != {OK_STATUS}:
        problems.append('some calls failed')
    site.store.put(
        'op/config',
        build_configuration(
            *DEFAULT_ROUTES, build_route('new', '/new/', 'buys')
        ),
    )
    _await_step(
        problems,
        'a new route is in force at every daemon',
        lambda: all(
            send_consumer_request(machine, '/new/').status == OK_STATUS
            for machine in site.machines
        ),
    )
    site.store.put(f'op/evacuate/{first.zone}', {})
    _await_step(
        problems,
        f'{first.zone} is evacuated and its consumers are served elsewhere',
        lambda: send_consumer_request(first, '/reads/').body == b'i-3 ',
    )
    return problems


def _call_buys(site: PlatformSite) -> int:
    return send_consumer_request(site.machines[0], '/buys/', b'order').status


def _await_step(
    problems: list[str],
    text: str,
    is_reached: Callable[[], bool],
) -> None:
    started = time.monotonic()
    while time.monotonic() < started + MAX_STEP_SECONDS:
        if is_reached():
            _print_line(f'{time.monotonic() - started:6.2f} s  {text}')
            return
        gevent.sleep(POLL_SECONDS)
    _print_line(f'not reached: {text}')
    problems.append(text)


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def main() -> int:
    """Run the demo and return the exit code of the process."""
    with tempfile.TemporaryDirectory() as directory:
        site = PlatformSite(directory=Path(directory))
        try:
            site.start()
            problems = run_steps(site)
        finally:
            site.stop()
    _print_line(f'{len(problems)} problems')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
