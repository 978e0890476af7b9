"""Guards against bytes that belong to another request, or to none."""

import unittest

from geventhttpclient.response import HTTPParseError
from nose2.tools import params

from briartack.http_response import CollectedResponse

ANSWER = b'HTTP/1.1 %b\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\n%b'
OWN = ANSWER % (b'200 OK', b'own', b'ok')
OTHER = ANSWER % (b'200 OK', b'other', b'no')
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


def answer() -> CollectedResponse:
    """Expect the answer with the own id."""
    return CollectedResponse(
        method='GET',
        max_body_bytes=100,
        is_expected=lambda one: one.get_single_value('X-Id') == 'own',
    )


class HttpAnswerTest(unittest.TestCase):
    @params(
        (OWN,),
        (INTERIM, OWN),
        (OTHER, OWN),
        (OTHER + OWN,),
        (OTHER[:20], OTHER[20:] + OWN[:9], OWN[9:]),
    )
    def test_own_answer_is_found(self, *parts: bytes) -> None:
        found = answer()
        for part in parts:
            found.feed(part)
        self.assertTrue(found.is_complete)
        self.assertEqual(
            (found.body, found.get_single_value('X-Id')), (b'ok', 'own')
        )

    @params(OTHER, OWN, b'garbage')
    def test_what_follows_changes_nothing(self, extra: bytes) -> None:
        """Guards against a second answer that replaces the first."""
        found = answer()
        with self.assertRaises(HTTPParseError):
            found.feed(OWN + extra)
        self.assertTrue(found.is_complete)
        self.assertEqual(
            (found.body, found.get_single_value('X-Id')), (b'ok', 'own')
        )
        self.assertTrue(found.should_close())

    def test_only_foreign_answers(self) -> None:
        found = answer()
        found.feed(OTHER + OTHER)
        self.assertFalse(found.is_complete)
        found.feed(OWN)
        self.assertEqual(found.body, b'ok')
