"""The bytes of answers to callers."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Final

import msgspec

from briartack.core.effects import AnswerCall
from briartack.core.messages import Headers
from briartack.core.verdict import Verdict
from briartack.error_texts import error_text
from briartack.headers import CONTENT_LENGTH, first_value

_PHRASES: Final = MappingProxyType(
    {status.value: status.phrase for status in HTTPStatus},
)
_STATUSES_WITHOUT_BODY: Final = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)
_JSON: Final = ('Content-Type', 'application/json')


def key_body(key: str) -> bytes:
    """Return the body that carries an issued key."""
    return msgspec.json.encode({'key': key})


def refusal_body(code: str, detail: str) -> bytes:
    """Return the body that explains a refusal and names the fix."""
    known = error_text(code)
    text = ' '.join(part for part in (known.text, detail) if part)
    return msgspec.json.encode(
        {'code': code, 'text': text or code, 'fix': known.fix},
    )


def refusal(*, status: int, code: str, detail: str, method: str) -> bytes:
    """Return a whole answer that refuses a request before the core saw it."""
    return answer_bytes(
        status=status,
        verdict=Verdict.NOT_RUN,
        headers=(_JSON,),
        body=refusal_body(code, detail),
        method=method,
        connection='close',
    )


def answer_of(
    effect: AnswerCall,
    *,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    """Return the whole answer that the core decided."""
    headers = effect.headers
    if effect.reason:
        headers = (_JSON, *headers)
        body = refusal_body(effect.reason, effect.detail)
    elif effect.detail:
        headers = (_JSON, *headers)
        body = key_body(effect.detail)
    return answer_bytes(
        status=effect.status,
        verdict=effect.verdict,
        headers=headers,
        body=body,
        method=method,
        connection=connection,
    )


def answer_bytes(
    *,
    status: int,
    verdict: Verdict,
    headers: Headers,
    body: bytes,
    method: str,
    connection: str,
) -> bytes:
    """Return headers and body as one piece, for a single write."""
    lines = [f'HTTP/1.1 {status} {_PHRASES.get(status, "")}']
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append(f'Briartack-Verdict: {verdict.value}')
    if connection:
        lines.append(f'Connection: {connection}')
    if status in _STATUSES_WITHOUT_BODY:
        body = b''
    elif method == 'HEAD':
        if first_value(headers, CONTENT_LENGTH) is None:
            lines.append(f'Content-Length: {len(body)}')
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1', 'replace') + body
