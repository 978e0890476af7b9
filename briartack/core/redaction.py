"""Redaction of recorded requests that placement refused.

A daemon outside the home regions of a request must not keep the query, the
headers, the body or the idempotency key of the request, not even in the traces
that the daemon records. API keys arrive as digests; the digest of an unknown
key is removed too, since the caller may have sent something that is easy to
guess. Replaying the redacted event gives the same result.
"""

from typing import Final

import msgspec

from briartack.core.calls import reasons
from briartack.core.effects import AnswerCall, Effects, SendAnswer
from briartack.core.events import CallArrived, Event, PeerMessageReceived
from briartack.core.messages import Attempt

REMOVED_PLACEHOLDER: Final = 'removed'


def redact_event(event: Event, effects: Effects) -> Event:
    """Return the event, without payload and key if placement refused it."""
    if isinstance(event, CallArrived) and _is_refused_for_key(effects):
        return msgspec.structs.replace(event, key_digest=REMOVED_PLACEHOLDER)
    if not any(map(_is_refused_by_placement, effects)):
        return event
    if isinstance(event, CallArrived):
        return msgspec.structs.replace(
            event,
            target=_strip_query(event.target),
            headers=(),
            idempotency_key=_redact_key(event.idempotency_key),
        )
    if not isinstance(event, PeerMessageReceived):
        return event
    message = event.message
    if not isinstance(message, Attempt):
        return event
    kept = msgspec.structs.replace(
        message,
        target=_strip_query(message.target),
        headers=(),
        body=b'',
        idempotency_key=_redact_key(message.idempotency_key),
    )
    return msgspec.structs.replace(event, message=kept)


def _is_refused_by_placement(effect: object) -> bool:
    if isinstance(effect, AnswerCall):
        return effect.reason == reasons.PLACEMENT.code
    if isinstance(effect, SendAnswer):
        return effect.answer.reason == reasons.PLACEMENT.code
    return False


def _is_refused_for_key(effects: Effects) -> bool:
    return any(
        isinstance(effect, AnswerCall)
        and effect.reason == reasons.UNKNOWN_KEY.code
        for effect in effects
    )


def _strip_query(target: str) -> str:
    return target.partition('?')[0]


def _redact_key(key: str) -> str:
    return REMOVED_PLACEHOLDER if key else ''
