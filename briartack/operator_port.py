"""Serve health checks, status and metrics to operators and the platform."""

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Final, Generic, Protocol, TypeAlias, TypeVar, final
from urllib.parse import parse_qsl

import msgspec

from briartack.accepting import OperatorServer
from briartack.addresses import Address
from briartack.caller_responses import encode_refusal_body
from briartack.core.units import AttemptId, CallId
from briartack.error_texts import MALFORMED_REQUEST, UNKNOWN_PATH
from briartack.metrics import MetricRegistry
from briartack.shell_interfaces import LISTEN_BACKLOG

StateT = TypeVar('StateT')
DescribeState: TypeAlias = Callable[[StateT], dict[str, object]]
_JsonObject: TypeAlias = dict[str, object]
_Answer: TypeAlias = tuple[str, str, bytes]
# The arguments are the method, path, tenant and body size of a call.
ExplainCall: TypeAlias = Callable[[str, str, str, int], _JsonObject]

_JSON: Final = 'application/json'
_PLAIN_TEXT: Final = 'text/plain; charset=utf-8'
_OK: Final = '200 OK'
_NOT_READY: Final = '503 Service Unavailable'
_NOT_FOUND: Final = '404 Not Found'
_BAD_REQUEST: Final = '400 Bad Request'
# A whole number of at most 15 digits, which covers every legal body.
_BODY_BYTES: Final = re.compile('[0-9]{1,15}')


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StateReports(Generic[StateT]):
    """Hold the functions that describe the state to operators.

    `describe` returns the status, and `is_ready` whether the daemon takes
    work, which the platform asks each second. `explain` takes the state and
    the method, path, tenant and body size of a request, and explains how the
    request is handled. `find_call` returns the call that an attempt in
    flight was made for, if any. The others count what the reducer holds.
    """

    describe: DescribeState[StateT]
    is_ready: Callable[[StateT], bool]
    explain: Callable[[StateT, str, str, str, int], dict[str, object]]
    count_calls: Callable[[StateT], int]
    count_attempts: Callable[[StateT], int]
    count_attempt_ids: Callable[[StateT], int]
    find_call: Callable[[StateT, AttemptId], CallId | None]


class _StartResponse(Protocol):
    """Describe the `start_response` callable of WSGI."""

    def __call__(self, status: str, headers: list[tuple[str, str]]) -> object:
        """Send the status and the headers of the answer."""


@final
class OperatorPort:
    """Serve the health, readiness, status, explanation and metrics paths."""

    __slots__ = (
        '_describe',
        '_is_ready',
        '_explain',
        '_clear_suspect',
        '_metrics',
        '_handlers',
        '_commands',
    )

    def __init__(
        self,
        *,
        describe: Callable[[], _JsonObject],
        is_ready: Callable[[], bool],
        explain: ExplainCall,
        clear_suspect: Callable[[bytes], None],
        metrics: MetricRegistry,
    ) -> None:
        """Set the functions that answer and obey operators."""
        self._describe = describe
        self._is_ready = is_ready
        self._explain = explain
        self._clear_suspect = clear_suspect
        self._metrics = metrics
        self._handlers: dict[str, Callable[[str], _Answer]] = {
            '/healthz': self._handle_health,
            '/readyz': self._handle_readiness,
            '/status': self._handle_status,
            '/explain': self._handle_explain,
            '/metrics': self._handle_metrics,
        }
        # These change the state of the daemon, and need a POST.
        self._commands: dict[str, Callable[[str], _Answer]] = {
            '/clear-suspect': self._handle_clear_suspect,
        }

    def create_server(self, address: Address) -> OperatorServer:
        """Create the HTTP server for operators, which does not listen yet."""
        return OperatorServer(
            address,
            self._handle_request,
            backlog=LISTEN_BACKLOG,
            log=None,
            error_log=None,
            environ={'SERVER_NAME': address[0], 'SERVER_PORT': address[1]},
        )

    def _handle_request(
        self,
        environ: dict[str, str],
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        is_command = environ['REQUEST_METHOD'] == 'POST'
        handlers = self._commands if is_command else self._handlers
        handler = handlers.get(environ['PATH_INFO'], _handle_unknown_path)
        status, content_type, body = handler(environ['QUERY_STRING'])
        start_response(
            status,
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _handle_health(self, query: str) -> _Answer:
        return _OK, _JSON, b'{"status":"ok"}'

    def _handle_readiness(self, query: str) -> _Answer:
        is_ready = self._is_ready()
        body = msgspec.json.encode({'ready': is_ready})
        return _OK if is_ready else _NOT_READY, _JSON, body

    def _handle_status(self, query: str) -> _Answer:
        return _OK, _JSON, msgspec.json.encode(self._describe(), enc_hook=str)

    def _handle_explain(self, query: str) -> _Answer:
        call_fields = dict(parse_qsl(query))
        size = call_fields.get('body_bytes', '0')
        if not _BODY_BYTES.fullmatch(size):
            return _refuse_query(f'body_bytes {size!r} is not a whole number')
        explanation = self._explain(
            call_fields.get('method', 'GET'),
            call_fields.get('path', '/'),
            call_fields.get('tenant', ''),
            int(size),
        )
        return _OK, _JSON, msgspec.json.encode(explanation, enc_hook=str)

    def _handle_clear_suspect(self, query: str) -> _Answer:
        text = dict(parse_qsl(query)).get('fingerprint', '')
        try:
            fingerprint = bytes.fromhex(text)
        except ValueError:
            fingerprint = b''
        if not fingerprint:
            return _refuse_query(f'fingerprint {text!r} is not hexadecimal')
        self._clear_suspect(fingerprint)
        body = msgspec.json.encode({'fingerprint': fingerprint.hex()})
        return _OK, _JSON, body

    def _handle_metrics(self, query: str) -> _Answer:
        text_lines = [*self._metrics.format_lines(), '']
        return _OK, _PLAIN_TEXT, '\n'.join(text_lines).encode()


def _refuse_query(detail: str) -> _Answer:
    body = encode_refusal_body(MALFORMED_REQUEST, detail)
    return _BAD_REQUEST, _JSON, body


def _handle_unknown_path(query: str) -> _Answer:
    return _NOT_FOUND, _JSON, encode_refusal_body(UNKNOWN_PATH, '')
