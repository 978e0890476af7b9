"""Start a site of the platform for tests of planned stops."""

import tempfile
import unittest
from pathlib import Path
from typing import Any

from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    PlatformSite,
    build_configuration,
    send_consumer_request,
)


def start_site(
    case: unittest.TestCase, routes: tuple[dict[str, Any], ...]
) -> PlatformSite:
    """Start a site whose routes are in force, and stop it after the test.

    One of the routes has the prefix `/new/`.
    """
    directory = tempfile.TemporaryDirectory()
    case.addCleanup(directory.cleanup)
    site = PlatformSite(directory=Path(directory.name))
    case.addCleanup(site.stop)
    site.start()
    site.store.put('op/config', build_configuration(*routes, version=2))
    machine = site.find_machine('east-1', 'reads')
    case.assertTrue(becomes_true(site.is_ready))
    case.assertTrue(
        becomes_true(
            lambda: send_consumer_request(machine, '/new/').status == 200
        )
    )
    return site
