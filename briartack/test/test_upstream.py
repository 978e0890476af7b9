"""The local upstream and the store when they misbehave."""

import unittest
from collections.abc import Callable
from typing import Any

import gevent
import gevent.event
from nose2.tools import params

from briartack.core import effects, events
from briartack.core.units import AttemptId, BodyId, Revision
from briartack.test.fake_reducer import LOCAL, read_request, serve
from briartack.test.small_shell import SmallShell

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
STORE_HEAD = b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b'


def dispatch(number: int, method: str = 'POST') -> effects.Dispatch:
    """Make an attempt with a short deadline."""
    return effects.Dispatch(
        attempt_id=AttemptId(f'a{number}'),
        body_id=BodyId('none'),
        method=method,
        target='/',
        headers=(),
        timeout_seconds=0.2,
    )


class ServedTest(unittest.TestCase):
    """Serve raw bytes to a shell."""

    def shell_of(self, handle: Callable[[Any], None]) -> SmallShell:
        server = serve(handle)
        self.addCleanup(server.stop, timeout=0)
        shell = SmallShell(upstream=(LOCAL, server.server_port))
        self.addCleanup(shell.stop)
        return shell


class UpstreamTest(ServedTest):
    @params(
        (b'', 'answer cut off'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc', 'answer cut off'),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde',
            'answer cut off',
        ),
        (b'SMTP ready\r\n\r\n', 'malformed answer'),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 17000000\r\n\r\n'
            + b'x' * 17_000_000,
            'answer is too large',
        ),
    )
    def test_no_whole_answer(self, answer: bytes, reason: str) -> None:
        """Guards against a short success, and a false "not run"."""

        def handle(sock: Any) -> None:
            read_request(sock)
            sock.sendall(answer)

        shell = self.shell_of(handle)
        shell.upstream.dispatch(dispatch(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertIn(reason, failed.reason)
        self.assertTrue(failed.may_have_run)
        self.assertEqual(shell.state.seen(events.UpstreamAnswered), [])

    def test_refused_connection_has_not_run(self) -> None:
        """Guards against a lost retry when nothing was sent."""
        shell = SmallShell(upstream=(LOCAL, 1))
        self.addCleanup(shell.stop)
        shell.upstream.dispatch(dispatch(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertEqual((failed.may_have_run, failed.is_reset), (False, True))

    @params('GET', 'POST')
    def test_request_is_never_sent_twice(self, method: str) -> None:
        """Guards against a library that repeats a request by itself."""
        requests = []

        def handle(sock: Any) -> None:
            requests.append(read_request(sock))

        shell = self.shell_of(handle)
        shell.upstream.dispatch(dispatch(1, method))
        shell.state.wait_for(events.UpstreamFailed)
        gevent.idle()
        self.assertEqual(len(requests), 1)

    def test_stale_pooled_connection_is_not_used(self) -> None:
        """Guards against "unknown" for a connection closed while idle."""
        closed = gevent.event.Event()

        def handle(sock: Any) -> None:
            read_request(sock)
            sock.sendall(OK)
            sock.close()
            closed.set()

        shell = self.shell_of(handle)
        for number in (1, 2):
            closed.clear()
            shell.upstream.dispatch(dispatch(number))
            shell.state.wait_for(events.UpstreamAnswered, number)
            closed.wait()
        self.assertEqual(shell.state.seen(events.UpstreamFailed), [])

    def test_slow_answer_times_out(self) -> None:
        """Guards against an attempt that outlives its deadline."""
        shell = self.shell_of(lambda sock: gevent.sleep(60))
        shell.upstream.dispatch(dispatch(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertEqual(
            (failed.reason, failed.may_have_run), ('timeout', True)
        )

    def test_abort_closes_the_connection(self) -> None:
        """Guards against an upstream that works for nobody."""
        ended = gevent.event.AsyncResult()

        def handle(sock: Any) -> None:
            read_request(sock)
            shell.upstream.abort(
                effects.AbortDispatch(attempt_id=AttemptId('a1')),
            )
            ended.set(sock.recv(1))

        shell = self.shell_of(handle)
        shell.upstream.dispatch(dispatch(1))
        self.assertEqual(ended.get(timeout=10), b'')
        self.assertEqual(shell.state.events, [])
        self.assertEqual(len(shell.bodies), 0)


class StoreClientTest(ServedTest):
    @params(
        (b'200 OK', b'', b'{"revision": 3}', 'malformed answer'),
        (b'200 OK', b'', b'<html>', 'malformed answer'),
        (
            b'200 OK',
            b'',
            b'{"revision": 3, "entries": '
            b'[{"key": "k", "revision": 4, "value": null}]}',
            'malformed answer: k has revision 4',
        ),
        (b'500 Oh', b'', b'', 'status 500'),
        (b'429 Slow', b'Retry-After: 1.5\r\n', b'', 'too many calls'),
    )
    def test_unusable_answer(
        self,
        status: bytes,
        headers: bytes,
        body: bytes,
        reason: str,
    ) -> None:
        """Guards against entries from an answer that is not whole."""

        def handle(sock: Any) -> None:
            read_request(sock)
            sock.sendall(STORE_HEAD % (status, headers, len(body), body))

        shell = self.shell_of(handle)
        shell.store.read(effects.ReadStore(prefix='teams/'))
        failed = shell.state.wait_for(events.StoreFailed)[0]
        self.assertIn(reason, failed.reason)
        self.assertEqual(failed.prefix, 'teams/')
        wait = 1.5 if headers else None
        self.assertEqual(failed.retry_after_seconds, wait)

    def test_watch_is_replaced_and_cancelled(self) -> None:
        """Guards against two watches, and events of a cancelled one."""
        requests: list[bytes] = []
        ends: list[bytes] = []

        def handle(sock: Any) -> None:
            requests.append(read_request(sock))
            ends.append(sock.recv(1))

        shell = self.shell_of(handle)
        for after in (7, 8):
            shell.store.watch(
                effects.WatchStore(after=Revision(after), wait_seconds=20),
            )
            with gevent.Timeout(10):
                while len(requests) < after - 6:
                    gevent.sleep(0.001)
        shell.store.cancel_watch(effects.CancelWatch())
        with gevent.Timeout(10):
            while len(ends) < 2:
                gevent.sleep(0.001)
        self.assertIn(b'GET /v1/watch?after=8&wait=20 ', requests[1])
        self.assertEqual(shell.state.events, [])
