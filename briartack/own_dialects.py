"""The product's own interface to callers, upstreams and the store."""

from typing import Annotated, Final, final
from urllib.parse import parse_qs, quote

import msgspec
from msgspec import Meta

from briartack.caller_answers import answer_of, refusal
from briartack.caller_headers import RequestError, RequestHeaders
from briartack.core.effects import AnswerCall, Dispatch, ReadStore
from briartack.core.entries import Entry
from briartack.core.events import UpstreamProbed
from briartack.core.messages import Headers
from briartack.core.units import Revision
from briartack.dialects import (
    Dialects,
    StoreAnswerError,
    StorePage,
    UpstreamResult,
)
from briartack.headers import (
    ATTEMPT,
    CONTENT_LENGTH,
    IDEMPOTENCY_KEY,
    TENANT,
    end_to_end,
    first_value,
)
from briartack.http_answer import HttpAnswer
from briartack.request_head import RequestHead

_KEYS_PATH: Final = '/.briartack/keys'
_STATUS_OK: Final = 200
_CRLF: Final = b'\r\n'
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))
_StoreRevision = Annotated[int, Meta(ge=0)]


@final
class OwnCallerDialect:
    """Speak with callers as docs/configuration.md says."""

    __slots__ = ()

    def head(
        self,
        *,
        method: str,
        target: str,
        headers: RequestHeaders,
        body_bytes: int | None,
    ) -> RequestHead:
        """Decode the head of a request; raise RequestError."""
        return RequestHead(
            method=method,
            target=target,
            headers=end_to_end(headers.pairs),
            tenant=headers.get(TENANT) or '',
            idempotency_key=headers.get(IDEMPOTENCY_KEY) or '',
            deadline_ms=headers.deadline_ms(),
            is_nested=headers.get(ATTEMPT) is not None,
            body_bytes=body_bytes,
            key_service=_key_service(method, target),
            host=headers.get('host') or '',
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
        return answer_of(
            effect,
            body=body,
            method=method,
            connection=connection,
        )

    def refusal(
        self,
        *,
        status: int,
        code: str,
        detail: str,
        method: str,
    ) -> bytes:
        """Encode a refusal from before the core saw the request."""
        return refusal(status=status, code=code, detail=detail, method=method)


class _ProbeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Decode the health endpoint; every field may be missing."""

    status: str = 'ok'
    identity: str = ''
    load: float | None = None


@final
class OwnUpstreamDialect:
    """Speak with the local upstream as docs/configuration.md says."""

    __slots__ = ()

    def request(self, effect: Dispatch, body: bytes, host: str) -> bytes:
        """Encode the request of an attempt."""
        # The headers of a call are end-to-end since its arrival.
        return encode_request(effect, effect.headers, body, host)

    def is_answer_to(self, effect: Dispatch, answer: HttpAnswer) -> bool:
        """Take every answer for that of the request before it."""
        return True

    def result(self, effect: Dispatch, answer: HttpAnswer) -> UpstreamResult:
        """Take every whole answer for the upstream's own."""
        return UpstreamResult(
            headers=_answer_headers(effect.method, answer.header_pairs),
        )

    def probe(self, path: str, host: str) -> bytes:
        """Encode a probe."""
        return encode_probe(path, host)

    def probed(self, now: float, answer: HttpAnswer | None) -> UpstreamProbed:
        """Decode the answer to a probe, if there is one."""
        if answer is None:
            health, code = _ProbeAnswer(status=''), 0
        else:
            health, code = _decode_probe(answer.body), answer.get_code()
        return UpstreamProbed(
            now=now,
            is_healthy=(
                code == _STATUS_OK and health.status in {'ok', 'draining'}
            ),
            is_draining=health.status == 'draining',
            identity=health.identity,
            reported_load=health.load,
        )


class _StoreEntry(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    revision: _StoreRevision
    value: str | None


class _StoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    revision: _StoreRevision
    entries: tuple[_StoreEntry, ...]


@final
class OwnStoreDialect:
    """Speak with a store as docs/design.md says."""

    __slots__ = ()

    def read_target(self, effect: ReadStore, after: str) -> str:
        """Return path and query of a read."""
        return f'/v1/entries?prefix={quote(effect.prefix, safe="")}'

    def watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return path and query of a watch."""
        return f'/v1/watch?after={after}&wait={wait_seconds:g}'

    def read_page(self, body: bytes) -> StorePage:
        """Decode the answer to a read; raise StoreAnswerError."""
        try:
            decoded = msgspec.json.decode(body, type=_StoreAnswer)
        except msgspec.MsgspecError as error:
            raise StoreAnswerError(str(error)) from None
        for found in decoded.entries:
            if found.revision > decoded.revision:
                raise StoreAnswerError(
                    f'{found.key} has revision '
                    f'{found.revision} above {decoded.revision}',
                )
        return StorePage(
            revision=Revision(decoded.revision),
            entries=tuple(
                Entry(
                    key=entry.key,
                    revision=Revision(entry.revision),
                    value=entry.value,
                )
                for entry in decoded.entries
            ),
        )

    def watch_page(self, body: bytes) -> StorePage:
        """Decode the answer to a watch; raise StoreAnswerError."""
        return self.read_page(body)


def encode_request(
    effect: Dispatch,
    headers: Headers,
    body: bytes,
    host: str,
) -> bytes:
    """Return the request of an attempt with these headers."""
    lines = [f'{effect.method} {effect.target} HTTP/1.1']
    if first_value(headers, 'host') is None:
        lines.append(f'Host: {host}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body or effect.method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {len(body)}')
    head = '\r\n'.join(lines).encode('latin-1', 'replace')
    return b''.join((head, _CRLF, _CRLF, body))


def encode_probe(path: str, host: str) -> bytes:
    """Return a GET request for a path."""
    return f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()


def own_dialects() -> Dialects:
    """Return the product's own dialects."""
    return Dialects(
        callers=OwnCallerDialect(),
        upstream=OwnUpstreamDialect(),
        store=OwnStoreDialect(),
    )


def _key_service(method: str, target: str) -> str:
    path, _, query = target.partition('?')
    if path != _KEYS_PATH:
        return ''
    services = parse_qs(query).get('service', [])
    if method != 'POST' or len(services) != 1:
        raise RequestError(
            f'Ask for a key with POST {_KEYS_PATH}?service=SERVICE.',
        )
    return services[0]


def _decode_probe(body: bytes) -> _ProbeAnswer:
    try:
        health = msgspec.json.decode(body, type=_ProbeAnswer)
    except msgspec.MsgspecError:
        # An answer in another form still says that the upstream is up.
        return _ProbeAnswer()
    if health.load is not None and not 0 <= health.load <= 1:
        return msgspec.structs.replace(health, load=None)
    return health


def _answer_headers(method: str, headers: Headers) -> Headers:
    kept = end_to_end(headers)
    if method != 'HEAD':
        return kept
    # The answer to HEAD names the length that GET would have.
    length = first_value(headers, CONTENT_LENGTH)
    return kept if length is None else (*kept, ('Content-Length', length))
