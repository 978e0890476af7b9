"""Test uploads over slow links with real processes."""

import re
import tempfile
import unittest
from pathlib import Path
from typing import Final

import gevent

from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    HOST,
    Machine,
    PlatformSite,
    SiteShape,
    build_configuration,
    build_route,
    send_request,
)

SHAPE: Final = SiteShape(
    regions_by_zone={'east-1': 'east'},
    services=('reads', 'buys'),
    slots=16,
    max_connections=50,
    has_links=True,
    link_mbps=5,
)
# Together they take the link 1.3 s.
UPLOADS: Final = 8
SIZE: Final = 100_000
DEADLINE_MS: Final = '8000'
OK: Final = 200
BODY_WAIT: Final = re.compile('"body_wait_ms": ?"([0-9]+)"')
ROUTES: Final = tuple(
    build_route(
        service,
        f'/{service}/',
        service,
        timeout_ms=8000,
        target_latency_ms=6000,
    )
    for service in SHAPE.services
)


class GrantedUploadsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.site = PlatformSite(directory=Path(directory.name), shape=SHAPE)
        self.addCleanup(self.site.stop)
        self.site.start()
        self.site.store.put(
            'op/config', build_configuration(*ROUTES, version=2, shape=SHAPE)
        )
        self.assertTrue(becomes_true(self.site.is_ready))
        self.sender = self.site.find_machine('east-1', 'buys')
        self.owner = self.site.find_machine('east-1', 'reads')
        self.assertTrue(becomes_true(lambda: self.call() == OK))
        self.answered: list[str] = []

    # Guards against small calls that wait until all uploads have passed the
    # link. The order of the answers decides, not their times.
    def test_small_call_passes_uploads(self) -> None:
        uploads = [
            gevent.spawn(self.call, 'upload', bytes(SIZE))
            for _ in range(UPLOADS)
        ]
        # All heads have reached the owner.
        self.assertTrue(
            becomes_true(lambda: self.count('bodies_awaited_grant') == UPLOADS)
        )
        self.assertEqual(self.call('small'), OK)
        gevent.joinall(uploads)
        self.assertEqual({upload.value for upload in uploads}, {OK})
        self.assertLess(self.answered.index('small'), UPLOADS // 2)
        self.assertEqual(self.count('bodies_granted'), UPLOADS)
        waits = self.read_waits(self.owner)
        self.assertEqual(len(waits), UPLOADS)
        self.assertGreater(max(waits), 0)

    def call(self, name: str = '', body: bytes | None = None) -> int:
        """Call the owner's service at the sender; return the status."""
        response = send_request(
            f'http://{self.sender.caller_address}/reads/{name}',
            {'Host': HOST, 'X-Deadline-Ms': DEADLINE_MS},
            body,
            timeout_seconds=10,
        )
        if name:
            self.answered.append(name)
        return response.status

    def count(self, counter: str) -> int:
        """Return a counter of the owner."""
        address = self.owner.operator_address
        page = send_request(f'http://{address}/metrics').body.decode()
        values = [
            line.split()[-1]
            for line in page.splitlines()
            if line.startswith(f'briartack_{counter}')
        ]
        return int(float(values[0])) if values else 0

    def read_waits(self, machine: Machine) -> list[int]:
        """Return how long bodies waited for their grants, as logged."""
        waits = []
        for line in machine.daemon.stdout.read_text('utf-8').splitlines():
            found = BODY_WAIT.search(line)
            if found is not None:
                waits.append(int(found.group(1)))
        return waits
