"""What operators and the platform ask a daemon over HTTP."""

from collections.abc import Callable, Iterable
from typing import Final, Protocol, TypeAlias, TypeVar, final
from urllib.parse import parse_qsl

import msgspec
from gevent.pywsgi import WSGIServer

from briartack.addresses import Address
from briartack.caller_answers import refusal_body
from briartack.error_texts import UNKNOWN_PATH
from briartack.metrics import Metrics
from briartack.ports import BACKLOG

StateT = TypeVar('StateT')
Describe: TypeAlias = Callable[[StateT], dict[str, object]]
_Status: TypeAlias = dict[str, object]
_Reply: TypeAlias = tuple[str, str, bytes]
# Takes method, path and tenant of a call.
Explain: TypeAlias = Callable[[str, str, str], _Status]

_JSON: Final = 'application/json'
_TEXT: Final = 'text/plain; charset=utf-8'
_OK: Final = '200 OK'
_NOT_READY: Final = '503 Service Unavailable'
_NOT_FOUND: Final = '404 Not Found'


class _StartResponse(Protocol):
    def __call__(self, status: str, headers: list[tuple[str, str]]) -> object:
        """Begin the answer."""


@final
class OperatorPort:
    """Answer health, readiness, status, explanations and metrics."""

    __slots__ = ('_describe', '_explain', '_metrics', '_replies')

    def __init__(
        self,
        *,
        describe: Callable[[], _Status],
        explain: Explain,
        metrics: Metrics,
    ) -> None:
        """Report what `describe` returns, and the metrics."""
        self._describe = describe
        self._explain = explain
        self._metrics = metrics
        self._replies: dict[str, Callable[[str], _Reply]] = {
            '/healthz': self._health,
            '/readyz': self._readiness,
            '/status': self._status,
            '/explain': self._explanation,
            '/metrics': self._metrics_text,
        }

    def server(self, address: Address) -> WSGIServer:
        """Make the server for operators; it does not listen yet."""
        return WSGIServer(
            address,
            self._application,
            backlog=BACKLOG,
            log=None,
            error_log=None,
            environ={'SERVER_NAME': address[0], 'SERVER_PORT': address[1]},
        )

    def _application(
        self,
        environ: dict[str, str],
        start_response: _StartResponse,
    ) -> Iterable[bytes]:
        reply = self._replies.get(environ['PATH_INFO'], _unknown_path)
        status, content_type, body = reply(environ['QUERY_STRING'])
        start_response(
            status,
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _health(self, query: str) -> _Reply:
        return _OK, _JSON, b'{"status":"ok"}'

    def _readiness(self, query: str) -> _Reply:
        is_ready = self._describe().get('ready') is True
        body = msgspec.json.encode({'ready': is_ready})
        return _OK if is_ready else _NOT_READY, _JSON, body

    def _status(self, query: str) -> _Reply:
        return _OK, _JSON, msgspec.json.encode(self._describe(), enc_hook=str)

    def _explanation(self, query: str) -> _Reply:
        asked = dict(parse_qsl(query))
        explained = self._explain(
            asked.get('method', 'GET'),
            asked.get('path', '/'),
            asked.get('tenant', ''),
        )
        return _OK, _JSON, msgspec.json.encode(explained, enc_hook=str)

    def _metrics_text(self, query: str) -> _Reply:
        lines = [*self._metrics.lines(), '']
        return _OK, _TEXT, '\n'.join(lines).encode()


def _unknown_path(query: str) -> _Reply:
    return _NOT_FOUND, _JSON, refusal_body(UNKNOWN_PATH, '')
