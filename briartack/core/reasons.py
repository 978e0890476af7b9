"""Error codes of refused and failed calls, with status and text."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final

BAD_REQUEST: Final = 400
FORBIDDEN: Final = 403
NOT_FOUND: Final = 404
CONTENT_TOO_LARGE: Final = 413
BAD_GATEWAY: Final = 502
UNAVAILABLE: Final = 503
GATEWAY_TIMEOUT: Final = 504


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Reason:
    """Describe one way in which a call ends without an upstream's answer."""

    code: str
    status: int
    text: str
    # False if another attempt would be refused for the same reason.
    is_retried: bool = True


NO_SNAPSHOT: Final = Reason(
    code='no-snapshot',
    status=UNAVAILABLE,
    text='this daemon has no configuration yet',
)
UNCONFIRMED: Final = Reason(
    code='unconfirmed',
    status=UNAVAILABLE,
    text='this daemon was paused and its configuration is not confirmed yet',
)
STOPPING: Final = Reason(
    code='stopping',
    status=UNAVAILABLE,
    text='this daemon is stopping and takes no new work',
)
NO_ROUTE: Final = Reason(
    code='no-route',
    status=NOT_FOUND,
    text='no route matches the method and path',
    is_retried=False,
)
AMBIGUOUS_PATH: Final = Reason(
    code='ambiguous-path',
    status=BAD_REQUEST,
    text='the path has dot or empty segments, or encodes plain characters',
    is_retried=False,
)
NO_SERVICE: Final = Reason(
    code='no-service',
    status=NOT_FOUND,
    text='no service has this name',
    is_retried=False,
)
PLACEMENT: Final = Reason(
    code='placement',
    status=FORBIDDEN,
    text='the request must stay in its home regions',
)
BODY_TOO_LARGE: Final = Reason(
    code='body-too-large',
    status=CONTENT_TOO_LARGE,
    text='the body is larger than 16 MiB',
    is_retried=False,
)
DEADLINE: Final = Reason(
    code='deadline',
    status=GATEWAY_TIMEOUT,
    text='the time of the request is over',
)
NO_ENDPOINT: Final = Reason(
    code='no-endpoint',
    status=UNAVAILABLE,
    text='no instance of the service can be reached',
)
CONNECTION_LOST: Final = Reason(
    code='connection-lost',
    status=BAD_GATEWAY,
    text='the connection was lost before the answer',
)
PAUSED: Final = Reason(
    code='paused',
    status=BAD_GATEWAY,
    text='this daemon was paused while the request was in flight',
)
OUT_OF_SERVICE: Final = Reason(
    code='out-of-service',
    status=UNAVAILABLE,
    text='the instance or its data centre is out of service',
)
WRONG_SERVICE: Final = Reason(
    code='wrong-service',
    status=UNAVAILABLE,
    text='the instance belongs to another service',
)
OVERLOAD: Final = Reason(
    code='overload',
    status=UNAVAILABLE,
    text='the upstream has no free slot in time',
)
UPSTREAM_DOWN: Final = Reason(
    code='upstream-down',
    status=UNAVAILABLE,
    text='the upstream is not healthy or is draining',
)
UPSTREAM_FAILED: Final = Reason(
    code='upstream-failed',
    status=BAD_GATEWAY,
    text='the upstream gave no whole answer',
)
STALE_INCARNATION: Final = Reason(
    code='stale-incarnation',
    status=UNAVAILABLE,
    text='the attempt is for an earlier run of the daemon',
)
STALE_CLOCK: Final = Reason(
    code='stale-clock',
    status=UNAVAILABLE,
    text='the attempt is older than the attempt window',
)
WINDOW_FULL: Final = Reason(
    code='window-full',
    status=UNAVAILABLE,
    text='the daemon cannot remember more attempts',
)
KEY_OWNER_GONE: Final = Reason(
    code='key-owner-gone',
    status=BAD_GATEWAY,
    text='the instance that the key names is gone or was restarted',
)
KEY_EXPIRED: Final = Reason(
    code='key-expired',
    status=BAD_GATEWAY,
    text='the outcome of the key is no longer kept',
    is_retried=False,
)
KEY_IN_PROGRESS: Final = Reason(
    code='key-in-progress',
    status=GATEWAY_TIMEOUT,
    text='the request with this key is still running',
    is_retried=False,
)
OUTCOME_TOO_LARGE: Final = Reason(
    code='outcome-too-large',
    status=BAD_GATEWAY,
    text='the request ran, but its answer was too large to be kept',
    is_retried=False,
)

BY_CODE: Final[Mapping[str, Reason]] = MappingProxyType(
    {
        reason.code: reason
        for reason in tuple(globals().values())
        if isinstance(reason, Reason)
    },
)
