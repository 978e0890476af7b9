"""Tests of an upstream that writes an earlier answer once more.

The copy arrives on a kept connection, in place of the answer to a later
request. A refusal taken for that answer says "not run" of a request that runs.
"""

import unittest
from typing import Any, Final

from gevent.server import StreamServer
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.units import AttemptId, BodyId
from briartack.platform.upstream import PlatformUpstreamDialect
from briartack.test.fake_reducer import LOCAL_HOST, read_message
from briartack.test.shell_fixture import ShellFixture

REFUSAL: Final = (
    b'HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%bContent-Length: 0\r\n\r\n'
)
UNNAMED: Final = REFUSAL % b''
SUCCESS: Final = (
    b'HTTP/1.1 200 OK\r\n%bX-Server-Seal: s\r\nContent-Length: 2\r\n\r\nok'
)


class RepeatingUpstream(StreamServer):  # type: ignore[misc]
    """Refuse the first request of each round, and run the others.

    Before each later answer on a connection, the refusal is written again.
    `refusals` counts the requests that were refused, `runs` those that ran.
    """

    def __init__(self, *, names_requests: bool) -> None:
        super().__init__((LOCAL_HOST, 0))
        self.connection_count = 0
        self.refusals = 0
        self.runs = 0
        self._names_requests = names_requests
        self.start()

    def handle(self, sock: Any, _: Any) -> None:
        """Answer the requests of one connection."""
        self.connection_count += 1
        copy = b''
        while True:
            request = read_message(sock)
            if not request:
                return
            named = b'X-Attempt-Id: %b\r\n' % _find_attempt_id(request)
            if self.refusals == 0:
                self.refusals += 1
                copy = REFUSAL % named if self._names_requests else UNNAMED
                sock.sendall(copy)
            else:
                self.runs += 1
                sock.sendall(copy + SUCCESS % named)


def _find_attempt_id(request: bytes) -> bytes:
    return request.partition(b'X-Attempt-Id: ')[2].partition(b'\r\n')[0]


class RepeatedRefusalTest(unittest.TestCase):
    def serve(
        self, *, names_requests: bool
    ) -> tuple[RepeatingUpstream, ShellFixture]:
        """Return a running upstream and a shell that uses it."""
        upstream = RepeatingUpstream(names_requests=names_requests)
        self.addCleanup(upstream.stop)
        shell = ShellFixture(
            upstream=(LOCAL_HOST, upstream.server_port),
            upstream_dialect=PlatformUpstreamDialect(),
        )
        self.addCleanup(shell.stop)
        return upstream, shell

    # Guards against a request that runs, or runs at a second upstream, after
    # the caller was told that it has not run (REFUSED, TWICE).
    @params(
        (False, 'id-2'),
        (False, 'id-1'),
        (True, 'id-2'),
        # The request that was refused comes again.
        (True, 'id-1'),
    )
    def test_copy_of_a_refusal_does_not_answer_a_later_request(
        self, names_requests: bool, later_id: str
    ) -> None:
        upstream, shell = self.serve(names_requests=names_requests)
        shell.upstream.dispatch(make_dispatch('a1', 'id-1'))
        refused = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertFalse(refused.may_have_run)
        shell.upstream.dispatch(make_dispatch('a2', later_id))
        answered = shell.state.wait_for(events.UpstreamAnswered)[0]
        self.assertEqual(answered.attempt_id, 'a2')
        self.assertEqual(upstream.runs, 1)

    # Guards against a new connection after each refusal, which costs the
    # upstream most when it is full.
    def test_connection_is_kept_after_a_refusal_that_names_its_request(
        self,
    ) -> None:
        upstream, shell = self.serve(names_requests=True)
        shell.upstream.dispatch(make_dispatch('a1', 'id-1'))
        shell.state.wait_for(events.UpstreamFailed)
        shell.upstream.dispatch(make_dispatch('a2', 'id-2'))
        shell.state.wait_for(events.UpstreamAnswered)
        self.assertEqual(upstream.connection_count, 1)


def make_dispatch(attempt_id: str, request_id: str) -> effects.Dispatch:
    """Return the effect that starts an attempt of a caller's request."""
    return effects.Dispatch(
        attempt_id=AttemptId(attempt_id),
        body_id=BodyId('none'),
        method='GET',
        target='/',
        headers=(('Host', 'h'), ('X-Attempt-Id', request_id)),
        timeout_seconds=1,
        expected_identity='i-1',
    )
