"""Define the codes and texts of log lines and refusals.

Operators see the texts in the log, and callers in the bodies of refusals.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final


@final
@dataclass(frozen=True, slots=True)
class ErrorText:
    """Represent the text of a code and the action to take, if any."""

    text: str
    fix: str


TOO_LARGE: Final = 'body-too-large'
MALFORMED_REQUEST: Final = 'malformed-request'
HEAD_TIMEOUT: Final = 'head-timeout'
MALFORMED_FRAME: Final = 'malformed-frame'
ENTRY_REFUSED: Final = 'entry-refused'
PEER_QUEUE_FULL: Final = 'peer-queue-full'
MESSAGE_TOO_LARGE: Final = 'message-too-large'
REDUCER_FAILED: Final = 'reducer-failed'
EFFECT_FAILED: Final = 'effect-failed'
TASK_FAILED: Final = 'task-failed'
BAD_OPTION: Final = 'bad-option'
LIBRARY_MISSING: Final = 'library-missing'
CANNOT_LISTEN: Final = 'cannot-listen'
ADDRESS_IN_USE: Final = 'address-in-use'
METRICS_UNAVAILABLE: Final = 'metrics-unavailable'
TRACE_FAILED: Final = 'trace-failed'
UNKNOWN_PATH: Final = 'unknown-path'
LISTENING: Final = 'listening'
STOPPED: Final = 'stopped'
DELIVERING: Final = 'delivering'
STOP_REPEATED: Final = 'stop-repeated'
LINES_LOST: Final = 'lines-lost'
ITEM_REFUSED: Final = 'item-refused'
RELOADED: Final = 'reloaded'
RELOAD_FAILED: Final = 'reload-failed'
SETTINGS_AWAITED: Final = 'settings-awaited'
LINES_LEFT_OUT: Final = 'lines-left-out'
STATEMENT_REFUSED: Final = 'statement-refused'
ACCEPT_FAILED: Final = 'accept-failed'
CONNECTIONS_FULL: Final = 'connections-full'
CALLER_GIVEN_UP: Final = 'caller-given-up'
MEMORY_GROWN: Final = 'memory-grown'

_TEXTS: Final[Mapping[str, ErrorText]] = MappingProxyType(
    {
        TOO_LARGE: ErrorText(
            'The body of the request is larger than the limit in force.',
            'Split the upload into smaller requests.',
        ),
        MALFORMED_REQUEST: ErrorText(
            'The request is not valid HTTP/1.1.',
            'Correct the part of the request that the text describes.',
        ),
        HEAD_TIMEOUT: ErrorText(
            'The head of the request did not arrive in time.',
            'Send the whole head at once.',
        ),
        ACCEPT_FAILED: ErrorText(
            'A connection could not be accepted; the daemon tries again.',
            'Raise the limit of open files, or look for what holds them.',
        ),
        CONNECTIONS_FULL: ErrorText(
            'The daemon has too many open connections that are in use.',
            'Retry after the stated time, and close unused connections.',
        ),
        MALFORMED_FRAME: ErrorText(
            'A peer sent a malformed message; its stream was closed.',
            'Check that all daemons run compatible versions.',
        ),
        ENTRY_REFUSED: ErrorText(
            'A malformed entry in a message of a peer was left out.',
            'Check that all daemons run compatible versions.',
        ),
        PEER_QUEUE_FULL: ErrorText(
            'A peer reads too slowly; its stream was closed.',
            'Check the load of the peer and the link to it.',
        ),
        MESSAGE_TOO_LARGE: ErrorText(
            'A message exceeds the maximum frame size and was not sent.',
            'Report this with the fields of the line.',
        ),
        REDUCER_FAILED: ErrorText(
            'An event could not be applied and was skipped.',
            'Report this with the traceback of the line.',
        ),
        EFFECT_FAILED: ErrorText(
            'An effect could not be executed and was skipped.',
            'Report this with the traceback of the line.',
        ),
        TASK_FAILED: ErrorText(
            'A task of the daemon ended by an unexpected error.',
            'Report this with the traceback of the line.',
        ),
        BAD_OPTION: ErrorText(
            'Flags or environment variables are invalid.',
            'Correct each of the listed problems and start again.',
        ),
        LIBRARY_MISSING: ErrorText(
            'A library cannot be loaded.',
            'Run the build command of deploy/system.toml on this machine.',
        ),
        CANNOT_LISTEN: ErrorText(
            'An address cannot be bound.',
            'Choose an address of this instance that no other process uses.',
        ),
        ADDRESS_IN_USE: ErrorText(
            'An address is in use or not assigned; the daemon waits for it.',
            'Wait for the daemon of before to end, or end the other process.',
        ),
        METRICS_UNAVAILABLE: ErrorText(
            'The metrics address cannot be bound; the daemon works without.',
            'Free the address; the daemon tries again each second.',
        ),
        TRACE_FAILED: ErrorText(
            'The event trace can no longer be written; recording has stopped.',
            'Check the trace file given with --record and its file system.',
        ),
        UNKNOWN_PATH: ErrorText(
            'No endpoint has this path.',
            'Use /healthz, /readyz, /status, /explain or /metrics.',
        ),
        LISTENING: ErrorText('The daemon accepts connections.', ''),
        STOPPED: ErrorText('The daemon has stopped.', ''),
        DELIVERING: ErrorText(
            'All requests have ended; the last bytes are being delivered.', ''
        ),
        STOP_REPEATED: ErrorText(
            'A planned stop was asked for again; the one under way goes on.',
            'To end the daemon at once, send SIGINT or SIGKILL.',
        ),
        RELOADED: ErrorText('The changed settings were applied.', ''),
        RELOAD_FAILED: ErrorText(
            'The changed settings file is invalid; the previous one applies.',
            'Correct the problems that the line lists.',
        ),
        SETTINGS_AWAITED: ErrorText(
            'The settings file is unusable; the daemon waits for another.',
            'Correct the problems listed below.',
        ),
        LINES_LEFT_OUT: ErrorText(
            'Log lines about requests were omitted to limit their number.',
            '',
        ),
        'call-refused': ErrorText('A request was refused immediately.', ''),
        'attempt-sent': ErrorText('An attempt was sent to an owner.', ''),
        'attempt-failed': ErrorText('An attempt ended without a response.', ''),
        'call-ended': ErrorText('A caller was answered.', ''),
        'run-ended': ErrorText('An attempt ended at its owner.', ''),
        ITEM_REFUSED: ErrorText(
            'An item of the store is unusable and was skipped.',
            'Correct or remove the item with this key.',
        ),
        LINES_LOST: ErrorText(
            'Audit lines could not be written; their sequence has gaps.',
            'Check that the reader of the standard output of the daemon runs.',
        ),
        # Refusals by the core.
        'no-snapshot': ErrorText(
            'The daemon holds no configuration yet.',
            'Retry the request after a moment.',
        ),
        'unconfirmed': ErrorText(
            'The daemon was paused and has not confirmed its configuration.',
            'Retry the request after a second.',
        ),
        'stopping': ErrorText(
            'The daemon is stopping and accepts no new work.',
            'Retry the request at another daemon.',
        ),
        'stop-too-near': ErrorText(
            'The planned stop of the daemon may end before the request.',
            'Retry the request at another daemon.',
        ),
        'no-route': ErrorText(
            'No route matches the method and path.',
            'Check the path, or publish a route for it.',
        ),
        'ambiguous-path': ErrorText(
            'An upstream may interpret the path differently from the router.',
            'Send the path without dot segments, empty segments and '
            'unnecessary percent-encoding.',
        ),
        'unknown-api-key': ErrorText(
            'No tenant has this API key.',
            'Use a key that the configuration in force assigns to a tenant.',
        ),
        'no-api-key': ErrorText(
            'The request has no API key, and its route is not public.',
            'Send the API key of a tenant.',
        ),
        'unknown-run': ErrorText(
            'The request that made this call is not known to run here.',
            'Retry the request after a moment, or send an API key.',
        ),
        'no-cap-holder': ErrorText(
            'The daemon that holds the cap of the tenant is not reached.',
            'Retry the request after the stated time.',
        ),
        'beyond-cap': ErrorText(
            'The tenant has used up its cap of requests.',
            'Retry the request after the stated time.',
        ),
        'no-service': ErrorText(
            'No service has this name.',
            'Check the name; it has the form TEAM/NAME.',
        ),
        'placement': ErrorText(
            'The request must not be served in this region.',
            'Send it to a daemon in a region of Briartack-Home-Regions.',
        ),
        'deadline': ErrorText(
            'The deadline passed before a response was available.',
            'Allow more time; if the verdict is unknown, check the '
            'outcome before retrying the request.',
        ),
        'no-endpoint': ErrorText(
            'No instance of the service can be reached.',
            'Retry the request after a moment.',
        ),
        'connection-lost': ErrorText(
            'The connection was lost before the response.',
            'Check the outcome before retrying the request.',
        ),
        'paused': ErrorText(
            'The daemon was paused until the deadline of the request.',
            'Check the outcome before retrying the request.',
        ),
        'out-of-service': ErrorText(
            'The instance or its data centre is out of service.',
            'Retry the request after a moment.',
        ),
        'wrong-service': ErrorText(
            'The instance belongs to another service.',
            'Check the list of instances; the platform may lag.',
        ),
        'memory-full': ErrorText(
            'The daemon has no memory for the request.',
            'Retry after the stated time; see memory_held_bytes.',
        ),
        'overload': ErrorText(
            'The upstream had no free slot in time.',
            'Retry the request later, with a pause between retries.',
        ),
        'upstream-down': ErrorText(
            'The upstream is not healthy or is draining.',
            'Retry the request after a moment.',
        ),
        'upstream-unverified': ErrorText(
            'The list does not show that the upstream is of this service.',
            'Retry the request after a moment; see the line upstream-identity.',
        ),
        'upstream-failed': ErrorText(
            'The upstream sent no complete and valid response.',
            'Check the outcome before retrying the request.',
        ),
        'upstream-refused': ErrorText(
            'The upstream itself refused to run the request.',
            'Retry the request later, with a pause between retries.',
        ),
        'upstream-replaced': ErrorText(
            'Another upstream has replaced the expected one.',
            'Retry the request after a moment.',
        ),
        'stale-incarnation': ErrorText(
            'The attempt is for an earlier run of the daemon.',
            'Retry the request.',
        ),
        'stale-clock': ErrorText(
            'The attempt is older than the attempt window.',
            'Retry the request.',
        ),
        'window-full': ErrorText(
            'The daemon cannot remember more attempts for deduplication.',
            'Retry the request after a moment.',
        ),
        'key-owner-gone': ErrorText(
            'The instance that the key names is gone or was restarted.',
            'Check the outcome; a retry needs a new key.',
        ),
        'key-expired': ErrorText(
            'The outcome for this key is no longer stored.',
            'Check the outcome; a retry needs a new key.',
        ),
        'key-in-progress': ErrorText(
            'The request with this key is still running.',
            'Retry the request later with the same key.',
        ),
        'key-reused': ErrorText(
            'The key was used for a different request.',
            'Use a new key for each request; retry a request unchanged.',
        ),
        'outcome-too-large': ErrorText(
            'The request ran, but its response was too large to store.',
            'Look up the outcome at the service.',
        ),
        # Log lines of the core.
        'version-refused': ErrorText(
            'A configuration version is invalid and was refused.',
            'Correct the problems that the line lists and publish again.',
        ),
        'version-outdated': ErrorText(
            'The store returned a version that is older than the active one.',
            'If the store was restored, publish the current version again.',
        ),
        'version-waits': ErrorText(
            'A version waits for resources that no team has defined.',
            'Publish the missing resources, or correct the references.',
        ),
        'definition-retained': ErrorText(
            'A removed resource is kept because another team refers to it.',
            'Publish the resource again, or remove the references.',
        ),
        'ramp-restarted': ErrorText(
            'The upstream appears cold; its concurrency ramp restarts at 1.',
            '',
        ),
        'store-revision-fell': ErrorText(
            'The store returned an older revision, which is ignored.',
            'If a backup was restored, see the operations page.',
        ),
        'store-era': ErrorText('The store was restored from a copy.', ''),
        'store-lost': ErrorText(
            'A request to the store failed; it is retried with backoff.',
            'Check the store if this lasts; the current version stays active.',
        ),
        'store-back': ErrorText('The store responds again.', ''),
        'store-duty': ErrorText(
            'The daemon starts or stops to watch the store.', ''
        ),
        'store-watch-answered': ErrorText(
            'A watch of the store returned changes.', ''
        ),
        'store-history-gone': ErrorText(
            'The store has dropped its history; all keys are read again.', ''
        ),
        'configuration-announced': ErrorText(
            'A changed configuration is announced to peers.', ''
        ),
        'configuration-lags': ErrorText(
            'A peer holds a newer configuration that has not arrived here.',
            'Check the link to the peer if this lasts.',
        ),
        'configuration-overdue': ErrorText(
            'Peers announce a configuration that they do not deliver; '
            'all keys are read from the store.',
            'Check for links that lose what this daemon sends.',
        ),
        'entries-differ': ErrorText(
            'A peer with the same highest revision holds other entries.', ''
        ),
        'peer-lost': ErrorText('The stream to a peer ended.', ''),
        'peer-unreachable': ErrorText('A peer could not be dialled.', ''),
        'peer-back': ErrorText('A stream to a peer is open.', ''),
        'instances-changed': ErrorText(
            'The list of live instances has changed.', ''
        ),
        CALLER_GIVEN_UP: ErrorText(
            'The memory was full and a caller took no byte of its responses; '
            'its connection was closed.',
            'Correct the caller, or allow the daemon more memory.',
        ),
        MEMORY_GROWN: ErrorText(
            'The resident memory of the daemon has reached a new height.', ''
        ),
        STATEMENT_REFUSED: ErrorText(
            'A header of the upstream is malformed and was ignored.',
            'Correct the upstream that sends it.',
        ),
        'upstream-leaving': ErrorText(
            'An upstream says that it leaves; it gets no new requests.', ''
        ),
        'crash-suspect': ErrorText(
            'Upstreams ended each time they ran this request.',
            'Find the request by its fingerprint, and correct the upstream.',
        ),
        'request-suspected': ErrorText(
            'A request was running when several upstreams ended.',
            'Look for the cause in the logs of these upstreams.',
        ),
        'suspect-cleared': ErrorText(
            'A request is no longer suspected to crash upstreams.', ''
        ),
        'upstream-ended': ErrorText(
            'The local upstream ended while it was running requests.', ''
        ),
        'upstream-limit': ErrorText(
            'The upstream states a limit, or states it no longer.', ''
        ),
        'service-changed': ErrorText(
            'The settings name another service for this instance.',
            'Check the settings if the instance was not reassigned.',
        ),
        'upstream-identity': ErrorText(
            'The identity of the upstream, or its listing, has changed.',
            'Look for its record if the list does not hold it for long.',
        ),
        'upstream-health': ErrorText(
            'The state of the upstream has changed.', ''
        ),
        'peers-suspected': ErrorText(
            'No parent responds; the tree is computed without them.',
            '',
        ),
    },
)
_UNLISTED_CODE_TEXT: Final = ErrorText('', 'See the log of the daemon.')


def get_error_text(code: str) -> ErrorText:
    """Return the text of a code, or a general text for an unlisted code."""
    return _TEXTS.get(code, _UNLISTED_CODE_TEXT)
