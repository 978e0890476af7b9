"""Names under which the shell holds bodies for the core."""

from briartack.core.units import AttemptId, BodyId, CallId


def call_body(call_id: CallId) -> BodyId:
    """Name the body of a caller's request."""
    return BodyId(f'call:{call_id}')


def attempt_body(attempt_id: AttemptId) -> BodyId:
    """Name the body of a peer's attempt."""
    return BodyId(f'attempt:{attempt_id}')


def answer_body(attempt_id: AttemptId) -> BodyId:
    """Name the body of an answer, from the upstream or from a peer."""
    return BodyId(f'answer:{attempt_id}')
