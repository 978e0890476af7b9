"""Encode HTTP/1.1 responses to callers in the product's own dialect."""

import math
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers
from briartack.core.verdict import Verdict
from briartack.error_texts import get_error_text
from briartack.headers import CONTENT_LENGTH, find_header

_REASON_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus},
)
_STATUSES_WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)
_JSON_HEADER: Final = ('Content-Type', 'application/json')


def encode_key_body(key: str) -> bytes:
    """Encode the response body for an issued idempotency key."""
    return msgspec.json.encode({'key': key})


def encode_refusal_body(code: str, detail: str) -> bytes:
    """Encode the response body of a refusal: its code, reason and fix."""
    known = get_error_text(code)
    text = ' '.join(part for part in (known.text, detail) if part)
    return msgspec.json.encode(
        {'code': code, 'text': text or code, 'fix': known.fix},
    )


def encode_refusal(
    *,
    status: int,
    code: str,
    detail: str,
    method: str,
    retry_after_seconds: float,
    connection: str,
) -> bytes:
    """Encode the response to a request that never reached the core."""
    headers = [_JSON_HEADER]
    if retry_after_seconds:
        # RFC 9110 allows whole seconds only.
        headers.append(('Retry-After', str(math.ceil(retry_after_seconds))))
    return encode_response(
        status=status,
        verdict=Verdict.NOT_RUN,
        headers=tuple(headers),
        body=encode_refusal_body(code, detail),
        method=method,
        connection=connection,
    )


def encode_call_answer(
    effect: AnswerCall,
    *,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    """Encode the response for an `AnswerCall` effect.

    An effect with a reason becomes a refusal; an effect with only a detail
    carries an issued idempotency key.
    """
    headers = effect.headers
    if effect.reason:
        headers = (_JSON_HEADER, *headers)
        body = encode_refusal_body(effect.reason, effect.detail)
    elif effect.detail:
        headers = (_JSON_HEADER, *headers)
        body = encode_key_body(effect.detail)
    return encode_response(
        status=effect.status,
        verdict=effect.verdict,
        headers=headers,
        body=body,
        method=method,
        connection=connection,
    )


def encode_response(
    *,
    status: int,
    verdict: Verdict,
    headers: Headers,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    """Encode a response with its headers and body, for a single write."""
    lines = [f'HTTP/1.1 {status} {_REASON_PHRASES.get(status, "")}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append(f'Briartack-Verdict: {verdict.value}')
    if connection:
        lines.append(f'Connection: {connection}')
    if status in _STATUSES_WITHOUT_BODY:
        body = b''
    elif method == 'HEAD':
        if find_header(headers, CONTENT_LENGTH) is None:
            lines.append(f'Content-Length: {len(body)}')
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1', 'replace') + body
