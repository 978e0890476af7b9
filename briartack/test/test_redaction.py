"""Tests of the redaction of recorded events.

A daemon outside the home regions of a request may keep neither payload nor
idempotency key of the request, not even in its trace.
"""

import unittest
from typing import Final

import msgspec
from nose2.tools import params

from briartack.core.effects import AnswerCall, Effects, SendAnswer
from briartack.core.events import CallArrived, Event, PeerMessageReceived
from briartack.core.messages import Answer
from briartack.core.redaction import REMOVED_PLACEHOLDER, redact_event
from briartack.core.units import CallId, Digest, InstanceId
from briartack.core.verdict import Verdict
from briartack.test.test_framing import ATTEMPT

SECRET: Final = 'secret-4711'
SECRET_CALL: Final = CallArrived(
    now=1,
    call_id=CallId('c1'),
    method='GET',
    target=f'/saldo/galapagos/1?note={SECRET}',
    headers=(('X-Note', SECRET),),
    tenant='galapagos-cruises',
    idempotency_key=SECRET,
)
PEER: Final = InstanceId('saldo-2')
SECRET_ATTEMPT: Final = PeerMessageReceived(
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


def refusal_effects(reason: str) -> Effects:
    """Return the effects that refuse a call and an attempt for a reason."""
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
    @params(SECRET_CALL, SECRET_ATTEMPT)
    def test_event_refused_by_placement_loses_its_secrets(
        self, event: Event
    ) -> None:
        """Guard against a trace with the query, headers, body or key."""
        kept = msgspec.json.encode(
            redact_event(event, refusal_effects('placement'))
        )
        self.assertNotIn(SECRET.encode(), kept)
        self.assertIn(b'/saldo/galapagos/1', kept)

    def test_digest_of_an_unknown_key_is_removed(self) -> None:
        """Guard against a trace from which a mistyped password is guessed."""
        call = msgspec.structs.replace(SECRET_CALL, key_digest=SECRET)
        kept = redact_event(call, refusal_effects('unknown-api-key'))
        assert isinstance(kept, CallArrived)
        self.assertEqual(kept.key_digest, REMOVED_PLACEHOLDER)
        self.assertIs(redact_event(call, refusal_effects('overload')), call)

    @params(SECRET_CALL, SECRET_ATTEMPT)
    def test_event_refused_for_other_reasons_is_unchanged(
        self, event: Event
    ) -> None:
        """Guard against traces that replay differently without need."""
        self.assertIs(redact_event(event, refusal_effects('overload')), event)
