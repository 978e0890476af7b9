"""Implement the platform's upstream dialect."""

import math
import re
from http import HTTPStatus
from typing import Final, final

from briartack.core.calls.call_headers import OWN_HEADER_PREFIX
from briartack.core.effects import Dispatch
from briartack.core.events import LoadReport, UpstreamProbed
from briartack.core.units import MILLISECONDS_PER_SECOND
from briartack.dialects import UpstreamResult
from briartack.headers import find_header, select_end_to_end
from briartack.http_response import CollectedResponse
from briartack.native_dialects import encode_probe, encode_request_head
from briartack.platform.names import (
    ATTEMPT_ID,
    COLD_MS,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    INSTANCE_ID,
    LEAVING,
    LIMIT,
    LOAD,
    NOT_EXECUTED,
    SEAL,
)

_ATTEMPT_ID_LOWER: Final = ATTEMPT_ID.lower()
_FIRST_NON_SUCCESS_STATUS: Final = 300
# Statuses that guarantee that a request has not run. A response of an upstream
# gives that guarantee only with the header NOT_EXECUTED.
_NOT_RUN_STATUSES: Final = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
# Running, waiting, slots and, if stated, how long work takes in percent.
_LOAD_FIGURES: Final = re.compile('[0-9]{1,9}(?:,[0-9]{1,9}){2,3}')
_PERCENT: Final = 100
# Part of a malformed header that a log line shows.
_SHOWN_CHARACTERS: Final = 80
_INTERNAL_HEADERS: Final = frozenset(
    name.lower() for name in (LOAD, INSTANCE_ID, COLD_MS, NOT_EXECUTED)
)


@final
class PlatformUpstreamDialect:
    """Encode requests and health probes, and decode the responses."""

    __slots__ = ()

    def encode_request_head(
        self, effect: Dispatch, body_bytes: int, host: str
    ) -> bytes:
        """Encode the head of the HTTP request of an attempt."""
        kept = (
            pair
            for pair in effect.headers
            if not pair[0].lower().startswith(OWN_HEADER_PREFIX)
        )
        remaining_ms = max(
            1, int(effect.timeout_seconds * MILLISECONDS_PER_SECOND)
        )
        headers = (
            *kept,
            (DEADLINE_MS, str(remaining_ms)),
            (EXPECT_INSTANCE, effect.expected_identity),
        )
        return encode_request_head(effect, headers, body_bytes, host)

    def identify_request(self, effect: Dispatch) -> str:
        """Return the attempt id of the caller, which responses repeat."""
        return _get_attempt_id(effect)

    def identify_response(self, response: CollectedResponse) -> str:
        """Return the attempt id in a response, empty if there is none."""
        return response.get_single_value(ATTEMPT_ID)

    def decode_result(
        self, effect: Dispatch, response: CollectedResponse
    ) -> UpstreamResult:
        """Decode a complete response to the request of an attempt."""
        status = response.get_code()
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return UpstreamResult(
                failure='another upstream has the address',
                has_run=False,
                identity=response.get_single_value(INSTANCE_ID),
            )
        is_leaving = _is_leaving(response)
        stated_limit, refused_statement = _parse_limit(
            response.get_single_value(LIMIT)
        )
        load_report, refused_load = _parse_load(response)
        if (
            response.get_single_value(NOT_EXECUTED)
            and status >= _FIRST_NON_SUCCESS_STATUS
        ):
            return UpstreamResult(
                failure='refused',
                has_run=False,
                stated_limit=stated_limit,
                is_leaving=is_leaving,
                refused_statement=refused_statement,
                load_report=load_report,
                refused_load=refused_load,
            )
        flaw = _find_flaw(effect, response, status)
        if flaw:
            return UpstreamResult(failure=flaw)
        return UpstreamResult(
            headers=tuple(
                pair
                for pair in select_end_to_end(response.header_pairs)
                if pair[0].lower() not in _INTERNAL_HEADERS
            ),
            stated_limit=stated_limit,
            is_leaving=is_leaving,
            refused_statement=refused_statement,
            load_report=load_report,
            refused_load=refused_load,
        )

    def encode_probe(self, path: str, host: str) -> bytes:
        """Encode the HTTP request of a health probe."""
        return encode_probe(path, host)

    def decode_probe(
        self, now: float, response: CollectedResponse | None
    ) -> UpstreamProbed:
        """Decode the response to a health probe.

        `response` is None if the probe failed.
        """
        if response is None:
            return UpstreamProbed(
                now=now,
                is_healthy=False,
                is_draining=False,
                identity='',
                reported_load=None,
            )
        identity = response.get_single_value(INSTANCE_ID)
        load_report, refused_load = _parse_load(response)
        return UpstreamProbed(
            now=now,
            is_healthy=response.get_code() == HTTPStatus.OK,
            is_draining=False,
            identity=identity,
            # All requests pass through this daemon, so its own count is exact.
            reported_load=None,
            cold_seconds=_parse_cold_seconds(
                response.get_single_value(COLD_MS)
            ),
            stated_limit=_parse_limit(response.get_single_value(LIMIT))[0],
            leaving_identity=identity if _is_leaving(response) else '',
            load_report=load_report,
            refused_load=refused_load,
        )


def _get_attempt_id(effect: Dispatch) -> str:
    return find_header(effect.headers, _ATTEMPT_ID_LOWER) or ''


def _is_leaving(response: CollectedResponse) -> bool:
    return response.get_single_value(LEAVING).strip() == '1'


def _find_flaw(
    effect: Dispatch, response: CollectedResponse, status: int
) -> str:
    """Return why a response cannot be trusted as the result of an attempt.

    Returns an empty text if the response is valid.
    """
    if status in _NOT_RUN_STATUSES:
        return f'status {status} without {NOT_EXECUTED}'
    if response.get_single_value('content-encoding'):
        return 'the body is encoded'
    if status >= _FIRST_NON_SUCCESS_STATUS:
        return ''
    if not response.get_single_value(SEAL):
        return f'success without {SEAL}'
    if response.get_single_value(ATTEMPT_ID) != _get_attempt_id(effect):
        return f'success without the {ATTEMPT_ID} of the request'
    return ''


def _parse_limit(text: str) -> tuple[float | None, str]:
    """Return the stated limit, and the statement if it is malformed."""
    if not text:
        return None, ''
    try:
        per_second = float(text)
    except ValueError:
        per_second = math.nan
    if math.isfinite(per_second) and per_second >= 0:
        return per_second, ''
    return None, f'{LIMIT}: {text}'


def _parse_load(response: CollectedResponse) -> tuple[LoadReport | None, str]:
    """Return the stated load, and the statement if it is malformed."""
    values = response.get(LOAD)
    if values is None:
        return None, ''
    text = values if isinstance(values, str) else ' / '.join(map(str, values))
    if _LOAD_FIGURES.fullmatch(text) is None:
        return None, f'{LOAD}: {text}'[:_SHOWN_CHARACTERS]
    running, waiting, slots, *percent = map(int, text.split(','))
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots,
        slowdown=percent[0] / _PERCENT if percent else None,
    ), ''


def _parse_cold_seconds(milliseconds: str) -> float:
    try:
        seconds = float(milliseconds) / MILLISECONDS_PER_SECOND
    except ValueError:
        # A warm upstream does not send the header.
        return 0.0
    return max(0.0, seconds) if math.isfinite(seconds) else 0.0
