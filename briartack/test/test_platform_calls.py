"""Requests and answers in the platform's dialect."""

import io
import unittest
from typing import Final

from nose2.tools import params

from briartack.caller_headers import RequestError, RequestHeaders
from briartack.core.effects import AnswerCall, Dispatch
from briartack.core.units import AttemptId, BodyId, CallId
from briartack.core.verdict import Verdict
from briartack.http_response import CollectedResponse
from briartack.platform.callers import PlatformCallerDialect
from briartack.platform.upstream import PlatformUpstreamDialect
from briartack.request_head import RequestHead

CALLERS: Final = PlatformCallerDialect(service='huvo')
UPSTREAM: Final = PlatformUpstreamDialect()
DISPATCH: Final = Dispatch(
    attempt_id=AttemptId('a'),
    body_id=BodyId('b'),
    method='POST',
    target='/a/1',
    headers=(
        ('Host', 'h.example'),
        ('X-Attempt-Id', '9c41'),
        ('X-Caller-Service', 'huvo'),
        ('Briartack-Attempt', 'a'),
    ),
    timeout_seconds=1.25,
    expected_identity='i-7',
)
SEALED: Final = 'X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n'


def head_of(text: str) -> RequestHead:
    """Decode a head whose request line has been read."""
    stream = io.BytesIO(f'{text}\r\n'.encode())
    return CALLERS.decode_head(
        method='GET',
        target='/a/1?q',
        headers=RequestHeaders(stream),
        body_bytes=0,
    )


def answered(status: str, headers: str, body: str = 'ok') -> CollectedResponse:
    """Parse a whole answer of an upstream."""
    answer = CollectedResponse(method='POST', max_body_bytes=100)
    text = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n'
    answer.feed(f'{text}\r\n{body}'.encode())
    return answer


def refusal(verdict: Verdict, status: int, reason: str = 'overload') -> bytes:
    """Encode a refusal."""
    effect = AnswerCall(
        call_id=CallId('c'),
        verdict=verdict,
        status=status,
        headers=(),
        reason=reason,
        retry_after_seconds=0.125,
    )
    return CALLERS.encode_answer(effect, body=b'', method='GET', connection='')


class CallersDialectTest(unittest.TestCase):
    def test_head(self) -> None:
        head = head_of(
            'Host: h.example:80\r\nX-Attempt-Id: 9c41\r\n'
            'X-Deadline-Ms: 1500\r\nX-Expect-Instance: forged\r\n'
            'X-Caller-Service: forged\r\nX-Own: 1\r\n',
        )
        self.assertEqual((head.host, head.request_id), ('h.example', '9c41'))
        self.assertEqual(head.parent_id, '')
        self.assertEqual(head.deadline_ms, 1500)
        self.assertEqual(
            head.headers,
            (
                ('Host', 'h.example:80'),
                ('X-Attempt-Id', '9c41'),
                ('X-Own', '1'),
                ('X-Caller-Service', 'huvo'),
            ),
        )

    @params(('9c41.77', '9c41'), ('9c41', ''), ('a.b.c', 'a.b'))
    def test_id_of_a_call_of_a_run(self, request_id: str, run: str) -> None:
        head = head_of(f'X-Attempt-Id: {request_id}\r\n')
        self.assertEqual((head.request_id, head.parent_id), (request_id, run))

    @params('soon', '-1', 'nan', 'inf')
    def test_malformed_deadline(self, text: str) -> None:
        with self.assertRaises(RequestError):
            head_of(f'X-Deadline-Ms: {text}\r\n')

    @params(
        (Verdict.NOT_RUN, 503, 503, True),
        (Verdict.NOT_RUN, 504, 503, True),
        (Verdict.NOT_RUN, 403, 503, True),
        (Verdict.NOT_RUN, 502, 503, True),
        (Verdict.NOT_RUN, 404, 404, False),
        (Verdict.NOT_RUN, 413, 413, False),
        (Verdict.UNKNOWN, 503, 502, False),
        (Verdict.UNKNOWN, 502, 502, False),
        (Verdict.UNKNOWN, 504, 504, False),
        (Verdict.UNKNOWN, 404, 502, False),
    )
    def test_statuses_promise_what_is_true(
        self,
        verdict: Verdict,
        status: int,
        sent: int,
        may_return: bool,
    ) -> None:
        """Guards against a promise that a request has not run."""
        whole = refusal(verdict, status)
        self.assertTrue(whole.startswith(b'HTTP/1.1 %d ' % sent))
        self.assertIs(b'Retry-After: 0.125\r\n' in whole, may_return)

    def test_answer_is_passed_on(self) -> None:
        effect = AnswerCall(
            call_id=CallId('c'),
            verdict=Verdict.RAN,
            status=500,
            headers=(('X-Server-Seal', 's'),),
            reason='',
        )
        whole = CALLERS.encode_answer(
            effect,
            body=b'abc',
            method='GET',
            connection='close',
        )
        self.assertEqual(
            whole,
            b'HTTP/1.1 500 Internal Server Error\r\nX-Server-Seal: s\r\n'
            b'Connection: close\r\nContent-Length: 3\r\n\r\nabc',
        )


