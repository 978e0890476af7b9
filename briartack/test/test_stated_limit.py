"""Test that an upstream gets no more requests than it says it takes.

The upstream names the requests per second in its answers, for as long as the
limit holds. All requests to it pass through the daemon beside it.
"""

import itertools
import unittest
from collections import deque
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.drain import DrainState
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.slot_queue import SlotRequest
from briartack.core.calls.stated_limiter import StatedLimiter
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.events import UpstreamAnswered, UpstreamProbed
from briartack.core.units import AttemptId
from briartack.error_texts import STATEMENT_REFUSED
from briartack.platform.upstream import PlatformUpstreamDialect
from briartack.test.call_path_bench import CallPathBench
from briartack.test.fake_reducer import LOCAL_HOST, EchoServer
from briartack.test.shell_fixture import ShellFixture
from briartack.test.test_platform_calls import (
    DISPATCH,
    SEALED_HEADERS,
    parse_answer,
)

# The platform's rule: no more than one and a half times what the limit allows,
# and 5 requests, in any span of 4 s.
WINDOW_SECONDS: Final = 4.0
MAX_EXCESS: Final = 1.5
MAX_EXTRA: Final = 5
STEP_SECONDS: Final = 0.02
FULL_LOAD: Final = 1.25  # of the platform


def count_busiest_window(times: list[float]) -> int:
    """Return the largest number of starts within any window."""
    window: deque[float] = deque()
    busiest = 0
    for at in times:
        window.append(at)
        while window[0] <= at - WINDOW_SECONDS:
            window.popleft()
        busiest = max(busiest, len(window))
    return busiest


def make_upstream(overage: float = 1) -> LocalUpstream:
    """Make a probed upstream with 12 slots that has a rate for cold starts."""
    rules = CallRules(requires_identity=True, stated_limit_overage=overage)
    upstream = LocalUpstream(drain=DrainState(drain_seconds=5), rules=rules)
    upstream.configure(
        ServiceLimits(
            slots=12, connections=120, queue_length=48, cold_per_second=18
        ),
        12,
    )
    probe(upstream, 'i-1')
    return upstream


def probe(upstream: LocalUpstream, identity: str) -> None:
    """Let a probe report a healthy, warm upstream that the list has."""
    upstream.handle_probe(
        UpstreamProbed(
            now=0,
            is_healthy=True,
            is_draining=False,
            identity=identity,
            reported_load=None,
            cold_seconds=0,
        ),
    )
    upstream.health.verify(is_own_service=True)


