"""Tests of requests and answers in the platform's dialect."""

import io
import unittest
from typing import Final

from nose2.tools import params

from briartack.caller_headers import RequestError, RequestHeaders
from briartack.core.effects import AnswerCall, Dispatch
from briartack.core.events import LoadReport
from briartack.core.units import AttemptId, BodyId, CallId
from briartack.core.verdict import Verdict
from briartack.http_response import CollectedResponse
from briartack.platform.callers import PlatformCallerDialect
from briartack.platform.upstream import PlatformUpstreamDialect
from briartack.request_head import RequestHead

CALLER_DIALECT: Final = PlatformCallerDialect(service='huvo')
UPSTREAM_DIALECT: Final = PlatformUpstreamDialect()
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
SEALED_HEADERS: Final = 'X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n'


def decode_head(text: str) -> RequestHead:
    """Decode the header lines of a GET request."""
    stream = io.BytesIO(f'{text}\r\n'.encode())
    return CALLER_DIALECT.decode_head(
        method='GET',
        target='/a/1?q',
        headers=RequestHeaders(stream),
        body_bytes=0,
    )


def parse_answer(
    status: str, headers: str, body: str = 'ok'
) -> CollectedResponse:
    """Parse a encoded answer of an upstream."""
    answer = CollectedResponse(method='POST', max_body_bytes=100)
    text = f'HTTP/1.1 {status}\r\n{headers}Content-Length: {len(body)}\r\n'
    answer.feed(f'{text}\r\n{body}'.encode())
    return answer


def encode_refusal(
    verdict: Verdict,
    status: int,
    reason: str = 'overload',
) -> bytes:
    """Encode the refusal of a call."""
    effect = AnswerCall(
        call_id=CallId('c'),
        verdict=verdict,
        status=status,
        headers=(),
        reason=reason,
        retry_after_seconds=0.125,
    )
    return CALLER_DIALECT.encode_answer(
        effect, body=b'', method='GET', connection=''
    )


