"""Tests of the parser of an upstream's HTTP answer.

They guard against an answer that contains bytes of another request's answer,
or bytes that follow the answer.
"""

import contextlib
import unittest

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from briartack.http_response import CollectedResponse

ANSWER = b'HTTP/1.1 %b\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\n%b'
EXPECTED = ANSWER % (b'200 OK', b'own', b'ok')
UNEXPECTED = ANSWER % (b'200 OK', b'other', b'no')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


def new_answer() -> CollectedResponse:
    """Return a parser that accepts only the answer with the id `own`."""
    return CollectedResponse(
        method='GET',
        max_body_bytes=100,
        request_id='own',
        identify_response=lambda head: head.get_single_value('X-Id'),
    )


class HttpAnswerTest(unittest.TestCase):
    @params(
        (EXPECTED,),
        (INTERIM, EXPECTED),
        (UNEXPECTED, EXPECTED),
        (UNEXPECTED + EXPECTED,),
        (UNEXPECTED[:20], UNEXPECTED[20:] + EXPECTED[:9], EXPECTED[9:]),
    )
    def test_expected_answer_is_found_in_any_split(self, *parts: bytes) -> None:
        """Guard against an answer that depends on how the bytes are split."""
        parsed = new_answer()
        for part in parts:
            parsed.feed(part)
        self.assertTrue(parsed.is_complete)
        self.assertEqual(
            (parsed.body, parsed.get_single_value('X-Id')), (b'ok', 'own')
        )

    @params(UNEXPECTED, EXPECTED, b'garbage')
    def test_bytes_after_the_answer_raise_and_change_nothing(
        self, extra: bytes
    ) -> None:
        """Guard against a second answer that replaces the first."""
        parsed = new_answer()
        with self.assertRaises(HTTPParseError):
            parsed.feed(EXPECTED + extra)
        self.assertTrue(parsed.is_complete)
        self.assertEqual(
            (parsed.body, parsed.get_single_value('X-Id')), (b'ok', 'own')
        )
        self.assertTrue(parsed.should_close())

    # Guards against an upstream that stops within the head of its answer, which
    # callers would get as a whole answer with an empty body (MIXED, ORDER).
    @params(
        b'Content-Length: 2\r\n\r\nok',
        b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
        # The end of the connection ends the body, but not the head.
        b'Connection: close\r\n\r\n',
    )
    def test_answer_that_ends_early_is_never_complete(
        self, rest: bytes
    ) -> None:
        whole = b'HTTP/1.1 200 OK\r\nX-Id: own\r\nX-Server-Seal: s\r\n%b' % rest
        for length, _ in enumerate(whole):
            parsed = new_answer()
            with contextlib.suppress(HTTPParseError):
                parsed.feed(whole[:length])
                parsed.feed(b'')
            self.assertFalse(parsed.is_complete, whole[:length])

    def test_unexpected_answers_are_skipped(self) -> None:
        """Guard against the answer to an earlier request on the connection."""
        parsed = new_answer()
        parsed.feed(UNEXPECTED + UNEXPECTED)
        self.assertFalse(parsed.is_complete)
        parsed.feed(EXPECTED)
        self.assertEqual(parsed.body, b'ok')
