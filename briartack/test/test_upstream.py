"""Tests of the clients of the local upstream and of the store.

The servers send truncated, malformed or late answers over real sockets.
"""

import time
import unittest
from functools import partial
from unittest import mock

import gevent
from nose2.tools import params

from briartack import store_client
from briartack.core import effects, events
from briartack.core.units import AttemptId, BodyId, Revision
from briartack.http_exchange import Exchange, KeepAlivePool
from briartack.test.fake_reducer import (
    LOCAL_HOST,
    EchoServer,
    ScriptedServer,
    wait_until,
)
from briartack.test.shell_fixture import ShellFixture

OK_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
STORE_HEAD = b'HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n%b'
EMPTY_LIST = STORE_HEAD % (
    b'200 OK',
    b'',
    30,
    b'{"revision": 1, "entries": []}',
)


def dispatch_effect(number: int, method: str = 'POST') -> effects.Dispatch:
    """Return the effect that starts an attempt with a short deadline."""
    return effects.Dispatch(
        attempt_id=AttemptId(f'a{number}'),
        body_id=BodyId('none'),
        method=method,
        target='/',
        headers=(),
        timeout_seconds=0.2,
    )


def post_exchange(pool: KeepAlivePool, body: bytes) -> Exchange:
    """Return an unsent POST request with a body of one byte."""
    head = b'POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\n'
    return Exchange(
        pool,
        method='POST',
        request=head + body,
        max_body_bytes=1,
    )


class ServerTestCase(unittest.TestCase):
    """Provide a server of fixed bytes and a shell that uses the server."""

    def serve(
        self,
        answer: bytes = b'',
        *,
        is_waiting: bool = False,
    ) -> tuple[ScriptedServer, ShellFixture]:
        """Return a running server, and a shell that uses it for upstream."""
        server = ScriptedServer(answer, waits_for_client=is_waiting)
        self.addCleanup(server.stop)
        shell = ShellFixture(upstream=server.address)
        self.addCleanup(shell.stop)
        return server, shell


