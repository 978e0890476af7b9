"""Codes and texts of everything that the shell refuses, logs or reports."""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final


@final
@dataclass(frozen=True, slots=True)
class ErrorText:
    """Describe an error and what to do about it."""

    text: str
    fix: str


TOO_LARGE: Final = 'body-too-large'
MALFORMED_REQUEST: Final = 'malformed-request'
MALFORMED_FRAME: Final = 'malformed-frame'
PEER_QUEUE_FULL: Final = 'peer-queue-full'
MESSAGE_TOO_LARGE: Final = 'message-too-large'
REDUCER_FAILED: Final = 'reducer-failed'
EFFECT_FAILED: Final = 'effect-failed'
BAD_OPTION: Final = 'bad-option'
CANNOT_LISTEN: Final = 'cannot-listen'
TRACE_FAILED: Final = 'trace-failed'
UNKNOWN_PATH: Final = 'unknown-path'
LISTENING: Final = 'listening'
STOPPED: Final = 'stopped'

_TEXTS: Final[Mapping[str, ErrorText]] = MappingProxyType(
    {
        TOO_LARGE: ErrorText(
            'The body of the request is larger than 16 MiB.',
            'Split the upload into requests of at most 16777216 bytes.',
        ),
        MALFORMED_REQUEST: ErrorText(
            'The request is not valid HTTP/1.1.',
            'Correct the part of the request that the text names.',
        ),
        MALFORMED_FRAME: ErrorText(
            'A peer sent bytes that are not a message; its stream was closed.',
            'Check that all daemons run compatible versions.',
        ),
        PEER_QUEUE_FULL: ErrorText(
            'A peer reads too slowly; its stream was closed.',
            'Check the load of the peer and the link to it.',
        ),
        MESSAGE_TOO_LARGE: ErrorText(
            'A message is larger than a frame may be and was not sent.',
            'Report this with the fields of the line.',
        ),
        REDUCER_FAILED: ErrorText(
            'An event could not be applied and was passed over.',
            'Report this with the traceback of the line.',
        ),
        EFFECT_FAILED: ErrorText(
            'An effect could not be executed and was passed over.',
            'Report this with the traceback of the line.',
        ),
        BAD_OPTION: ErrorText(
            'Flags or environment variables are wrong.',
            'Correct each of the listed ones and start again.',
        ),
        CANNOT_LISTEN: ErrorText(
            'An address cannot be bound.',
            'Choose an address of this instance that no other process uses.',
        ),
        TRACE_FAILED: ErrorText(
            'The event trace cannot be written any more; recording has ended.',
            'Check the file that --record names and its file system.',
        ),
        UNKNOWN_PATH: ErrorText(
            'There is nothing under this path.',
            'Use /healthz, /readyz, /status or /metrics.',
        ),
        LISTENING: ErrorText('The daemon accepts connections.', ''),
        STOPPED: ErrorText('The daemon stops.', ''),
        # Refusals that the core decides.
        'no-route': ErrorText(
            'No route matches the method and path.',
            'Check the path, or publish a route for it.',
        ),
        'ambiguous-path': ErrorText(
            'An upstream may read the path otherwise than the router.',
            'Send the path without dot segments, empty segments and needless '
            'percent-encoding.',
        ),
        'no-snapshot': ErrorText(
            'The daemon holds no configuration yet.',
            'Repeat the request after a moment.',
        ),
        'no-endpoint': ErrorText(
            'No upstream of the service can take the request.',
            'Repeat the request after a moment.',
        ),
        'overload': ErrorText(
            'The upstream is at its limit.',
            'Repeat the request later and with a pause.',
        ),
        'out-of-service': ErrorText(
            'The upstream is out of service.',
            'Repeat the request after a moment.',
        ),
        'placement': ErrorText(
            'The request may not be served in this region.',
            'Send it to a daemon in a region of Briartack-Home-Regions.',
        ),
        'deadline': ErrorText(
            'The deadline passed before an answer was there.',
            'Allow more time, or check the outcome before repeating.',
        ),
        'connection-lost': ErrorText(
            'The connection was lost after the request may have been read.',
            'Check the outcome before repeating the request.',
        ),
        'stopping': ErrorText(
            'The daemon is stopping.',
            'Repeat the request at another daemon.',
        ),
    }
)
_UNLISTED: Final = ErrorText('', 'See the log of the daemon.')


def error_text(code: str) -> ErrorText:
    """Return the text of a code; an unlisted code has a general one."""
    return _TEXTS.get(code, _UNLISTED)
