"""Test the caller server and the upstream client over real sockets."""

import json
import time
import unittest
from unittest import mock

import gevent
from nose2.tools import params

from briartack.caller_pipeline import Pipeline
from briartack.core import effects, events
from briartack.core.messages import MAX_BODY_BYTES
from briartack.core.verdict import Verdict
from briartack.inbound_call import InboundCall
from briartack.test.fake_reducer import LOCAL_HOST, EchoServer
from briartack.test.shell_fixture import ShellFixture, read_answer


class CallersTest(unittest.TestCase):
    """Check HTTP between a caller, the daemon and its upstream.

    The upstream answers each request with the body of the request.
    """

    def setUp(self) -> None:
        self.upstream = EchoServer()
        self.requests = self.upstream.requests
        self.addCleanup(self.upstream.stop, timeout=0)
        self.shell = ShellFixture(
            upstream=(LOCAL_HOST, self.upstream.server_port)
        )
        self.addCleanup(self.shell.stop)
        self.caller = self.shell.connect_caller()
        self.addCleanup(self.caller.close)

    def test_request_and_answer_keep_end_to_end_headers(self) -> None:
        """Check that end-to-end headers are passed on and hop-by-hop ones not.

        `TE` and the headers that `Connection` names apply to the caller's
        connection only; the deadline sent on is the one of the dispatch.
        """
        self.caller.sendall(
            b'POST /saldo/1?x=%20 HTTP/1.1\r\nHost: h\r\nX-Tenant: t\r\n'
            b'Connection: a\r\nConnection: X-Hop\r\nX-Hop: 1\r\n'
            b'TE: trailers\r\n'
            b'Briartack-Deadline-Ms: 250\r\nContent-Length: 3\r\n\r\nabc',
        )
        status, head, body = read_answer(self.caller)
        self.assertEqual((status, body), (200, b'abc'))
        self.assertIn(b'Briartack-Verdict: ran', head)
        arrived = self.shell.state.events_of(events.CallArrived)[0]
        self.assertEqual(arrived.headers, (('Host', 'h'), ('X-Tenant', 't')))
        self.assertEqual((arrived.tenant, arrived.deadline_ms), ('t', 250))
        sent = self.requests[0]
        self.assertTrue(sent.startswith(b'POST /saldo/1?x=%20 HTTP/1.1\r\n'))
        self.assertTrue(sent.endswith(b'\r\n\r\nabc'))
        self.assertIn(b'Briartack-Deadline-Ms: 5000\r\n', sent)
        self.assertNotIn(b'Hop', sent)

    def test_slow_chunked_body_is_sent_complete_on_kept_connection(
        self,
    ) -> None:
        """Check that a request in many parts is sent on only when complete."""
        for _ in range(2):
            self.caller.sendall(
                b'PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n',
            )
            for part in (b'3\r\nab', b'c\r\n', b'2\r\nde\r\n', b'0\r\n\r\n'):
                gevent.sleep(0.002)
                self.caller.sendall(part)
            self.assertEqual(read_answer(self.caller)[0], 200)
        self.assertTrue(self.requests[1].endswith(b'\r\n\r\nabcde'))

    def test_largest_body_passes_and_larger_is_refused(self) -> None:
        """Check that the largest body passes and one byte more gives 413.

        Without the limit, bodies of any size would be held in memory.
        """
        body = b'x' * MAX_BODY_BYTES
        head = b'POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n'
        self.caller.sendall(b''.join((head % len(body), body)))
        self.assertEqual(read_answer(self.caller)[0], 200)
        self.caller.sendall(head % (len(body) + 1))
        status, answer_head, refusal = read_answer(self.caller)
        self.assertEqual(status, 413)
        self.assertIn(b'Briartack-Verdict: not-run', answer_head)
        self.assertEqual(json.loads(refusal)['code'], 'body-too-large')

    def test_oversized_chunked_body_is_refused(self) -> None:
        """Check that the limit holds for chunks without an announced total."""
        self.caller.sendall(
            b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000000\r\n',
        )
        writer = gevent.spawn(self.caller.sendall, b'x' * 0x1100000)
        status, _, body = read_answer(self.caller)
        self.assertEqual(status, 413, body)
        writer.kill()
        self.assertEqual(
            len(self.shell.state.events_of(events.CallCancelled)), 1
        )

    @params(
        b'GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 1\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n',
        b'GET / HTTP/1.1\r\nA: b\r\n folded\r\n\r\n',
        b'GET / HTTP/1.1\r\nA : b\r\n\r\n',
        b'GET / HTTP/1.1\r\nA: \0\r\n\r\n',
        b'GET / HTTP/1.1\r\nBriartack-Deadline-Ms: soon\r\n\r\n',
        b'GET / HTTP/1.1\r\nA: %b\r\n\r\n' % (b'x' * 70_000),
        b'GET / HTTP/1.1\r\n%b\r\n' % (b'A: b\r\n' * 200),
        b'GET http://other/ HTTP/1.1\r\n\r\n',
        b'GET /a#b HTTP/1.1\r\n\r\n',
        b'OPTIONS * HTTP/1.1\r\n\r\n',
        # 0xA0 is white space for `str.split`, but part of a UTF-8 character.
        b'GET /\xc3\xa0 HTTP/1.1\r\n\r\n',
        b'GET /a\x0b HTTP/1.1\r\n\r\n',
        b'GET\t/ HTTP/1.1\r\n\r\n',
        b' GET / HTTP/1.1\r\n\r\n',
        b'GET / HTTP/1.7\r\n\r\n',
        b'GET /\r\n\r\n',
        b'GET /%b HTTP/1.1\r\n\r\n' % (b'x' * 20_000),
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
        b'Transfer-Encoding: gzip\r\n\r\n',
        b'GET / HTTP/1.1\r\nX-Tenant: a\r\nX-Tenant: b\r\n\r\n',
        b'GET / HTTP/1.1\r\nX_Tenant: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nBriartack_Attempt: a\r\n\r\n',
        b'GET / HTTP/1.1\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n',
        b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n',
        b'G(T / HTTP/1.1\r\n\r\n',
        b'GET /.briartack/keys?service=s HTTP/1.1\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
    )
    def test_malformed_request_is_refused(self, request: bytes) -> None:
        """Check that a request with an ambiguous meaning gets 400.

        Two servers that parse such a request differently would allow request
        smuggling.
        """
        self.caller.sendall(request)
        status, head, body = read_answer(self.caller)
        self.assertEqual(status, 400, body)
        self.assertIn(b'Briartack-Verdict: not-run', head)
        self.assertEqual(json.loads(body)['code'], 'malformed-request')
        self.assertEqual(self.requests, [])

    def test_caller_with_endless_head_reads_refusal(self) -> None:
        """Check that a caller that still sends an endless head reads the 400.

        Closing the socket with unread bytes would reset the connection and
        discard the refusal.
        """
        self.caller.sendall(b'GET / HTTP/1.1\r\nA: %b' % (b'x' * 4_000_000))
        status, head, _ = read_answer(self.caller)
        self.assertEqual(status, 400)
        self.assertIn(b'Briartack-Verdict: not-run', head)

    def test_caller_sending_body_reads_refusal(self) -> None:
        """Check that a caller that still sends its body reads the refusal.

        Closing the socket with unread bytes would reset the connection and
        discard the answer.
        """
        self.caller.sendall(
            b'POST /refused HTTP/1.1\r\nContent-Length: 500000\r\n\r\n',
        )
        self.shell.state.wait_for(events.CallArrived)
        for _ in range(50):
            # Fails now or in the next turn if the connection was closed.
            self.caller.sendall(b'x' * 10_000)
            gevent.sleep(0.0001)
        status, head, body = read_answer(self.caller)
        self.assertEqual(status, 503)
        self.assertIn(b'Retry-After: 1', head)
        self.assertEqual(json.loads(body)['code'], 'overload')

    # Guards against a caller without an answer (LOST) whose call ends while its
    # body arrives, at its deadline or at the end of a planned stop.
    @params(
        b'Content-Length: 500000\r\n\r\nabc',
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n',
        b'Content-Length: 500000\r\nExpect: 100-continue\r\n\r\n',
    )
    def test_caller_is_answered_while_its_body_arrives(
        self, request: bytes
    ) -> None:
        self.caller.sendall(b'POST / HTTP/1.1\r\n%b' % request)
        arrived = self.shell.state.wait_for(events.CallArrived)[0]
        gevent.sleep(0.01)
        self.shell.callers.answer(
            effects.AnswerCall(
                call_id=arrived.call_id,
                verdict=Verdict.NOT_RUN,
                status=504,
                headers=(),
                reason='deadline',
            )
        )
        self.caller.settimeout(5)
        answer = self.caller.recv(1000)
        self.assertIn(b'HTTP/1.1 504 ', answer)
        self.assertIn(b'Connection: close\r\n', answer)
        self.caller.sendall(b'x' * 1000)
        self.assertEqual(self.shell.state.events_of(events.CallCancelled), [])

    # Guards against a caller that waits without end, because its response
    # can't be encoded.
    def test_failed_response_closes_the_connection(self) -> None:
        with mock.patch.object(InboundCall, 'answer', side_effect=ValueError):
            self.caller.sendall(b'GET / HTTP/1.1\r\n\r\n')
            self.caller.settimeout(5)
            self.assertEqual(self.caller.recv(1), b'')

    def test_disconnect_cancels_call(self) -> None:
        """Check that a call is cancelled when its caller disconnects."""
        self.shell.state.is_silent = True
        self.caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        self.shell.state.wait_for(events.CallBodyRead)
        self.caller.close()
        self.shell.state.wait_for(events.CallCancelled)
        self.assertEqual(self.shell.callers.in_flight, 0)

    def test_disconnect_during_body_cancels_call(self) -> None:
        """Check that an incomplete upload is cancelled and not sent on."""
        self.caller.sendall(b'POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc')
        self.shell.state.wait_for(events.CallArrived)
        self.caller.close()
        self.shell.state.wait_for(events.CallCancelled)
        self.assertEqual(self.requests, [])

    def test_issued_key_is_in_answer_body(self) -> None:
        """Check that the body of the answer holds the issued key."""
        self.caller.sendall(
            b'POST /.briartack/keys?service=saldo HTTP/1.1\r\n'
            b'Content-Length: 0\r\n\r\n',
        )
        _, _, body = read_answer(self.caller)
        self.assertEqual(json.loads(body), {'key': 'key-of-saldo'})

    def test_only_idle_connection_is_closed(self) -> None:
        """Check that only connections beyond the idle time are closed.

        Idle connections would accumulate; a connection in use that is closed
        would fail the next request.
        """
        self.caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        read_answer(self.caller)
        self.shell.callers.close_idle_connections()
        self.caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        self.assertEqual(read_answer(self.caller)[0], 200)
        self.shell.callers.close_idle_connections(idle_seconds=-1)
        self.assertEqual(self.caller.recv(1), b'')

    # Guards against a request that is passed on although its connection has
    # just been shut down, so that nobody gets its answer (LOST).
    def test_request_at_the_end_of_the_idle_time_is_answered(self) -> None:
        self._send_as_the_idle_time_ends()
        self.assertEqual(read_answer(self.caller)[0], 200)

    # As above, for input that arrives after the check for it.
    def test_request_after_the_shutdown_is_not_passed_on(self) -> None:
        with mock.patch.object(Pipeline, 'has_unread_input', new=False):
            self._send_as_the_idle_time_ends()
            self.assertEqual(self.caller.recv(1), b'')
        gevent.sleep(0.05)
        self.assertEqual(len(self.requests), 1)

    # Guards against connections that are closed while callers still rely on
    # them, or that stay open long after (LOST): the times of the configuration
    # in force bind.
    @params((0.2, 5, b''), (60, 5, None), (0.2, 60, None))
    def test_connection_is_closed_by_the_limits_in_force(
        self, idle_seconds: float, waited_seconds: float, end: bytes | None
    ) -> None:
        self.shell.callers.limit(
            effects.LimitCallers(
                idle_seconds=idle_seconds, header_seconds=waited_seconds
            )
        )
        self.caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        read_answer(self.caller)
        is_partial = end is None and idle_seconds < 1
        if is_partial:
            # A request of which bytes have arrived isn't idle.
            self.caller.sendall(b'GET /a HT')
        gevent.sleep(0.3)
        self.shell.callers.close_idle_connections()
        if end is not None:
            self.caller.settimeout(5)
            self.assertEqual(self.caller.recv(1), end)
            return
        rest = b'TP/1.1\r\n\r\n' if is_partial else b'GET /a HTTP/1.1\r\n\r\n'
        self.caller.sendall(rest)
        self.assertEqual(read_answer(self.caller)[0], 200)

    # Guards against a head that holds its connection without end, and against a
    # late request that is passed on although it was refused (REFUSED).
    def test_request_with_a_late_head_is_refused_and_not_passed_on(
        self,
    ) -> None:
        self.shell.callers.limit(
            effects.LimitCallers(idle_seconds=60, header_seconds=0.2)
        )
        self.caller.sendall(b'GET /a HTTP/1.1\r\n\r\n')
        read_answer(self.caller)
        self.caller.sendall(b'GET /a HT')
        gevent.sleep(0.3)
        self.shell.callers.close_idle_connections()
        self.caller.sendall(b'TP/1.1\r\n\r\n')
        status, head, _ = read_answer(self.caller)
        self.assertEqual(status, 408)
        self.assertIn(b'Connection: close', head)
        self.assertEqual(self.caller.recv(1), b'')
        self.assertEqual(len(self.shell.state.events_of(events.CallArrived)), 1)

    # Guards against a connection that a shorter limit closes although its
    # caller was told a longer one when the connection became idle (LOST).
    @params(b'', b'GET /a HT')
    def test_shorter_limits_spare_waiting_connections(
        self, first_part: bytes
    ) -> None:
        request = b'GET /a HTTP/1.1\r\n\r\n'
        self.caller.sendall(request)
        read_answer(self.caller)
        self.caller.sendall(first_part)
        gevent.sleep(0.1)
        self.shell.callers.limit(
            effects.LimitCallers(idle_seconds=0.01, header_seconds=0.01)
        )
        self.shell.callers.close_idle_connections()
        self.caller.sendall(request.removeprefix(first_part))
        self.assertEqual(read_answer(self.caller)[0], 200)

    def _send_as_the_idle_time_ends(self) -> None:
        """Let the request and the end of the idle time meet in one turn."""
        request = b'POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na'
        self.caller.sendall(request)
        read_answer(self.caller)
        close_idle = self.shell.callers.close_idle_connections
        gevent.spawn_later(0.01, close_idle, idle_seconds=-1)
        gevent.sleep(0)
        self.caller.sendall(request)
        # The event loop sees the input and the expired timer together.
        time.sleep(0.02)
