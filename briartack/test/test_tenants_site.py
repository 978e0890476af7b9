"""Tests of tenants with real processes, their store and their workers."""

import tempfile
import time
import unittest
from collections import Counter
from functools import partial
from pathlib import Path
from typing import Any, ClassVar, Final

import gevent

from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    DEFAULT_ROUTES,
    Machine,
    PlatformSite,
    build_configuration,
    build_route,
    build_tenant,
    send_consumer_request,
    send_request,
)

KEPT_KEY: Final = 'h4jcda9rgy35ieispuxs'
WITHDRAWN_KEY: Final = 'r7i427eya6u6sz9frge9'
ROUTES: Final = (
    *DEFAULT_ROUTES,
    build_route('open', '/open/', 'reads', public=True),
)


class TenantsSiteTest(unittest.TestCase):
    """Test one site; each test publishes a configuration of its own."""

    site: ClassVar[PlatformSite]
    version: ClassVar[int] = 1

    @classmethod
    def setUpClass(cls) -> None:
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.site = PlatformSite(directory=Path(directory.name))
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()
        assert becomes_true(cls.site.is_ready)

    def setUp(self) -> None:
        """Publish two keys of one tenant."""
        self.publish(build_tenant('pulo 780', KEPT_KEY, WITHDRAWN_KEY))
        self.assertTrue(becomes_true(lambda: self.is_served(WITHDRAWN_KEY)))

    def publish(self, *resources: dict[str, Any]) -> None:
        """Publish a new version with tenants."""
        type(self).version += 1
        version = build_configuration(
            *ROUTES, *resources, version=type(self).version
        )
        self.site.store.put('op/config', version)

    def is_served(self, key: str) -> bool:
        """Return whether all daemons serve a key."""
        return self.collect_statuses(key) == {200}

    def collect_statuses(self, key: str) -> set[int]:
        """Return the statuses with which the daemons answer a key."""
        return {
            send_consumer_request(machine, '/reads/', api_key=key).status
            for machine in self.site.machines
        }

    def withdraw(self) -> None:
        """Withdraw a key and wait until no daemon takes it."""
        self.publish(build_tenant('pulo 780', KEPT_KEY))
        self.assertTrue(
            becomes_true(lambda: self.collect_statuses(WITHDRAWN_KEY) == {401})
        )

    def test_upstream_gets_the_tenant_and_not_the_key(self) -> None:
        """Guard against a key at the upstream, in the log or in the status."""
        machine = self.site.find_machine('east-1', 'reads')
        send_consumer_request(machine, '/reads/', api_key=KEPT_KEY)
        headers = machine.worker.received_requests[-1][2]
        self.assertEqual(headers['X-Tenant'], 'pulo 780')
        self.assertFalse(headers['X-Api-Key'])
        status = send_request(f'http://{machine.operator_address}/status')
        self.assertNotIn(KEPT_KEY.encode(), status.body)
        for one in self.site.machines:
            for path in (one.daemon.stdout, one.daemon.stderr):
                self.assertNotIn(KEPT_KEY, path.read_text('utf-8'))

    def test_missing_and_unknown_keys_are_final(self) -> None:
        """Guard against runs without a key, and retries of such requests."""
        machine = self.site.find_machine('east-1', 'reads')
        for key, path, status in (
            ('', '/reads/', 401),
            ('unknown', '/reads/', 401),
            ('', '/open/', 200),
            ('', '/none/', 404),
        ):
            reply = send_consumer_request(machine, path, api_key=key)
            self.assertEqual(reply.status, status)
            self.assertNotIn('retry-after', reply.headers)

    def test_call_of_an_unknown_run_is_refused_as_not_run(self) -> None:
        """Guard against a final refusal of the call of a run.

        The daemon may have restarted while its upstream went on.
        """
        machine = self.site.find_machine('east-1', 'reads')
        reply = send_consumer_request(machine, '/buys/', attempt_id='gone.1')
        self.assertEqual(reply.status, 503)
        self.assertIn('retry-after', reply.headers)

    def test_withdrawn_key_stays_refused_without_the_store(self) -> None:
        """Guard against a restarted daemon that takes a withdrawn key."""
        self.withdraw()
        store = self.site.store
        self.addCleanup(setattr, store, 'outage', '')
        store.outage = 'reset'
        machine = self.site.find_machine('west-1', 'reads')
        machine.daemon.kill()
        machine.daemon.start()
        seen: set[int] = set()
        self.assertTrue(
            becomes_true(partial(self.serves_kept_key, machine, seen))
        )
        seen.add(self.ask(machine, WITHDRAWN_KEY))
        # Status 0 is a failed connection.
        self.assertLessEqual(seen, {0, 401, 503})
        self.assertIn(401, seen)

    def test_cap_binds_over_all_daemons(self) -> None:
        """Guard against a share for each daemon, or a cap for each.

        A daemon that reached no holder would serve 5 requests. The bucket
        fills in 1.5 s while the site runs.
        """
        self.publish(
            build_tenant('pulo 780', KEPT_KEY, rate_per_s=20, burst=30)
        )
        self.assertTrue(
            becomes_true(lambda: self.collect_statuses(WITHDRAWN_KEY) == {401})
        )
        gevent.sleep(1.5)
        began = time.monotonic()
        served: Counter[int] = Counter()
        for machine in (*self.site.machines, *self.site.machines):
            for _ in range(15):
                reply = send_consumer_request(
                    machine, '/reads/', api_key=KEPT_KEY
                )
                served[reply.status] += 1
                if reply.status == 429:
                    self.assertGreater(float(reply.headers['retry-after']), 0)
        seconds = time.monotonic() - began
        self.assertEqual(set(served), {200, 429})
        self.assertLessEqual(served[200], 30 + 20 * (seconds + 1))
        self.assertGreater(served[200], 20)

    def serves_kept_key(self, machine: Machine, seen: set[int]) -> bool:
        """Try both keys; add the status of the withdrawn one to `seen`."""
        seen.add(self.ask(machine, WITHDRAWN_KEY))
        return self.ask(machine, KEPT_KEY) == 200

    def ask(self, machine: Machine, key: str) -> int:
        """Return the status of one request with a key."""
        return send_consumer_request(machine, '/reads/', api_key=key).status
