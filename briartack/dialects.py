"""Define the interfaces between the shell and a wire dialect.

A dialect encodes and decodes the messages to callers, the upstream and the
store. A daemon uses the product's own dialect or that of a platform. The shell
(the I/O modules) reads and writes the sockets. A dialect keeps no state between
two calls.
"""

from typing import Annotated, Final, Protocol, TypeAlias, final

import msgspec
from msgspec import Meta

from briartack.caller_headers import RequestHeaders
from briartack.core.effects import AnswerCall, Dispatch, ReadStore
from briartack.core.entries import Entry
from briartack.core.events import LoadReport, UpstreamProbed
from briartack.core.messages import Headers
from briartack.core.units import (
    FIRST_ERA,
    MAX_STORE_NUMBER,
    Era,
    Revision,
)
from briartack.http_response import CollectedResponse
from briartack.request_head import RequestHead

_ERA_DIGITS: Final = 6
_SHOWN_CHARACTERS: Final = 40


# The number that the store gives to a change, in its present era.
StoreNumber: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_STORE_NUMBER)]


class CallerDialect(Protocol):
    """Decode the heads of callers' requests and encode responses."""

    def decode_head(
        self,
        *,
        method: str,
        target: str,
        headers: RequestHeaders,
        body_bytes: int | None,
    ) -> RequestHead:
        """Decode the head of a request.

        `body_bytes` is None for a chunked body. Raises RequestError.
        """

    def encode_answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the response for an `AnswerCall` effect."""

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
        """Encode the response to a request that never reached the core.

        The caller is told when to retry unless that is 0. `connection` is the
        Connection header, or empty.
        """


@final
class UpstreamResult(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the outcome of an attempt, decoded from the response."""

    headers: Headers = ()
    failure: str = ''  # empty if the upstream served the request
    # False if the upstream states that the request did not run.
    has_run: bool = True
    # Id of the upstream that answered, if another upstream was expected.
    identity: str = ''
    # Requests per second that the upstream says it takes, if it states any.
    stated_limit: float | None = None
    is_leaving: bool = False  # the upstream says that it leaves
    # A statement about the upstream that is malformed and therefore ignored.
    refused_statement: str = ''
    load_report: LoadReport | None = None
    refused_load: str = ''  # the same for the stated load


class UpstreamDialect(Protocol):
    """Encode requests to the local upstream and decode its responses."""

    def encode_request_head(
        self, effect: Dispatch, body_bytes: int, host: str
    ) -> bytes:
        """Encode the head of the HTTP request of an attempt."""

    def identify_request(self, effect: Dispatch) -> str:
        """Return the id that the response to an attempt repeats.

        Empty if responses name no requests.
        """

    def identify_response(self, response: CollectedResponse) -> str:
        """Return the id of the request that a response names, if any."""

    def decode_result(
        self, effect: Dispatch, response: CollectedResponse
    ) -> UpstreamResult:
        """Decode a complete response to the request of an attempt."""

    def encode_probe(self, path: str, host: str) -> bytes:
        """Encode the HTTP request of a health probe."""

    def decode_probe(
        self, now: float, response: CollectedResponse | None
    ) -> UpstreamProbed:
        """Decode the response to a health probe.

        `response` is None if the probe failed.
        """


@final
class RefusedItem(msgspec.Struct, frozen=True, kw_only=True):
    """Represent an item of the store that is unusable, with the reason."""

    key: str
    revision: Revision
    reason: str


@final
class StorePage(msgspec.Struct, frozen=True, kw_only=True):
    """Represent one page of a read, or the result of a watch."""

    revision: Revision
    entries: tuple[Entry, ...]
    refused: tuple[RefusedItem, ...] = ()
    # Keys that the store holds, but whose values were refused.
    unusable_keys: tuple[str, ...] = ()
    next_after: str = ''  # last key of this page; empty on the final page
    era: Era = FIRST_ERA


class StoreDialect(Protocol):
    """Encode request targets for the store and decode its responses."""

    def encode_read_target(self, effect: ReadStore, after: str) -> str:
        """Return the path and query that read one page of a prefix.

        `after` is the last key of the previous page; empty for the first page.
        """

    def encode_watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return the path and query that watch for later revisions."""

    def decode_era(self, response: CollectedResponse) -> Era:
        """Return the era of the store in which it sent a response.

        Raises StoreAnswerError.
        """

    def decode_read_page(self, body: bytes) -> StorePage:
        """Decode the response to a read.

        Raises StoreAnswerError.
        """

    def decode_watch_page(self, body: bytes) -> StorePage:
        """Decode the response to a watch.

        Raises StoreAnswerError.
        """


@final
class StoreAnswerError(ValueError):
    """Report a response of the store that cannot be decoded."""


def decode_era_header(response: CollectedResponse, name: str) -> Era:
    """Return the era in a header of the store; the first one if it is absent.

    Raises StoreAnswerError.
    """
    stated = response.get(name)
    if stated is None:
        return FIRST_ERA
    text = str(stated)
    if not (text.isascii() and text.isdigit() and len(text) <= _ERA_DIGITS):
        raise StoreAnswerError(
            f'header {name} is no number: {text[:_SHOWN_CHARACTERS]!r}'
        )
    return Era(int(text))


@final
class Dialects(msgspec.Struct, frozen=True, kw_only=True):
    """Group the three dialects of one daemon."""

    callers: CallerDialect
    upstream: UpstreamDialect
    store: StoreDialect
