"""Removes what may not be kept of a request that placement refused.

A daemon outside the home regions of a request keeps none of it, and that
includes the traces that it records. What is left replays with the same result.
"""

from typing import Final

import msgspec

from briartack.core.calls import reasons
from briartack.core.effects import AnswerCall, Effects, SendAnswer
from briartack.core.events import CallArrived, Event, PeerMessageReceived
from briartack.core.messages import Attempt

REMOVED: Final = 'removed'


def redacted(event: Event, effects: Effects) -> Event:
    """Return an event without payload and key if placement refused it."""
    if not any(map(_is_refused_by_placement, effects)):
        return event
    if isinstance(event, CallArrived):
        return msgspec.structs.replace(
            event,
            target=_path_of(event.target),
            headers=(),
            idempotency_key=_removed(event.idempotency_key),
        )
    if not isinstance(event, PeerMessageReceived):
        return event
    message = event.message
    if not isinstance(message, Attempt):
        return event
    kept = msgspec.structs.replace(
        message,
        target=_path_of(message.target),
        headers=(),
        body=b'',
        idempotency_key=_removed(message.idempotency_key),
    )
    return msgspec.structs.replace(event, message=kept)


def _is_refused_by_placement(effect: object) -> bool:
    if isinstance(effect, AnswerCall):
        return effect.reason == reasons.PLACEMENT.code
    if isinstance(effect, SendAnswer):
        return effect.answer.reason == reasons.PLACEMENT.code
    return False


def _path_of(target: str) -> str:
    return target.partition('?')[0]


def _removed(key: str) -> str:
    return REMOVED if key else ''