class UpstreamTest(ServerTestCase):
    @params(
        (b'', 'answer cut off'),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc',
            'answer cut off',
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde',
            'answer cut off',
        ),
        (b'SMTP ready\r\n\r\n', 'malformed answer'),
        # The upstream stops within the head.
        (b'HTTP/1.1 200', 'answer cut off'),
        (b'HTTP/1.1 200 OK\r\n', 'answer cut off'),
        (b'HTTP/1.1 200 OK\r\nX-A: 1\r\n', 'answer cut off'),
        (b'HTTP/1.1 200 OK\r\nX-A: 1\r\nContent-Le', 'answer cut off'),
        (b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n', 'answer cut off'),
        (
            b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\n\r',
            'answer cut off',
        ),
        (
            STORE_HEAD % (b'200 OK', b'', 17_000_000, b'x' * 17_000_000),
            'answer is too large',
        ),
    )
    def test_invalid_answer_fails_with_unknown_outcome(
        self, answer: bytes, reason: str
    ) -> None:
        """Guard against a truncated success, and a false "not run"."""
        _, shell = self.serve(answer)
        shell.upstream.dispatch(dispatch_effect(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertIn(reason, failed.reason)
        self.assertTrue(failed.may_have_run)
        self.assertEqual(shell.state.events_of(events.UpstreamAnswered), [])

    def test_refused_connection_has_not_run(self) -> None:
        """Guard against a retry that is lost although nothing was sent."""
        shell = ShellFixture(upstream=(LOCAL_HOST, 1))
        self.addCleanup(shell.stop)
        shell.upstream.dispatch(dispatch_effect(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertEqual((failed.may_have_run, failed.is_reset), (False, True))

    @params('GET', 'POST')
    def test_request_is_never_sent_twice(self, method: str) -> None:
        """Guard against a library that retries a request by itself."""
        server, shell = self.serve()
        shell.upstream.dispatch(dispatch_effect(1, method))
        shell.state.wait_for(events.UpstreamFailed)
        gevent.idle()
        self.assertEqual(len(server.requests), 1)

    def test_stale_pooled_connection_is_not_used(self) -> None:
        """Guard against "unknown" for a connection closed while idle."""
        server, shell = self.serve(OK_ANSWER)
        for number in (1, 2):
            shell.upstream.dispatch(dispatch_effect(number))
            shell.state.wait_for(events.UpstreamAnswered, number)
            wait_until(partial(_has_closed, server, number))
        self.assertEqual(shell.state.events_of(events.UpstreamFailed), [])

    # Guards against "unknown" for a request that meets the end of the idle time
    # of its connection, and never ran.
    @params(
        (b'timeout=10', 7.9, 1),
        (b'timeout=10', 8.1, 2),
        (b'max=9, Timeout = 10', 8.1, 2),
        (b'timeout=1', 0.9, 2),
        (b'timeout=0', 0.1, 2),
        # Without a usable statement, only an end of the stream shows the end.
        (b'timeout=soon', 100, 1),
        (b'max=9', 100, 1),
        (b'', 100, 1),
    )
    def test_connection_is_not_used_until_its_idle_time_ends(
        self, stated: bytes, idle_seconds: float, connections: int
    ) -> None:
        server = EchoServer(b'Keep-Alive: %b\r\n' % stated if stated else b'')
        self.addCleanup(server.stop)
        pool = KeepAlivePool((LOCAL_HOST, server.server_port), size=2)
        post_exchange(pool, b'1').finish(1)
        later = time.monotonic() + idle_seconds
        with mock.patch.object(time, 'monotonic', return_value=later):
            second = post_exchange(pool, b'2')
            second.send_without_waiting()
            self.assertEqual(second.finish(1).body, b'2')
        self.assertEqual(server.connection_count, connections)

    def test_slow_answer_times_out(self) -> None:
        """Guard against an attempt that outlives its deadline."""
        _, shell = self.serve(is_waiting=True)
        shell.upstream.dispatch(dispatch_effect(1))
        failed = shell.state.wait_for(events.UpstreamFailed)[0]
        self.assertEqual(
            (failed.reason, failed.may_have_run), ('timeout', True)
        )

    def test_abort_closes_the_connection(self) -> None:
        """Guard against an upstream that runs a request nobody waits for."""
        server, shell = self.serve(is_waiting=True)
        shell.upstream.dispatch(dispatch_effect(1))
        wait_until(lambda: bool(server.requests))
        shell.upstream.abort(
            effects.AbortDispatch(attempt_id=AttemptId('a1')),
        )
        wait_until(lambda: bool(server.connection_ends))
        self.assertEqual(server.connection_ends[0], b'')
        self.assertEqual(shell.state.events, [])
        self.assertEqual(len(shell.bodies), 0)

    def test_abandoned_request_frees_its_connection(self) -> None:
        """Guard against a lost place in the pool, and a mixed-up answer.

        The answer to the abandoned request must not reach the next one.
        """
        server = EchoServer()
        self.addCleanup(server.stop)
        pool = KeepAlivePool((LOCAL_HOST, server.server_port), size=1)
        post_exchange(pool, b'1').finish(1)
        abandoned = post_exchange(pool, b'2')
        abandoned.send_without_waiting()
        abandoned.abandon()
        self.assertEqual(post_exchange(pool, b'3').finish(1).body, b'3')
        wait_until(lambda: server.closed_connection_count == 1)
        self.assertEqual(
            [request[-1:] for request in server.requests],
            [b'1', b'2', b'3'],
        )


class StoreClientTest(ServerTestCase):
    @params(
        (b'200 OK', b'', b'{"revision": 3}', 'malformed answer'),
        (b'200 OK', b'', b'<html>', 'malformed answer'),
        (
            b'200 OK',
            b'',
            b'{"revision": 1099511627776, "entries": []}',
            'malformed answer',
        ),
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
    def test_invalid_store_answer_fails_the_read(
        self,
        status: bytes,
        headers: bytes,
        body: bytes,
        reason: str,
    ) -> None:
        """Guard against entries of an incomplete or inconsistent answer."""
        _, shell = self.serve(
            STORE_HEAD % (status, headers, len(body), body),
        )
        shell.store.read(effects.ReadStore(prefix='teams/'))
        failed = shell.state.wait_for(events.StoreFailed)[0]
        self.assertIn(reason, failed.reason)
        self.assertEqual(failed.prefix, 'teams/')
        wait = 1.5 if headers else None
        self.assertEqual(failed.retry_after_seconds, wait)

    # Guards against calls on connections that have gone silent.
    def test_cancelled_watch_closes_idle_connections(self) -> None:
        """Guard against a next watch on a connection that is silent too.

        Connections may go silent without a reset, while new ones work. A
        watch without an answer in time is cancelled.
        """
        server, shell = self.serve(EMPTY_LIST, is_waiting=True)
        shell.store.read(effects.ReadStore(prefix='teams/'))
        shell.state.wait_for(events.StoreRead)
        self.assertEqual(server.connection_ends, [])
        shell.store.cancel_watch(effects.CancelWatch())
        wait_until(lambda: b'' in server.connection_ends)

    def test_timeout_closes_idle_connections(self) -> None:
        """Guard against a next read on a connection that is silent too."""
        server, shell = self.serve(is_waiting=True)
        with mock.patch.object(store_client, '_READ_TIMEOUT_SECONDS', 0.5):
            shell.store.read(effects.ReadStore(prefix='teams/'))
            wait_until(partial(_has_request, server, b'teams'))
        server.answer = EMPTY_LIST
        shell.store.read(effects.ReadStore(prefix='instances/'))
        shell.state.wait_for(events.StoreRead)
        shell.state.wait_for(events.StoreFailed)
        wait_until(lambda: server.connection_ends.count(b'') == 2)

    def test_new_watch_and_cancellation_close_the_watch(self) -> None:
        """Guard against two watches at once, and events of a cancelled one."""
        server, shell = self.serve(is_waiting=True)
        for after in (7, 8):
            shell.store.watch(
                effects.WatchStore(after=Revision(after), wait_seconds=20),
            )
            target = b'after=%d&' % after
            wait_until(partial(_has_request, server, target))
        shell.store.cancel_watch(effects.CancelWatch())
        wait_until(lambda: server.connection_ends.count(b'') == 2)
        self.assertIn(b'GET /v1/watch?after=8&wait=20 ', server.requests[1])
        self.assertEqual(shell.state.events, [])


def _has_request(server: ScriptedServer, part: bytes) -> bool:
    """Return whether a request with this part has arrived."""
    return any(part in request for request in server.requests)


def _has_closed(server: ScriptedServer, number: int) -> bool:
    """Return whether as many connections have ended."""
    return len(server.connection_ends) == number
