"""What varies between the product's own interfaces and a platform's.

The shell reads and writes sockets; a dialect knows names and formats. It keeps
nothing between two calls.
"""

from typing import Protocol, final

import msgspec

from briartack.caller_headers import RequestHeaders
from briartack.core.effects import AnswerCall, Dispatch, ReadStore
from briartack.core.entries import Entry
from briartack.core.events import UpstreamProbed
from briartack.core.messages import Headers
from briartack.core.units import Revision
from briartack.http_answer import HttpAnswer
from briartack.request_head import RequestHead


class CallerDialect(Protocol):
    """Read heads of callers' requests and write answers to them."""

    def head(
        self,
        *,
        method: str,
        target: str,
        headers: RequestHeaders,
        body_bytes: int | None,
    ) -> RequestHead:
        """Decode the head of a request; raise RequestError."""

    def answer(
        self,
        effect: AnswerCall,
        *,
        body: bytes,
        method: str,
        connection: str,
    ) -> bytes:
        """Encode the whole answer that the core decided."""

    def refusal(
        self,
        *,
        status: int,
        code: str,
        detail: str,
        method: str,
    ) -> bytes:
        """Encode a refusal from before the core saw the request."""


@final
class UpstreamResult(msgspec.Struct, frozen=True, kw_only=True):
    """Say what an answer of the upstream means for the request."""

    headers: Headers = ()
    failure: str = ''  # empty if the answer is the upstream's own
    has_run: bool = True  # false if the upstream says that it has not run
    identity: str = ''  # of the upstream that answered in place of another


class UpstreamDialect(Protocol):
    """Write requests to the local upstream and read its answers."""

    def request(self, effect: Dispatch, body: bytes, host: str) -> bytes:
        """Encode the request of an attempt."""

    def is_answer_to(self, effect: Dispatch, answer: HttpAnswer) -> bool:
        """Tell whether an answer belongs to the request of an attempt."""

    def result(self, effect: Dispatch, answer: HttpAnswer) -> UpstreamResult:
        """Decode a whole answer."""

    def probe(self, path: str, host: str) -> bytes:
        """Encode a probe."""

    def probed(self, now: float, answer: HttpAnswer | None) -> UpstreamProbed:
        """Decode the answer to a probe, if there is one."""


@final
class RefusedItem(msgspec.Struct, frozen=True, kw_only=True):
    """Name an item of the store that can't be used, and why."""

    key: str
    revision: Revision
    reason: str


@final
class StorePage(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one answer of the store."""

    revision: Revision
    entries: tuple[Entry, ...]
    refused: tuple[RefusedItem, ...] = ()
    next_after: str = ''  # the next page begins behind this key


class StoreDialect(Protocol):
    """Write calls to the store and read its answers."""

    def read_target(self, effect: ReadStore, after: str) -> str:
        """Return path and query of a read of one page."""

    def watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return path and query of a watch."""

    def read_page(self, body: bytes) -> StorePage:
        """Decode the answer to a read; raise StoreAnswerError."""

    def watch_page(self, body: bytes) -> StorePage:
        """Decode the answer to a watch; raise StoreAnswerError."""


@final
class StoreAnswerError(ValueError):
    """Report an answer of the store that can't be decoded."""


@final
class Dialects(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the dialects that one daemon speaks."""

    callers: CallerDialect
    upstream: UpstreamDialect
    store: StoreDialect
