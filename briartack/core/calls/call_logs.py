"""Log lines about single requests, for later diagnosis.

Each line names the request, the decision, and the inputs of the decision with
their age or version. The shell limits the number of lines that are written.
"""

from typing import Final

from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_table import Call
from briartack.core.calls.endpoints import Endpoint
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.effects import LogLevel, WriteLog
from briartack.core.events import CallArrived
from briartack.core.messages import Attempt
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    InstanceId,
    format_revision,
)
from briartack.core.verdict import Verdict

CALL_REFUSED: Final = 'call-refused'
ATTEMPT_SENT: Final = 'attempt-sent'
ATTEMPT_FAILED: Final = 'attempt-failed'
CALL_ENDED: Final = 'call-ended'
RUN_ENDED: Final = 'run-ended'
# The shell limits the rate of lines with these codes under load.
REQUEST_LOG_CODES: Final = frozenset(
    (CALL_REFUSED, ATTEMPT_SENT, ATTEMPT_FAILED, CALL_ENDED, RUN_ENDED),
)
# Replaces the load figures of attempts at the local upstream.
_LOCAL_VALUE: Final = 'local'


def log_call_refused(
    context: CallContext, event: CallArrived, reason: str
) -> WriteLog:
    """Log that a call was refused before any attempt, and the reason."""
    return _build_line(
        CALL_REFUSED,
        request=event.request_id,
        call=event.call_id,
        reason=reason,
        configuration=_format_revision(context),
        method=event.method,
        host=event.host,
    )


def log_attempt_sent(
    context: CallContext,
    now: float,
    call: Call,
    peer: InstanceId,
    endpoint: Endpoint | None,
) -> WriteLog:
    """Log the peer of an attempt and the load figures behind the choice."""
    load, run_ms, age_ms = _LOCAL_VALUE, _LOCAL_VALUE, '0'
    if endpoint is not None:
        load = f'{endpoint.load:.2f}'
        run_ms = _format_milliseconds(endpoint.run_time.recent_mean(now) or 0)
        age_ms = _format_milliseconds(now - endpoint.load_reported_at)
    return _build_line(
        ATTEMPT_SENT,
        request=call.event.request_id,
        call=call.event.call_id,
        attempt=str(call.attempt_id),
        route=call.route.name,
        configuration=_format_revision(context),
        service=call.share.service,
        peer=peer,
        load=load,
        run_ms=run_ms,
        load_age_ms=age_ms,
        rank=str(call.rank),
        of_run=str(call.is_from_local_run),
        number=str(call.attempts),
        left_ms=_format_milliseconds(call.deadline - now),
    )


def log_attempt_failed(
    call: Call,
    peer: InstanceId,
    *,
    verdict: Verdict,
    reason: str,
) -> WriteLog:
    """Log the verdict and reason of an attempt without an answer."""
    return _build_line(
        ATTEMPT_FAILED,
        request=call.event.request_id,
        call=call.event.call_id,
        peer=peer,
        verdict=verdict.value,
        reason=reason,
    )


def log_call_ended(
    now: float,
    call: Call,
    *,
    verdict: Verdict,
    status: int,
    reason: str,
) -> WriteLog:
    """Log the answer that a caller was sent."""
    return _build_line(
        CALL_ENDED,
        request=call.event.request_id,
        call=call.event.call_id,
        route=call.route.name,
        verdict=verdict.value,
        status=str(status),
        reason=reason,
        attempts=str(call.attempts),
        free_refusals=str(call.free_refusals),
        took_ms=_format_milliseconds(now - call.event.now),
    )


def log_run_ended(
    now: float,
    attempt: Attempt,
    upstream: LocalUpstream,
    *,
    outcome: str,
    phase: str,
    left_seconds: float,
    wait_seconds: float,
    body_seconds: tuple[float, float] | None = None,
) -> WriteLog:
    """Log how an attempt ended at its owner.

    `wait_seconds` is the time from the arrival of the attempt to the start of
    its run, or to its refusal. `body_seconds` is how long a body waited for its
    grant, and how long it then took to arrive.
    """
    body_fields = {}
    if body_seconds is not None:
        waited_seconds, arriving_seconds = body_seconds
        body_fields = {
            'body_bytes': str(attempt.body_bytes),
            'body_wait_ms': _format_milliseconds(waited_seconds),
            'body_ms': _format_milliseconds(arriving_seconds),
        }
    return _build_line(
        RUN_ENDED,
        request=attempt.request_id,
        attempt=attempt.attempt_id,
        upstream=upstream.health.identity,
        outcome=outcome,
        phase=phase,
        running=str(upstream.running),
        limit=str(upstream.limit),
        left_ms=_format_milliseconds(left_seconds),
        wait_ms=_format_milliseconds(wait_seconds),
        slowdown=f'{upstream.times.slowdown(now):.2f}',
        **body_fields,
    )


def _format_revision(context: CallContext) -> str:
    snapshot = context.snapshot
    return '' if snapshot is None else format_revision(snapshot.highest)


def _format_milliseconds(seconds: float) -> str:
    return f'{seconds * MILLISECONDS_PER_SECOND:.0f}'


def _build_line(code: str, **fields: str) -> WriteLog:
    return WriteLog(
        level=LogLevel.INFO,
        code=code,
        fields=tuple(fields.items()),
    )
