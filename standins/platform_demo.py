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
    ask,
    configuration,
    route,
)

WAIT_SECONDS: Final = 20.0
STEP_SECONDS: Final = 0.05
CALLS: Final = 60
OK_STATUS: Final = 200


def run(site: PlatformSite) -> list[str]:
    """Run all steps of the demo; return a description of each failure."""
    problems: list[str] = []
    _scene(problems, 'all daemons are ready', site.is_ready)
    first = site.machines[0]
    _scene(problems, 'a call is served', lambda: _status(site) == OK_STATUS)
    counts = Counter(
        ask(machine, '/reads/').status
        for machine in site.machines
        for _ in range(CALLS // len(site.machines))
    )
    _say(f'{CALLS} calls: {dict(counts)}')
    if set(counts) != {OK_STATUS}:
        problems.append('calls failed')
    site.store.put(
        'op/config',
        configuration(*DEFAULT_ROUTES, route('new', '/new/', 'buys')),
    )
    _scene(
        problems,
        'a new route is in force at every daemon',
        lambda: all(
            ask(machine, '/new/').status == OK_STATUS
            for machine in site.machines
        ),
    )
    site.store.put(f'op/evacuate/{first.zone}', {})
    _scene(
        problems,
        f'{first.zone} is empty, and its consumers are served elsewhere',
        lambda: ask(first, '/reads/').body == b'i-3 ',
    )
    return problems


def _status(site: PlatformSite) -> int:
    return ask(site.machines[0], '/buys/', b'order').status


def _scene(
    problems: list[str],
    text: str,
    is_reached: Callable[[], bool],
) -> None:
    started = time.monotonic()
    while time.monotonic() < started + WAIT_SECONDS:
        if is_reached():
            _say(f'{time.monotonic() - started:6.2f} s  {text}')
            return
        gevent.sleep(STEP_SECONDS)
    _say(f'not reached: {text}')
    problems.append(text)


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


def main() -> int:
    """Run the demo and return the exit code of the process."""
    with tempfile.TemporaryDirectory() as directory:
        site = PlatformSite(directory=Path(directory))
        try:
            site.start()
            problems = run(site)
        finally:
            site.stop()
    _say(f'{len(problems)} problems')
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