class StatedLimitTest(unittest.TestCase):
    """Check starts, load and refusals at an upstream with a limit."""

    # Guards against more requests than an upstream has said it takes.
    @params(*itertools.product((0, 0.4, 1, 7.9, 25.6, 200), (1, 1.2)))
    def test_starts_in_any_window_are_within_the_stated_limit(
        self, per_second: float, overage: float
    ) -> None:
        """Guard against an overloaded upstream that has named its limit.

        Far more requests arrive than the upstream takes, and each run is
        short; the limit is named after 5 s.
        """
        upstream = make_upstream(overage)
        started: list[float] = []
        for step in range(round(30 / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if step == round(5 / STEP_SECONDS):
                upstream.update_stated_limit(per_second)
                started.clear()
            started.extend(self._run_step(upstream, now, step))
        allowed = MAX_EXCESS * per_second * WINDOW_SECONDS + MAX_EXTRA
        self.assertLessEqual(count_busiest_window(started), allowed)
        # What the upstream takes is not withheld from callers either.
        self.assertGreaterEqual(
            len(started), int(per_second * overage * 25 * 0.95)
        )

    def test_limit_that_is_no_longer_stated_ends(self) -> None:
        """Guard against an upstream that stays limited for ever."""
        upstream = make_upstream()
        upstream.update_stated_limit(1)
        self.assertEqual(len(self._run_step(upstream, 1, 1)), 0)
        upstream.update_stated_limit(None)
        self.assertEqual(len(self._run_step(upstream, 1.1, 2)), 12)

    def test_limit_ends_with_the_upstream_that_stated_it(self) -> None:
        """Guard against a limit of the process before a restart."""
        upstream = make_upstream()
        upstream.update_stated_limit(1)
        probe(upstream, 'i-2')
        self.assertEqual(len(self._run_step(upstream, 1, 1)), 12)

    def test_strictest_limit_counts(self) -> None:
        """Guard against a stated limit that lifts that of a cold upstream."""
        upstream = make_upstream()
        upstream.assume_cold(100)
        upstream.update_stated_limit(1000)
        started = [
            at
            for step in range(50)
            for at in self._run_step(upstream, 100 + step * STEP_SECONDS, step)
        ]
        self.assertLessEqual(len(started), 18 + 1)

    def test_load_shows_the_limit_before_requests_queue(self) -> None:
        """Guard against senders that learn of the limit by long waits only."""
        upstream = make_upstream()
        self.assertLess(upstream.load(0), 0.1)
        upstream.update_stated_limit(20)
        self.assertGreaterEqual(upstream.load(0), 1)
        self.assertLess(upstream.load(2), 0.1)

    def test_load_is_full_before_the_stated_rate_is_exceeded(self) -> None:
        """Guard against requests above the rate while others have room.

        Senders turn to other upstreams at the full load.
        """
        upstream = make_upstream(1.2)
        upstream.update_stated_limit(20)
        started: list[float] = []
        for step in range(round(20 / STEP_SECONDS)):
            now = step * STEP_SECONDS
            if upstream.load(now) < FULL_LOAD:
                started.extend(self._run_step(upstream, now, step, offered=1))
        self.assertLessEqual(len(started), 20 * 20 + 10)

    @params(('25.6', 25.6), ('0', 0), ('nan', None), ('-1', None), ('x', None))
    def test_limit_is_decoded_from_answers_and_refusals(
        self, text: str, per_second: float | None
    ) -> None:
        """Guard against a malformed limit that stops or frees the upstream."""
        dialect = PlatformUpstreamDialect()
        headers = f'{SEALED_HEADERS}Server-Limit: {text}\r\n'
        for status, more in (('200 OK', ''), ('503 Full', 'X-Not-Executed: 1')):
            result = dialect.decode_result(
                DISPATCH,
                parse_answer(
                    status, f'{headers}{more}\r\n' if more else headers
                ),
            )
            self.assertEqual(result.stated_limit, per_second)
            self.assertEqual(bool(result.refused_statement), per_second is None)

    def test_probe_tells_the_limit_before_the_first_request(self) -> None:
        """Guard against an owner that has restarted and starts everything."""
        answer = parse_answer(
            '200 OK', 'X-Instance-Id: i-1\r\nServer-Limit: 2\r\n'
        )
        probed = PlatformUpstreamDialect().decode_probe(0, answer)
        owner = OwnerState(drain=DrainState(drain_seconds=5), rules=CallRules())
        context = CallPathBench(setup={}).context
        owner.handle_upstream_probe(context, probed)
        self.assertGreaterEqual(owner.upstream.load(0), 1)
        # A probe without a limit does not end it; only answers do.
        owner.handle_upstream_probe(
            context, msgspec.structs.replace(probed, stated_limit=None)
        )
        self.assertGreaterEqual(owner.upstream.load(0), 1)

    def test_excess_is_refused_at_once(self) -> None:
        """Guard against requests that wait although they can't be served.

        At 2 requests a second, the third one would miss its deadline of 1 s.
        """
        bench = CallPathBench(
            setup={
                'limits': {'slots': 16, 'queue_length': 9},
                'rules': {'counts_refusals': False},
            },
        )
        bench.apply_step({'at': 0, 'do': 'probe', 'identity': 'p1'})
        bench.state.owner.upstream.update_stated_limit(2)
        lines = [
            bench.apply_step(
                {
                    'at': 1,
                    'do': 'attempt',
                    'attempt': f'x{number}',
                    'remaining_ms': 1000,
                },
            )
            for number in range(4)
        ]
        refused = [any('overload' in line for line in told) for told in lines]
        self.assertEqual(refused, [False, False, True, True], lines)

    def _run_step(
        self, upstream: LocalUpstream, now: float, step: int, offered: int = 12
    ) -> list[float]:
        """Offer requests, run all that start, and return their times."""
        admitted = [
            *upstream.fill(now).started,
            *(
                attempt
                for number in range(offered)
                for attempt in upstream.offer(
                    SlotRequest(
                        attempt_id=AttemptId(f'a{step}-{number}'),
                        deadline=now + 0.5,
                        interactive=True,
                    ),
                    now,
                ).started
            ),
        ]
        for _ in admitted:
            upstream.handle_answer(now, 0.001, generation=0, is_success=True)
        return [now for _ in admitted]


class RefusedStatementTest(unittest.TestCase):
    """Check the count and the log lines of malformed statements."""

    def test_malformed_statements_are_logged_once_for_each_identity(
        self,
    ) -> None:
        """Guard against a log line, or an uncounted flaw, for each answer."""
        server = EchoServer(
            b'X-Server-Load: 1,2\r\nServer-Limit: x\r\n'
            b'X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n'
        )
        self.addCleanup(server.stop)
        shell = ShellFixture(
            upstream=(LOCAL_HOST, server.server_port),
            upstream_dialect=PlatformUpstreamDialect(),
        )
        self.addCleanup(shell.stop)
        identities = ('i-7', 'i-7', 'i-8', 'i-8')
        for number, identity in enumerate(identities, start=1):
            shell.upstream.dispatch(
                msgspec.structs.replace(
                    DISPATCH,
                    attempt_id=AttemptId(f'a{number}'),
                    expected_identity=identity,
                ),
            )
            shell.state.wait_for(UpstreamAnswered, number)
        counts = shell.observer.counts
        self.assertEqual(counts['upstream.statements_refused'], 8)
        logged = [
            (fields['upstream'], fields['statement'])
            for code, fields in shell.observer.logs
            if code == STATEMENT_REFUSED
        ]
        statements = ('Server-Limit: x', 'X-Server-Load: 1,2')
        self.assertEqual(
            logged, list(itertools.product(('i-7', 'i-8'), statements))
        )


class StatedLimiterTest(unittest.TestCase):
    def test_new_limit_starts_without_tokens(self) -> None:
        """Guard against a burst on top of the requests before the limit."""
        limiter = StatedLimiter()
        for per_second in (30, None, 30):
            limiter.update(per_second)
        self.assertEqual(limiter.count_available_starts(50), 0)
