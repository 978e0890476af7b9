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
LINES_LOST: Final = 'lines-lost'
ITEM_REFUSED: Final = 'item-refused'
RELOADED: Final = 'reloaded'
RELOAD_FAILED: Final = 'reload-failed'
LINES_LEFT_OUT: Final = 'lines-left-out'

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
            'Use /healthz, /readyz, /status, /explain or /metrics.',
        ),
        LISTENING: ErrorText('The daemon accepts connections.', ''),
        STOPPED: ErrorText('The daemon stops.', ''),
        RELOADED: ErrorText('The settings were read again.', ''),
        RELOAD_FAILED: ErrorText(
            'The changed settings file is wrong; the one before counts.',
            'Correct what the line names.',
        ),
        LINES_LEFT_OUT: ErrorText(
            'Lines about requests were left out to bound their number.',
            '',
        ),
        'call-refused': ErrorText('A request was refused at once.', ''),
        'attempt-sent': ErrorText('An attempt was sent to an owner.', ''),
        'attempt-failed': ErrorText('An attempt brought no answer.', ''),
        'call-ended': ErrorText('A caller was answered.', ''),
        'run-ended': ErrorText('An attempt ended at its owner.', ''),
        ITEM_REFUSED: ErrorText(
            'An item of the store can not be used and was passed over.',
            'Correct or remove the item under this key.',
        ),
        LINES_LOST: ErrorText(
            'Audit lines could not be written; their numbers are missing.',
            'Check that what reads the standard output of the daemon runs.',
        ),
        # Refusals that the core decides.
        'no-snapshot': ErrorText(
            'The daemon holds no configuration yet.',
            'Repeat the request after a moment.',
        ),
        'unconfirmed': ErrorText(
            'The daemon was paused; its configuration is not confirmed yet.',
            'Repeat the request after a second.',
        ),
        'stopping': ErrorText(
            'The daemon is stopping and takes no new work.',
            'Repeat the request at another daemon.',
        ),
        'no-route': ErrorText(
            'No route matches the method and path.',
            'Check the path, or publish a route for it.',
        ),
        'ambiguous-path': ErrorText(
            'An upstream may read the path otherwise than the router.',
            'Send the path without dot segments, empty segments and '
            'needless percent-encoding.',
        ),
        'no-service': ErrorText(
            'No service has this name.',
            'Check the name; it has the form TEAM/NAME.',
        ),
        'placement': ErrorText(
            'The request may not be served in this region.',
            'Send it to a daemon in a region of Briartack-Home-Regions.',
        ),
        'deadline': ErrorText(
            'The deadline passed before an answer was there.',
            'Allow more time; if the verdict is unknown, check the '
            'outcome before repeating the request.',
        ),
        'no-endpoint': ErrorText(
            'No instance of the service can be reached.',
            'Repeat the request after a moment.',
        ),
        'connection-lost': ErrorText(
            'The connection was lost before the answer.',
            'Check the outcome before repeating the request.',
        ),
        'paused': ErrorText(
            'The daemon was paused while the request was in flight.',
            'Check the outcome before repeating the request.',
        ),
        'out-of-service': ErrorText(
            'The instance or its data centre is out of service.',
            'Repeat the request after a moment.',
        ),
        'wrong-service': ErrorText(
            'The instance belongs to another service.',
            'Check the list of instances; the platform may lag.',
        ),
        'overload': ErrorText(
            'The upstream has no free slot in time.',
            'Repeat the request later and with a pause.',
        ),
        'upstream-down': ErrorText(
            'The upstream is not healthy or is draining.',
            'Repeat the request after a moment.',
        ),
        'upstream-failed': ErrorText(
            'The upstream gave no whole answer.',
            'Check the outcome before repeating the request.',
        ),
        'upstream-refused': ErrorText(
            'The upstream itself refused to run the request.',
            'Repeat the request later and with a pause.',
        ),
        'upstream-replaced': ErrorText(
            'Another upstream has taken the place of the one expected.',
            'Repeat the request after a moment.',
        ),
        'stale-incarnation': ErrorText(
            'The attempt is for an earlier run of the daemon.',
            'Repeat the request.',
        ),
        'stale-clock': ErrorText(
            'The attempt is older than the attempt window.',
            'Repeat the request.',
        ),
        'window-full': ErrorText(
            'The daemon can not remember more attempts.',
            'Repeat the request after a moment.',
        ),
        'key-owner-gone': ErrorText(
            'The instance that the key names is gone or was restarted.',
            'Check the outcome; a repeat needs a new key.',
        ),
        'key-expired': ErrorText(
            'The outcome of the key is no longer kept.',
            'Check the outcome; a repeat needs a new key.',
        ),
        'key-in-progress': ErrorText(
            'The request with this key is still running.',
            'Repeat the request with the same key later.',
        ),
        'key-reused': ErrorText(
            'The key belongs to another request.',
            'Use a new key for each request, and repeat it unchanged.',
        ),
        'outcome-too-large': ErrorText(
            'The request ran, but its answer was too large to be kept.',
            'Read the outcome from the service.',
        ),
        # Log lines that the core asks for.
        'version-refused': ErrorText(
            'A version of the configuration is not valid and was refused.',
            'Correct the problems that the line lists and publish again.',
        ),
        'version-waits': ErrorText(
            'A version waits for resources that no team has defined.',
            'Publish the missing resources, or correct the references.',
        ),
        'definition-retained': ErrorText(
            'A removed resource is kept, since another team refers to it.',
            'Publish the resource again, or remove the references.',
        ),
        'ramp-restarted': ErrorText(
            'The upstream seems cold; its concurrency starts at one again.',
            '',
        ),
        'store-revision-fell': ErrorText(
            'The store answered with an older revision, which is ignored.',
            'If a backup was restored, see the operations page.',
        ),
        'store-lost': ErrorText(
            'A call to the store failed; it is tried again with a backoff.',
            'Check the store if it lasts; what is held stays in force.',
        ),
        'store-back': ErrorText('The store answers.', ''),
        'peer-lost': ErrorText('The stream to a peer ended.', ''),
        'peer-back': ErrorText('A stream to a peer is up.', ''),
        'instances-changed': ErrorText('The live list has changed.', ''),
        'upstream-health': ErrorText('The upstream reports a change.', ''),
        'peers-suspected': ErrorText(
            'No parent answers; the tree is computed without them.',
            '',
        ),
    },
)
_UNLISTED: Final = ErrorText('', 'See the log of the daemon.')


def error_text(code: str) -> ErrorText:
    """Return the text of a code; an unlisted code has a general one."""
    return _TEXTS.get(code, _UNLISTED)
