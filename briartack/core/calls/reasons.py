"""Error codes of refused and failed calls, with their HTTP status.

The texts are in `briartack.error_texts`.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

BAD_REQUEST: Final = 400
UNAUTHORIZED: Final = 401
FORBIDDEN: Final = 403
NOT_FOUND: Final = 404
CONTENT_TOO_LARGE: Final = 413
UNPROCESSABLE: Final = 422
TOO_MANY_REQUESTS: Final = 429
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Reason:
    """Describe why a call or an attempt ended without an upstream's answer."""

    code: str
    status: int
    # False if another attempt would be refused for the same reason.
    is_retryable: bool = True


NO_SNAPSHOT: Final = Reason(
    code='no-snapshot',
    status=UNAVAILABLE,
)
UNCONFIRMED: Final = Reason(
    code='unconfirmed',
    status=UNAVAILABLE,
)
STOPPING: Final = Reason(
    code='stopping',
    status=UNAVAILABLE,
)
STOP_TOO_NEAR: Final = Reason(
    code='stop-too-near',
    status=UNAVAILABLE,
)
NO_ROUTE: Final = Reason(
    code='no-route',
    status=NOT_FOUND,
    is_retryable=False,
)
AMBIGUOUS_PATH: Final = Reason(
    code='ambiguous-path',
    status=BAD_REQUEST,
    is_retryable=False,
)
NO_SERVICE: Final = Reason(
    code='no-service',
    status=NOT_FOUND,
    is_retryable=False,
)
PLACEMENT: Final = Reason(
    code='placement',
    status=FORBIDDEN,
)
BODY_TOO_LARGE: Final = Reason(
    code='body-too-large',
    status=CONTENT_TOO_LARGE,
    is_retryable=False,
)
DEADLINE: Final = Reason(
    code='deadline',
    status=GATEWAY_TIMEOUT,
)
UNKNOWN_KEY: Final = Reason(
    code='unknown-api-key',
    status=UNAUTHORIZED,
    is_retryable=False,
)
NO_KEY: Final = Reason(
    code='no-api-key',
    status=UNAUTHORIZED,
    is_retryable=False,
)
UNKNOWN_RUN: Final = Reason(
    code='unknown-run',
    status=UNAVAILABLE,
)
BEYOND_CAP: Final = Reason(
    code='beyond-cap',
    status=TOO_MANY_REQUESTS,
)
NO_CAP_HOLDER: Final = Reason(
    code='no-cap-holder',
    status=UNAVAILABLE,
)
NO_ENDPOINT: Final = Reason(
    code='no-endpoint',
    status=UNAVAILABLE,
)
CONNECTION_LOST: Final = Reason(
    code='connection-lost',
    status=BAD_GATEWAY,
)
PAUSED: Final = Reason(
    code='paused',
    status=BAD_GATEWAY,
)
OUT_OF_SERVICE: Final = Reason(
    code='out-of-service',
    status=UNAVAILABLE,
)
WRONG_SERVICE: Final = Reason(
    code='wrong-service',
    status=UNAVAILABLE,
)
OVERLOAD: Final = Reason(
    code='overload',
    status=UNAVAILABLE,
)
NO_ROOM: Final = Reason(
    code='memory-full',
    status=UNAVAILABLE,
)
UPSTREAM_DOWN: Final = Reason(
    code='upstream-down',
    status=UNAVAILABLE,
)
UPSTREAM_UNVERIFIED: Final = Reason(
    code='upstream-unverified',
    status=UNAVAILABLE,
)
UPSTREAM_FAILED: Final = Reason(
    code='upstream-failed',
    status=BAD_GATEWAY,
)
UPSTREAM_REFUSED: Final = Reason(
    code='upstream-refused',
    status=UNAVAILABLE,
)
UPSTREAM_REPLACED: Final = Reason(
    code='upstream-replaced',
    status=UNAVAILABLE,
)
CRASH_SUSPECT: Final = Reason(
    code='crash-suspect',
    status=UNAVAILABLE,
    is_retryable=False,
)
STALE_INCARNATION: Final = Reason(
    code='stale-incarnation',
    status=UNAVAILABLE,
)
STALE_CLOCK: Final = Reason(
    code='stale-clock',
    status=UNAVAILABLE,
)
WINDOW_FULL: Final = Reason(
    code='window-full',
    status=UNAVAILABLE,
)
KEY_OWNER_GONE: Final = Reason(
    code='key-owner-gone',
    status=BAD_GATEWAY,
)
KEY_EXPIRED: Final = Reason(
    code='key-expired',
    status=BAD_GATEWAY,
    is_retryable=False,
)
KEY_IN_PROGRESS: Final = Reason(
    code='key-in-progress',
    status=GATEWAY_TIMEOUT,
    is_retryable=False,
)
KEY_REUSED: Final = Reason(
    code='key-reused',
    status=UNPROCESSABLE,
    is_retryable=False,
)
OUTCOME_TOO_LARGE: Final = Reason(
    code='outcome-too-large',
    status=BAD_GATEWAY,
    is_retryable=False,
)

REASONS_BY_CODE: Final[Mapping[str, Reason]] = MappingProxyType(
    {
        reason.code: reason
        for reason in tuple(globals().values())
        if isinstance(reason, Reason)
    },
)
