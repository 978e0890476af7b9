"""Test that a request that crashes its upstreams stops reaching them.

Real daemons run beside stand-ins of workers. A worker ends when it runs one
path, and starts again a moment later under another identity.
"""

import json
import tempfile
import time
import unittest
from pathlib import Path
from typing import Final

import gevent
from nose2.tools import params

from briartack import cli
from briartack.test.test_platform_site import becomes_true
from standins.platform_site import (
    ConsumerResponse,
    Machine,
    PlatformSite,
    send_consumer_request,
    send_request,
)

ALLOWED_ENDS: Final = 3
CALLER_SECONDS: Final = 3.0
PAUSE_SECONDS: Final = 0.03
LARGE_BODY: Final = b'x' * 300_000


class DeadlyRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.site = PlatformSite(directory=Path(directory.name))
        self.addCleanup(self.site.stop)
        self.site.start()
        self.assertTrue(becomes_true(self.site.is_ready))
        self.assertTrue(becomes_true(self.is_all_served))

    def is_all_served(self) -> bool:
        """Return whether all daemons serve both services."""
        return all(
            send_consumer_request(machine, path).status == 200
            for machine in self.site.machines
            for path in ('/reads/sound', '/buys/sound')
        )

    def count_ends(self) -> int:
        """Return how often workers ended."""
        return sum(one.worker.counts['ended'] for one in self.site.machines)

    def count_arrivals(self, path: str) -> int:
        """Return how often workers began to run a path."""
        return sum(
            received_path == path
            for machine in self.site.machines
            for _, received_path, _ in machine.worker.received_requests
        )

    def set_deadly(self, path: str) -> None:
        """Let each worker end when it runs a path."""
        for machine in self.site.machines:
            machine.worker.deadly_path = path

    def call_in_turn(
        self, path: str, body: bytes | None = None, suffix: str = ''
    ) -> list[ConsumerResponse]:
        """Call through one daemon after another, for some seconds."""
        responses: list[ConsumerResponse] = []
        until = time.monotonic() + CALLER_SECONDS
        while time.monotonic() < until:
            machine = self.site.machines[
                len(responses) % len(self.site.machines)
            ]
            attempt_id = f'{len(responses):016x}{suffix}'
            responses.append(
                send_consumer_request(machine, path, body, attempt_id)
            )
            gevent.sleep(PAUSE_SECONDS)
        return responses

    @params(
        ('/reads/deadly', None, ''),
        ('/buys/deadly', b'order', ''),  # may not be repeated
        ('/buys/deadly', LARGE_BODY, ''),
        ('/reads/deadly', None, '.by-a-run'),  # a call that a worker makes
    )
    def test_request_is_refused_after_it_ended_workers(
        self, path: str, body: bytes | None, suffix: str
    ) -> None:
        """Guard against a request that ends one worker after another.

        Callers get 502 for attempts that ran, and 503 for those that did not
        and never will. All other requests are served.
        """
        self.set_deadly(path)
        responses = self.call_in_turn(path, body, suffix)
        self.assertLessEqual(self.count_ends(), ALLOWED_ENDS)
        self.assertLessEqual(self.count_arrivals(path), ALLOWED_ENDS)
        self.assertEqual({one.status for one in responses}, {502, 503})
        last = responses[-1]
        self.assertEqual(last.status, 503)
        self.assertIn(b'crash-suspect', last.body)
        self.assertGreater(float(last.headers['retry-after']), 1)
        self.assertTrue(becomes_true(self.is_all_served))
        self.assertTrue(self.is_all_served())

    def test_two_deadly_requests_at_once(self) -> None:
        """Guard against a deadly request that another one conceals.

        The workers of two services end, each by a request of its own.
        """
        for machine in self.site.machines:
            machine.worker.deadly_path = f'/{machine.service}/deadly'
        callers = [
            gevent.spawn(self.call_in_turn, f'/{service}/deadly')
            for service in ('reads', 'buys')
        ]
        gevent.joinall(callers, raise_error=True)
        for service in ('reads', 'buys'):
            arrivals = self.count_arrivals(f'/{service}/deadly')
            self.assertLessEqual(arrivals, ALLOWED_ENDS)
        self.assertTrue(becomes_true(self.is_all_served))

    def test_restarted_daemon_refuses_a_suspect(self) -> None:
        """Guard against a restart that frees a deadly request."""
        self.set_deadly('/reads/deadly')
        self.call_in_turn('/reads/deadly')
        before = self.count_arrivals('/reads/deadly')
        machine = self.site.machines[0]
        machine.daemon.kill()
        machine.daemon.start()
        self.assertTrue(becomes_true(self.site.is_ready))
        self.assertTrue(becomes_true(lambda: self.names_suspect(machine)))
        answer = send_consumer_request(machine, '/reads/deadly')
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.count_arrivals('/reads/deadly'), before)

    def test_operator_clears_a_suspect_at_all_daemons(self) -> None:
        """Guard against a request that an operator cannot allow again."""
        self.set_deadly('/reads/deadly')
        self.call_in_turn('/reads/deadly')
        self.set_deadly('')
        self.assertTrue(becomes_true(self.is_all_served))
        first, *_, last = self.site.machines
        found = json.loads(
            send_request(f'http://{first.operator_address}/status').body
        )
        fingerprint = found['crash_suspects'][0]['fingerprint']
        self.assertEqual(
            cli.clear_suspect(first.operator_address, fingerprint), 0
        )
        self.assertTrue(becomes_true(self.has_no_suspect))
        answer = send_consumer_request(last, '/reads/deadly')
        self.assertEqual(answer.status, 200)

    def has_no_suspect(self) -> bool:
        """Return whether no daemon names a suspect."""
        return not any(map(self.names_suspect, self.site.machines))

    def names_suspect(self, machine: Machine) -> bool:
        """Return whether the status of a daemon names a suspect."""
        url = f'http://{machine.operator_address}/status'
        return b'"fingerprint"' in send_request(url).body

    def test_kill_of_all_workers_makes_no_suspect(self) -> None:
        """Guard against popular requests that are refused after a kill."""
        callers = [
            gevent.spawn(self.call_in_turn, '/reads/popular') for _ in range(8)
        ]
        for machine in self.site.machines:
            machine.worker.work_seconds = 0.05
        for _ in range(2):
            gevent.sleep(1)
            for machine in self.site.machines:
                gevent.spawn(machine.worker.end)
        gevent.joinall(callers, raise_error=True)
        self.assertEqual(self.count_ends(), 2 * len(self.site.machines))
        self.assertTrue(becomes_true(self.is_all_served))
        answer = send_consumer_request(self.site.machines[0], '/reads/popular')
        self.assertEqual(answer.status, 200)
        self.assertFalse(self.names_suspect(self.site.machines[0]))
