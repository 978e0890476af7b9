"""Requests of consumers and of upstreams, and the answers to them."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final, final

from briartack.caller_answers import refusal_body
from briartack.caller_headers import RequestHeaders, milliseconds
from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers
from briartack.core.verdict import Verdict
from briartack.headers import end_to_end
from briartack.platform.names import (
    ATTEMPT_ID,
    CALLER_SERVICE,
    DEADLINE_MS,
    EXPECT_INSTANCE,
)
from briartack.request_head import RequestHead

_SET_BY_US: Final = frozenset(
    name.lower() for name in (DEADLINE_MS, EXPECT_INSTANCE, CALLER_SERVICE)
)
_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus},
)
# With these a refused request is not sent again.
_FINAL_REFUSALS: Final = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ),
)


@final
class PlatformCallerDialect:
    """Decode requests and encode answers."""

    __slots__ = ('_caller_header',)

    def __init__(self, *, service: str) -> None:
        """Name the service whose upstream and consumers call here."""
        self._caller_header = (CALLER_SERVICE, service)

    def head(
        self,
        *,
        method: str,
        target: str,
        headers: RequestHeaders,
        body_bytes: int | None,
    ) -> RequestHead:
        """Decode the head of a request; raise RequestError."""
        kept = tuple(
            pair
            for pair in end_to_end(headers.pairs)
            if pair[0].lower() not in _SET_BY_US
        )
        host = headers.get('host') or ''
        request_id = headers.get(ATTEMPT_ID) or ''
        return RequestHead(
            method=method,
            target=target,
            headers=(*kept, self._caller_header),
            tenant='',
            idempotency_key='',
            deadline_ms=milliseconds(DEADLINE_MS, headers.get(DEADLINE_MS)),
            is_nested=False,
            body_bytes=body_bytes,
            key_service='',
            host=host.partition(':')[0],
            request_id=request_id,
            # Upstreams extend the id of the request that they run.
            parent_id=request_id.rpartition('.')[0],
        )

    def answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the whole answer that the core decided."""
        if not effect.reason:
            return _encode(
                effect.status, effect.headers, body, method, connection
            )
        headers: list[tuple[str, str]] = [('Content-Type', 'application/json')]
        status = _status(effect)
        if status == HTTPStatus.SERVICE_UNAVAILABLE:
            wait = f'{effect.retry_after_seconds:.3f}'
            headers.append(('Retry-After', wait))
        body = refusal_body(effect.reason, effect.detail)
        return _encode(status, tuple(headers), body, method, connection)

    def refusal(
        self,
        *,
        status: int,
        code: str,
        detail: str,
        method: str,
    ) -> bytes:
        """Encode a refusal from before the core saw the request."""
        headers = (('Content-Type', 'application/json'),)
        body = refusal_body(code, detail)
        return _encode(status, headers, body, method, 'close')


def _status(effect: AnswerCall) -> int:
    """Choose a status that promises neither too much nor too little.

    408, 421, 429 and 503 promise that the request never runs; 502 and 504
    promise nothing.
    """
    if effect.verdict is Verdict.NOT_RUN:
        if effect.status in _FINAL_REFUSALS:
            return effect.status
        return HTTPStatus.SERVICE_UNAVAILABLE
    if effect.status == HTTPStatus.GATEWAY_TIMEOUT:
        return effect.status
    return HTTPStatus.BAD_GATEWAY


def _encode(
    status: int,
    headers: Headers,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    lines = [f'HTTP/1.1 {status} {_PHRASES.get(status, "")}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if connection:
        lines.append(f'Connection: {connection}')
    lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    if method == 'HEAD':
        body = b''
    return '\r\n'.join(lines).encode('latin-1', 'replace') + body
