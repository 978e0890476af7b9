"""Requests to the local upstream, its answers and its health."""

from http import HTTPStatus
from typing import Final, final

from briartack.core.calls.call_headers import OWN_PREFIX
from briartack.core.effects import Dispatch
from briartack.core.events import UpstreamProbed
from briartack.dialects import UpstreamResult
from briartack.headers import end_to_end, first_value
from briartack.http_answer import HttpAnswer
from briartack.own_dialects import encode_probe, encode_request
from briartack.platform.names import (
    ATTEMPT_ID,
    COLD_MS,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    LOAD,
    NOT_EXECUTED,
    SEAL,
)

_MILLISECONDS: Final = 1000
_ATTEMPT_ID_LOWER: Final = ATTEMPT_ID.lower()
_FIRST_FAILURE: Final = 300
# Statuses that promise that a request has not run. From an upstream they are
# only true beside NOT_EXECUTED.
_PROMISES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_HIDDEN: Final = frozenset(
    name.lower() for name in (LOAD, INSTANCE_ID, COLD_MS, NOT_EXECUTED)
)


@final
class PlatformUpstreamDialect:
    """Encode requests and decode answers."""

    __slots__ = ()

    def request(self, effect: Dispatch, body: bytes, host: str) -> bytes:
        """Encode the request of an attempt."""
        kept = (
            pair
            for pair in effect.headers
            if not pair[0].lower().startswith(OWN_PREFIX)
        )
        remaining_ms = max(1, int(effect.timeout_seconds * _MILLISECONDS))
        headers = (
            *kept,
            (DEADLINE_MS, str(remaining_ms)),
            (EXPECT_INSTANCE, effect.expected_identity),
        )
        return encode_request(effect, headers, body, host)

    def is_answer_to(self, effect: Dispatch, answer: HttpAnswer) -> bool:
        """Tell whether an answer belongs to the request of an attempt."""
        return answer.text(ATTEMPT_ID) in {'', _attempt_id(effect)}

    def result(self, effect: Dispatch, answer: HttpAnswer) -> UpstreamResult:
        """Decode a whole answer."""
        status = answer.get_code()
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return UpstreamResult(
                failure='another upstream has the address',
                has_run=False,
                identity=answer.text(INSTANCE_ID),
            )
        if answer.text(NOT_EXECUTED) and status >= _FIRST_FAILURE:
            return UpstreamResult(failure='refused', has_run=False)
        flaw = _flaw(effect, answer, status)
        if flaw:
            return UpstreamResult(failure=flaw)
        return UpstreamResult(
            headers=tuple(
                pair
                for pair in end_to_end(answer.header_pairs)
                if pair[0].lower() not in _HIDDEN
            ),
        )

    def probe(self, path: str, host: str) -> bytes:
        """Encode a probe."""
        return encode_probe(path, host)

    def probed(self, now: float, answer: HttpAnswer | None) -> UpstreamProbed:
        """Decode the answer to a probe, if there is one."""
        if answer is None:
            return UpstreamProbed(
                now=now,
                is_healthy=False,
                is_draining=False,
                identity='',
                reported_load=None,
            )
        return UpstreamProbed(
            now=now,
            is_healthy=answer.get_code() == HTTPStatus.OK,
            is_draining=False,
            identity=answer.text(INSTANCE_ID),
            # All requests come through this daemon, whose own count is exact.
            reported_load=None,
            cold_seconds=_seconds(answer.text(COLD_MS)),
        )


def _attempt_id(effect: Dispatch) -> str:
    return first_value(effect.headers, _ATTEMPT_ID_LOWER) or ''


def _flaw(effect: Dispatch, answer: HttpAnswer, status: int) -> str:
    """Say why an answer is not the upstream's own, if it is not."""
    if status in _PROMISES:
        return f'status {status} without {NOT_EXECUTED}'
    if answer.text('content-encoding'):
        return 'the body is encoded'
    if status >= _FIRST_FAILURE:
        return ''
    if not answer.text(SEAL):
        return f'success without {SEAL}'
    if answer.text(ATTEMPT_ID) != _attempt_id(effect):
        return f'success without the {ATTEMPT_ID} of the request'
    return ''


def _seconds(milliseconds: str) -> float:
    try:
        return max(0.0, float(milliseconds) / _MILLISECONDS)
    except ValueError:
        # A warm upstream says nothing.
        return 0.0
