"""Identifiers of the request and answer bodies that the shell stores.

The core refers to bodies by these identifiers and never holds the bytes.
"""

from briartack.core.units import AttemptId, BodyId, CallId


def call_body_id(call_id: CallId) -> BodyId:
    """Return the identifier of the body of a caller's request."""
    return BodyId(f'call:{call_id}')


def attempt_body_id(attempt_id: AttemptId) -> BodyId:
    """Return the identifier of the body of a peer's attempt."""
    return BodyId(f'attempt:{attempt_id}')


def answer_body_id(attempt_id: AttemptId) -> BodyId:
    """Return the identifier of an answer body, from upstream or peer."""
    return BodyId(f'answer:{attempt_id}')
