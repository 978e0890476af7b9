"""Implement the product's own dialects for callers, upstream and store."""

from typing import Final, final
from urllib.parse import parse_qs, quote

import msgspec

from briartack.caller_headers import RequestError, RequestHeaders
from briartack.caller_responses import encode_call_answer, encode_refusal
from briartack.core.effects import AnswerCall, Dispatch, ReadStore
from briartack.core.entries import Entry
from briartack.core.events import UpstreamProbed
from briartack.core.json_decoding import MalformedJsonError, decode_json
from briartack.core.messages import Headers
from briartack.core.units import Era, Revision
from briartack.credentials import digest_header
from briartack.dialects import (
    Dialects,
    StoreAnswerError,
    StoreNumber,
    StorePage,
    UpstreamResult,
    decode_era_header,
)
from briartack.headers import (
    API_KEY,
    ATTEMPT,
    CONTENT_LENGTH,
    IDEMPOTENCY_KEY,
    TENANT,
    find_header,
    select_end_to_end,
)
from briartack.http_response import CollectedResponse
from briartack.request_head import RequestHead

_KEYS_PATH: Final = '/.briartack/keys'
_STORE_ERA: Final = 'X-Store-Era'
_STATUS_OK: Final = 200
_METHODS_WITH_BODY: Final = frozenset(('POST', 'PUT', 'PATCH'))


@final
class NativeCallerDialect:
    """Implement the caller interface that docs/configuration.md defines."""

    __slots__ = ()

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
        return RequestHead(
            method=method,
            target=target,
            headers=select_end_to_end(headers.pairs),
            tenant=headers.get(TENANT) or '',
            idempotency_key=headers.get(IDEMPOTENCY_KEY) or '',
            deadline_ms=headers.parse_deadline_ms(),
            is_nested=headers.get(ATTEMPT) is not None,
            body_bytes=body_bytes,
            key_service=_parse_key_service(method, target),
            host=headers.get('host') or '',
            key_digest=digest_header(headers.get(API_KEY)),
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
        return encode_call_answer(
            effect,
            body=body,
            method=method,
            connection=connection,
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
        return encode_refusal(
            status=status,
            code=code,
            detail=detail,
            method=method,
            retry_after_seconds=retry_after_seconds,
            connection=connection,
        )


class _ProbeAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the body of a health response; every field is optional."""

    status: str = 'ok'
    identity: str = ''
    load: float | None = None


_PROBE_ANSWER_DECODER: Final = msgspec.json.Decoder(_ProbeAnswer)


@final
class NativeUpstreamDialect:
    """Implement the upstream interface that docs/configuration.md defines."""

    __slots__ = ()

    def encode_request_head(
        self, effect: Dispatch, body_bytes: int, host: str
    ) -> bytes:
        """Encode the head of the HTTP request of an attempt."""
        # The caller dialect has removed all but end-to-end headers.
        return encode_request_head(effect, effect.headers, body_bytes, host)

    def identify_request(self, effect: Dispatch) -> str:
        """Return an empty text: responses arrive in the order of requests."""
        return ''

    def identify_response(self, response: CollectedResponse) -> str:
        """Return an empty text: responses name no requests."""
        return ''

    def decode_result(
        self, effect: Dispatch, response: CollectedResponse
    ) -> UpstreamResult:
        """Decode a response; every complete response counts as served."""
        return UpstreamResult(
            headers=_select_response_headers(
                effect.method, response.header_pairs
            ),
        )

    def encode_probe(self, path: str, host: str) -> bytes:
        """Encode the HTTP request of a health probe."""
        return encode_probe(path, host)

    def decode_probe(
        self, now: float, response: CollectedResponse | None
    ) -> UpstreamProbed:
        """Decode the response to a health probe.

        `response` is None if the probe failed.
        """
        if response is None:
            health, code = _ProbeAnswer(status=''), 0
        else:
            health, code = _decode_probe(response.body), response.get_code()
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
    """Represent one entry of a response; a `value` of None marks a deletion."""

    key: str
    revision: StoreNumber
    value: str | None


class _StoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the response body of a read or a watch."""

    revision: StoreNumber
    entries: tuple[_StoreEntry, ...]


_STORE_ANSWER_DECODER: Final = msgspec.json.Decoder(_StoreAnswer)


@final
class NativeStoreDialect:
    """Implement the store interface that docs/design.md defines."""

    __slots__ = ()

    def encode_read_target(self, effect: ReadStore, after: str) -> str:
        """Return the path and query that read a prefix in one page."""
        return f'/v1/entries?prefix={quote(effect.prefix, safe="")}'

    def decode_era(self, response: CollectedResponse) -> Era:
        """Return the era of the store; the first one if none is stated.

        Raises StoreAnswerError.
        """
        return decode_era_header(response, _STORE_ERA)

    def encode_watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return the path and query that watch for later revisions."""
        return f'/v1/watch?after={after}&wait={wait_seconds:g}'

    def decode_read_page(self, body: bytes) -> StorePage:
        """Decode the response to a read.

        Raises StoreAnswerError.
        """
        try:
            decoded = decode_json(body, _STORE_ANSWER_DECODER)
        except MalformedJsonError as error:
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

    def decode_watch_page(self, body: bytes) -> StorePage:
        """Decode the response to a watch.

        Raises StoreAnswerError.
        """
        return self.decode_read_page(body)


def encode_request_head(
    effect: Dispatch,
    headers: Headers,
    body_bytes: int,
    host: str,
) -> bytes:
    """Encode the head of an attempt as an HTTP request, with given headers."""
    lines = [f'{effect.method} {effect.target} HTTP/1.1']
    if find_header(headers, 'host') is None:
        lines.append(f'Host: {host}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    if body_bytes or effect.method in _METHODS_WITH_BODY:
        lines.append(f'Content-Length: {body_bytes}')
    lines.extend(('', ''))
    return '\r\n'.join(lines).encode('latin-1', 'replace')


def encode_probe(path: str, host: str) -> bytes:
    """Encode a GET request without a body."""
    return f'GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n'.encode()


def create_native_dialects() -> Dialects:
    """Create the product's own dialects."""
    return Dialects(
        callers=NativeCallerDialect(),
        upstream=NativeUpstreamDialect(),
        store=NativeStoreDialect(),
    )


def _parse_key_service(method: str, target: str) -> str:
    path, _, query = target.partition('?')
    if path != _KEYS_PATH:
        return ''
    services = parse_qs(query).get('service', [])
    if method != 'POST' or len(services) != 1:
        raise RequestError(
            f'Request a key with POST {_KEYS_PATH}?service=SERVICE.',
        )
    return services[0]


def _decode_probe(body: bytes) -> _ProbeAnswer:
    try:
        health = decode_json(body, _PROBE_ANSWER_DECODER)
    except MalformedJsonError:
        # A response in another format still shows that the upstream is up.
        return _ProbeAnswer()
    if health.load is not None and not 0 <= health.load <= 1:
        return msgspec.structs.replace(health, load=None)
    return health


def _select_response_headers(method: str, headers: Headers) -> Headers:
    kept = select_end_to_end(headers)
    if method != 'HEAD':
        return kept
    # A response to HEAD states the length of the body that GET would return.
    length = find_header(headers, CONTENT_LENGTH)
    return kept if length is None else (*kept, ('Content-Length', length))