class CallerDialectTest(unittest.TestCase):
    def test_head_is_decoded_without_forged_headers(self) -> None:
        """Guard against headers that a caller forges.

        Only the daemon may state the calling service and the expected instance.
        """
        head = decode_head(
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
    def test_request_id_names_the_parent_call(
        self, request_id: str, parent_id: str
    ) -> None:
        """Guard against nested calls that are not recognised as such."""
        head = decode_head(f'X-Attempt-Id: {request_id}\r\n')
        self.assertEqual(
            (head.request_id, head.parent_id), (request_id, parent_id)
        )

    @params('soon', '-1', 'nan', 'inf')
    def test_malformed_deadline_raises(self, text: str) -> None:
        """Guard against a call without a deadline because of a bad header."""
        with self.assertRaises(RequestError):
            decode_head(f'X-Deadline-Ms: {text}\r\n')

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
    def test_status_promises_not_run_only_if_true(
        self,
        verdict: Verdict,
        status: int,
        sent: int,
        may_retry: bool,
    ) -> None:
        """Guard against a false promise that a request has not run.

        Callers take 503 and Retry-After to mean that they may send the request
        again. Each row states verdict, status, sent status, and Retry-After.
        """
        encoded = encode_refusal(verdict, status)
        self.assertTrue(encoded.startswith(b'HTTP/1.1 %d ' % sent))
        self.assertIs(b'Retry-After: 0.125\r\n' in encoded, may_retry)

    def test_answer_of_upstream_is_passed_on(self) -> None:
        """Guard against a changed status, header or body of an answer."""
        effect = AnswerCall(
            call_id=CallId('c'),
            verdict=Verdict.RAN,
            status=500,
            headers=(('X-Server-Seal', 's'),),
            reason='',
        )
        encoded = CALLER_DIALECT.encode_answer(
            effect,
            body=b'abc',
            method='GET',
            connection='close',
        )
        self.assertEqual(
            encoded,
            b'HTTP/1.1 500 Internal Server Error\r\nX-Server-Seal: s\r\n'
            b'Connection: close\r\nContent-Length: 3\r\n\r\nabc',
        )


class UpstreamDialectTest(unittest.TestCase):
    def test_request_has_the_attempts_headers(self) -> None:
        """Guard against a request that states a wrong deadline or instance.

        Headers between daemons must not reach the upstream.
        """
        self.assertEqual(
            UPSTREAM_DIALECT.encode_request_head(DISPATCH, 2, 'unused'),
            b'POST /a/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c41\r\n'
            b'X-Caller-Service: huvo\r\nX-Deadline-Ms: 1250\r\n'
            b'X-Expect-Instance: i-7\r\nContent-Length: 2\r\n\r\n',
        )

    @params(
        ('200 OK', SEALED_HEADERS, '', True),
        ('500 Error', SEALED_HEADERS, '', True),
        ('404 Not Found', '', '', True),
        ('200 OK', 'X-Attempt-Id: 9c41\r\n', 'X-Server-Seal', True),
        ('200 OK', 'X-Server-Seal: s\r\n', 'X-Attempt-Id', True),
        (
            '200 OK',
            f'{SEALED_HEADERS}Content-Encoding: gzip\r\n',
            'encoded',
            True,
        ),
        ('503 Busy', SEALED_HEADERS, 'without', True),
        ('429 Busy', SEALED_HEADERS, 'without', True),
        ('408 Slow', SEALED_HEADERS, 'without', True),
        ('503 Busy', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('429 Busy', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('400 Bad', 'X-Not-Executed: 1\r\n', 'refused', False),
        ('421 Other', 'X-Instance-Id: i-8\r\n', 'another upstream', False),
    )
    def test_result_of_each_answer(
        self,
        status: str,
        headers: str,
        failure: str,
        has_run: bool,
    ) -> None:
        """Guard against another request's answer, and a false "not run".

        Each row states status, headers, part of the failure, and whether the
        request has run.
        """
        result = UPSTREAM_DIALECT.decode_result(
            DISPATCH, parse_answer(status, headers)
        )
        self.assertIn(failure, result.failure)
        self.assertIs(bool(result.failure), bool(failure))
        self.assertIs(result.has_run, has_run)

    def test_answer_of_replaced_upstream_states_its_identity(self) -> None:
        """Guard against requests that keep the identity before a restart."""
        answer = parse_answer('421 Other', 'X-Instance-Id: i-8\r\n')
        self.assertEqual(
            UPSTREAM_DIALECT.decode_result(DISPATCH, answer).identity, 'i-8'
        )

    @params(('9c41', True), ('other', False))
    def test_answer_is_matched_by_its_attempt_id(
        self,
        attempt_id: str,
        is_expected: bool,
    ) -> None:
        """Guard against the answer to another request on the connection."""
        answer = parse_answer('200 OK', f'X-Attempt-Id: {attempt_id}\r\n')
        named = UPSTREAM_DIALECT.identify_response(answer)
        own = UPSTREAM_DIALECT.identify_request(DISPATCH)
        self.assertIs(named == own, is_expected)

    # Guards against a load that is misread, and a malformed one that counts.
    @params(
        ('3,6,18', LoadReport(running=3, waiting=6, slots=18)),
        ('3,0,3,250', LoadReport(running=3, waiting=0, slots=3, slowdown=2.5)),
        (
            '999999999,0,0,0',
            LoadReport(running=999_999_999, waiting=0, slots=0, slowdown=0),
        ),
        ('', None),
        ('3,6', None),
        ('3,6,18,100,1', None),
        ('3,6,18,', None),
        ('3, 6, 18', None),
        ('-3,6,18', None),
        ('3,6,18,1e2', None),
        ('3,6,18,1.5', None),
        ('1234567890,6,18', None),
        ('\u0663,6,18', None),
        ('1,2,3\r\nX-Server-Load: 1,2,3', None),
    )
    def test_load_is_decoded_from_answers_refusals_and_probes(
        self, text: str, expected: LoadReport | None
    ) -> None:
        """Check that a malformed statement is ignored and reported."""
        line = f'X-Server-Load: {text}\r\n'
        refusal = f'{line}X-Not-Executed: 1\r\n'
        decoded = (
            UPSTREAM_DIALECT.decode_result(
                DISPATCH, parse_answer('200 OK', f'{SEALED_HEADERS}{line}')
            ),
            UPSTREAM_DIALECT.decode_result(
                DISPATCH, parse_answer('503 Full', refusal)
            ),
            UPSTREAM_DIALECT.decode_probe(3, parse_answer('200 OK', line)),
        )
        for found in decoded:
            self.assertEqual(found.load_report, expected)
            self.assertIs(bool(found.refused_load), expected is None)

    def test_missing_load_is_no_malformed_one(self) -> None:
        """Guard against log lines on upstreams that state no load."""
        found = UPSTREAM_DIALECT.decode_result(
            DISPATCH, parse_answer('200 OK', SEALED_HEADERS)
        )
        self.assertEqual((found.load_report, found.refused_load), (None, ''))

    @params(
        ('200 OK', 'X-Server-Load: 3,6,18\r\n', True, None, 0),
        ('200 OK', 'X-Cold-Ms: 1500\r\n', True, None, 1.5),
        # An upstream that says no finite time must not stay cold for good.
        ('200 OK', 'X-Cold-Ms: inf\r\n', True, None, 0),
        ('200 OK', 'X-Cold-Ms: 1e400\r\n', True, None, 0),
        ('200 OK', 'X-Cold-Ms: nan\r\n', True, None, 0),
        ('503 Draining', 'X-Server-Load: ?\r\n', False, None, 0),
    )
    def test_probe_reports_health_load_and_cold_time(
        self,
        status: str,
        headers: str,
        is_healthy: bool,
        load: float | None,
        cold_seconds: float,
    ) -> None:
        """Guard against full load on a cold or draining upstream."""
        answer = parse_answer(status, f'X-Instance-Id: i-7\r\n{headers}')
        probed = UPSTREAM_DIALECT.decode_probe(3, answer)
        self.assertEqual(
            (probed.is_healthy, probed.reported_load, probed.cold_seconds),
            (is_healthy, load, cold_seconds),
        )
        self.assertEqual(probed.identity, 'i-7')

    def test_probe_without_answer_is_unhealthy(self) -> None:
        """Guard against an unreachable upstream that counts as healthy."""
        self.assertIs(UPSTREAM_DIALECT.decode_probe(3, None).is_healthy, False)
