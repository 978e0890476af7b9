"""Implement the platform's caller dialect.

The callers are consumers and upstreams that send requests of their own.
"""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final, final

from briartack.caller_headers import RequestHeaders, parse_milliseconds
from briartack.caller_responses import encode_refusal_body
from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers
from briartack.core.verdict import Verdict
from briartack.credentials import digest_header
from briartack.headers import select_end_to_end
from briartack.platform.names import (
    API_KEY,
    ATTEMPT_ID,
    CALLER_SERVICE,
    DEADLINE_MS,
    EXPECT_INSTANCE,
)
from briartack.request_head import RequestHead

_JSON_HEADER: Final = ('Content-Type', 'application/json')
_DAEMON_HEADERS: Final = frozenset(
    name.lower() for name in (DEADLINE_MS, EXPECT_INSTANCE, CALLER_SERVICE)
)
_API_KEY_LOWER: Final = API_KEY.lower()
_REASON_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus},
)
# Statuses of refusals that a caller does not retry.
_NON_RETRYABLE_STATUSES: Final = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ),
)
_RETRYABLE_STATUSES: Final = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE),
)


@final
class PlatformCallerDialect:
    """Decode request heads and encode responses in the platform's format."""

    __slots__ = ('_caller_header',)

    def __init__(self, *, service: str) -> None:
        """Set the service whose upstream and consumers call this daemon.

        X-Caller-Service names this service in each forwarded request.
        """
        self._caller_header = (CALLER_SERVICE, service)

    def decode_head(
        self,
        *,
        method: str,
        target: str,
        headers: RequestHeaders,
        body_bytes: int | None,
    ) -> RequestHead:
        """Decode the head of a request.

        Raises RequestError.
        """
        kept: list[tuple[str, str]] = []
        keys: list[str] = []
        for name, text in select_end_to_end(headers.pairs):
            lower = name.lower()
            # Some upstreams do not distinguish underscores from dashes.
            if lower.replace('_', '-') == _API_KEY_LOWER:
                if lower == _API_KEY_LOWER and text:
                    keys.append(text)
            elif lower not in _DAEMON_HEADERS:
                kept.append((name, text))
        host = headers.get('host') or ''
        request_id = headers.get(ATTEMPT_ID) or ''
        return RequestHead(
            method=method,
            target=target,
            headers=(*kept, self._caller_header),
            tenant='',
            idempotency_key='',
            deadline_ms=parse_milliseconds(
                DEADLINE_MS, headers.get(DEADLINE_MS)
            ),
            is_nested=False,
            body_bytes=body_bytes,
            key_service='',
            host=host.partition(':')[0],
            request_id=request_id,
            # An upstream forms the id of its own request by appending a dot
            # and a suffix to the id of the request that it is running.
            parent_id=request_id.rpartition('.')[0],
            # Several keys count as one that is unknown, because two readers
            # of the request could take different ones.
            key_digest=digest_header(', '.join(keys)),
        )

    def encode_answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the response for an `AnswerCall` effect."""
        if not effect.reason:
            return _encode_response(
                effect.status, effect.headers, body, method, connection
            )
        headers = [_JSON_HEADER]
        status = _choose_status(effect)
        if status in _RETRYABLE_STATUSES:
            headers.append(_build_retry_after(effect.retry_after_seconds))
        body = encode_refusal_body(effect.reason, effect.detail)
        return _encode_response(
            status, tuple(headers), body, method, connection
        )

    def encode_refusal(
        self,
        *,
        status: int,
        code: str,
        detail: str,
        method: str,
        retry_after_seconds: float = 0,
        connection: str = 'close',
    ) -> bytes:
        """Encode the response to a request that never reached the core."""
        headers = [_JSON_HEADER]
        if retry_after_seconds:
            headers.append(_build_retry_after(retry_after_seconds))
        body = encode_refusal_body(code, detail)
        return _encode_response(
            status, tuple(headers), body, method, connection
        )


def _build_retry_after(seconds: float) -> tuple[str, str]:
    return 'Retry-After', f'{seconds:.3f}'


def _choose_status(effect: AnswerCall) -> int:
    """Choose the status of a refusal that matches its verdict.

    Statuses 408, 421, 429 and 503 guarantee that the request never runs; 502
    and 504 guarantee nothing.
    """
    if effect.verdict is Verdict.NOT_RUN:
        if effect.status in _NON_RETRYABLE_STATUSES | _RETRYABLE_STATUSES:
            return effect.status
        return HTTPStatus.SERVICE_UNAVAILABLE
    if effect.status == HTTPStatus.GATEWAY_TIMEOUT:
        return effect.status
    return HTTPStatus.BAD_GATEWAY


def _encode_response(
    status: int,
    headers: Headers,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    lines = [f'HTTP/1.1 {status} {_REASON_PHRASES.get(status, "")}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    if connection:
        lines.append(f'Connection: {connection}')
    lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    if method == 'HEAD':
        body = b''
    return '\r\n'.join(lines).encode('latin-1', 'replace') + body