class UpstreamDialectTest(unittest.TestCase):
    def test_request(self) -> None:
        self.assertEqual(
            UPSTREAM.encode_request(DISPATCH, b'xy', 'unused'),
            b'POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c41\r\n'
            b'X-Caller-Service: huvo\r\nX-Deadline-Ms: 1250\r\n'
            b'X-Expect-Instance: i-7\r\nContent-Length: 2\r\n\r\nxy',
        )

    @params(
        ('200 OK', SEALED, '', True),
        ('500 Error', SEALED, '', True),
        ('404 Not Found', '', '', True),
        ('200 OK', 'X-Attempt-Id: 9c41\r\n', 'X-Server-Seal', True),
        ('200 OK', 'X-Server-Seal: s\r\n', 'X-Attempt-Id', True),
        ('200 OK', f'{SEALED}Content-Encoding: gzip\r\n', 'encoded', True),
        ('503 Busy', SEALED, 'without', True),
        ('429 Busy', SEALED, 'without', True),
        ('408 Slow', SEALED, 'without', True),
        ('503 Busy', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('429 Busy', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('400 Bad', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('421 Other', 'X-Instance-Id: i-8\r\n', 'another upstream', False),
    )
    def test_result(
        self,
        status: str,
        headers: str,
        failure: str,
        has_run: bool,
    ) -> None:
        """Guards against foreign bytes, and false words that none ran."""
        result = UPSTREAM.decode_result(DISPATCH, answered(status, headers))
        self.assertIn(failure, result.failure)
        self.assertIs(bool(result.failure), bool(failure))
        self.assertIs(result.has_run, has_run)

    def test_replaced_upstream_names_itself(self) -> None:
        answer = answered('421 Other', 'X-Instance-Id: i-8\r\n')
        self.assertEqual(
            UPSTREAM.decode_result(DISPATCH, answer).identity, 'i-8'
        )

    @params(('9c41', True), ('other', False))
    def test_answer_to_another_request(
        self,
        attempt_id: str,
        is_expected: bool,
    ) -> None:
        answer = answered('200 OK', f'X-Attempt-Id: {attempt_id}\r\n')
        self.assertIs(UPSTREAM.is_response_to(DISPATCH, answer), is_expected)

    @params(
        ('200 OK', 'X-Server-Load: 3,6,18\r\n', True, None, 0),
        ('200 OK', 'X-Cold-Ms: 1500\r\n', True, None, 1.5),
        ('503 Draining', 'X-Server-Load: ?\r\n', False, None, 0),
    )
    def test_probe(
        self,
        status: str,
        headers: str,
        is_healthy: bool,
        load: float | None,
        cold_seconds: float,
    ) -> None:
        answer = answered(status, f'X-Instance-Id: i-7\r\n{headers}')
        probed = UPSTREAM.decode_probe(3, answer)
        self.assertEqual(
            (probed.is_healthy, probed.reported_load, probed.cold_seconds),
            (is_healthy, load, cold_seconds),
        )
        self.assertEqual(probed.identity, 'i-7')

    def test_probe_without_answer(self) -> None:
        self.assertIs(UPSTREAM.decode_probe(3, None).is_healthy, False)
