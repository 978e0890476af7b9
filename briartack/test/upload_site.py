"""Start a small site of real processes that takes uploads."""

import tempfile
import time
import unittest
from pathlib import Path
from typing import Any, Final

import gevent

from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    DEFAULT_ROUTES,
    Machine,
    PlatformSite,
    SiteShape,
    build_configuration,
    build_route,
    send_consumer_request,
)

UPLOAD_PATH: Final = '/up/'


def start_upload_site(
    case: unittest.TestCase,
    *resources: dict[str, Any],
    memory_mb: int,
    timeout_ms: int,
    max_descriptors: int | None = None,
) -> PlatformSite:
    """Start two machines, and stop them after the test.

    `resources` are those of the configuration besides the routes.
    """
    directory = tempfile.TemporaryDirectory()
    case.addCleanup(directory.cleanup)
    site = PlatformSite(
        directory=Path(directory.name),
        shape=SiteShape(
            regions_by_zone={'east-1': 'east'},
            services=('reads', 'buys'),
            slots=4,
            max_connections=50,
            max_descriptors=max_descriptors,
            memory_mb=memory_mb,
        ),
    )
    case.addCleanup(site.stop)
    site.start()
    uploads = build_route(
        'uploads',
        UPLOAD_PATH,
        'buys',
        kind='non_idempotent',
        timeout_ms=timeout_ms,
        target_latency_ms=timeout_ms,
    )
    site.store.put(
        'op/config',
        build_configuration(*DEFAULT_ROUTES, uploads, *resources, version=2),
    )
    case.assertTrue(becomes_true(site.is_ready))
    for machine in site.machines:
        _await_uploads(case, machine)
    return site


def serves_others(machine: Machine, patience_seconds: float) -> bool:
    """Return whether an ordinary request is served in time."""
    until = time.monotonic() + patience_seconds
    while time.monotonic() < until:
        if send_consumer_request(machine, '/reads/').status == 200:
            return True
        gevent.sleep(0.1)
    return False


def _await_uploads(case: unittest.TestCase, machine: Machine) -> None:
    """Wait until a daemon serves uploads."""
    case.assertTrue(
        becomes_true(
            lambda: (
                send_consumer_request(machine, UPLOAD_PATH, b'x').status == 200
            )
        )
    )
