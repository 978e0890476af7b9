"""Guards against payload and keys kept outside the home regions."""

import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.effects import AnswerCall, Effects, SendAnswer
from briartack.core.events import CallArrived, Event, PeerMessageReceived
from briartack.core.messages import Answer
from briartack.core.redaction import redact_event
from briartack.core.units import CallId, Digest, InstanceId
from briartack.core.verdict import Verdict
from briartack.test.test_framing import ATTEMPT

SECRET: Final = 'secret-4711'
CALL: Final = CallArrived(
    now=1,
    call_id=CallId('c1'),
    method='GET',
    target=f'/saldo/galapagos/1?note={SECRET}',
    headers=(('X-Note', SECRET),),
    tenant='galapagos-cruises',
    idempotency_key=SECRET,
)
PEER: Final = InstanceId('saldo-2')
RECEIVED: Final = PeerMessageReceived(
    now=1,
    peer=PEER,
    message=msgspec.structs.replace(
        ATTEMPT,
        target=f'/saldo/galapagos/1?note={SECRET}',
        headers=(('X-Note', SECRET),),
        body=SECRET.encode(),
        idempotency_key=SECRET,
    ),
)


def refused(reason: str) -> Effects:
    """Refuse a call and an attempt for a reason."""
    answer = Answer(
        attempt_id=ATTEMPT.attempt_id,
        verdict=Verdict.NOT_RUN,
        status=403,
        reason=reason,
        headers=(),
        body_bytes=0,
        body_digest=Digest(b''),
        load=0,
        owner_clock=0,
    )
    return [
        AnswerCall(
            call_id=CallId('c1'),
            verdict=Verdict.NOT_RUN,
            status=403,
            headers=(),
            reason=reason,
        ),
        SendAnswer(peer=PEER, answer=answer, body_id=None),
    ]


class RedactionTest(unittest.TestCase):
    @params(CALL, RECEIVED)
    def test_refused_by_placement(self, event: Event) -> None:
        kept = msgspec.json.encode(redact_event(event, refused('placement')))
        self.assertNotIn(SECRET.encode(), kept)
        self.assertIn(b'/saldo/galapagos/1', kept)

    @params(CALL, RECEIVED)
    def test_other_refusals_replay_in_full(self, event: Event) -> None:
        self.assertIs(redact_event(event, refused('overload')), event)
