"""Parse one HTTP response as it arrives on a connection."""

import math
from collections.abc import Callable
from typing import Final, TypeAlias, final

from geventhttpclient.response import HTTPProtocolViolationError, HTTPResponse

from briartack.body_budget import BodyBudget
from briartack.core.messages import Headers

_FIRST_FINAL_STATUS: Final = 200
# RFC 9110, section 15: a status outside this range is invalid.
_FIRST_STATUS: Final = 100
_LAST_STATUS: Final = 599
# Heads, trailers and chunk sizes may take so many bytes, and so many more for
# each byte of a body: a chunk of one byte has a frame of five.
_MAX_FRAMING_BYTES: Final = 65536
_FRAMING_PER_BODY_BYTE: Final = 5

IdentifyResponse: TypeAlias = Callable[['CollectedResponse'], str]


def identify_nothing(response: 'CollectedResponse') -> str:
    """Return an empty text: the response names no request."""
    return ''


@final
class CollectedResponse(HTTPResponse):
    """Represent one HTTP response and collect its body up to a limit.

    Interim (1xx) responses are skipped, and so are responses that name another
    request. All bytes count towards a limit, also those that are not kept.
    """

    def __init__(
        self,
        *,
        method: str,
        max_body_bytes: int,
        request_id: str = '',
        identify_response: IdentifyResponse = identify_nothing,
        budget: BodyBudget | None = None,
    ) -> None:
        """Collect the response to a request with this method and id.

        `identify_response` returns the id of the request that a response names.
        `budget` limits the bodies of several responses together.
        """
        super().__init__(method=method)
        self.has_sent_bytes = False  # part of the request has been sent
        self._body_parts: list[bytes] = []
        self._body_bytes = 0  # of the present response
        self._held_bytes = 0  # of its body
        self._fed_bytes = 0  # of all responses, with their heads
        self._fed_body_bytes = 0  # of all responses
        self._max_body_bytes = max_body_bytes
        self._budget = budget
        self._is_dropped = False
        self._request_id = request_id
        self._identify_response = identify_response
        self._is_whole = False

    @property
    def is_complete(self) -> bool:
        """Return whether the expected final response is complete."""
        return self._is_whole

    @property
    def is_named(self) -> bool:
        """Return whether the response names its request, if it should."""
        return self._identify_response(self) == self._request_id

    @property
    def is_oversize(self) -> bool:
        """Return whether the bytes that arrived exceed a limit."""
        skipped_bytes = self._fed_body_bytes - self._body_bytes
        framing_bytes = self._fed_bytes - self._fed_body_bytes
        return (
            self._is_dropped
            or max(self._body_bytes, skipped_bytes) > self._max_body_bytes
            or framing_bytes
            > _MAX_FRAMING_BYTES + _FRAMING_PER_BODY_BYTE * self._fed_body_bytes
        )

    @property
    def held_bytes(self) -> int:
        """Return the size of the part of the body that is held."""
        return self._held_bytes

    @property
    def is_open_ended(self) -> bool:
        """Return whether the head states no length of the body."""
        return self.get('content-length') is None

    @property
    def keep_alive_seconds(self) -> float:
        """Return the stated time that an idle connection stays open.

        Returns infinity if the response states none.
        """
        for field in self.get_single_value('keep-alive').split(','):
            name, _, text = field.partition('=')
            if name.strip().lower() == 'timeout' and text.strip().isdecimal():
                return float(text)
        return math.inf

    @property
    def body(self) -> bytes:
        """Return the part of the body received so far."""
        if len(self._body_parts) != 1:
            # Later readers get the same object and the parts are freed.
            self._body_parts = [b''.join(self._body_parts)]
        return self._body_parts[0]

    @property
    def header_pairs(self) -> Headers:
        """Return the headers in the order of arrival."""
        return tuple(self.items())

    def feed(self, data: str | bytes) -> None:
        """Parse the next bytes of the connection."""
        self._fed_bytes += len(data)
        super().feed(data)

    def drop_body(self) -> None:
        """Give up the body, which counts as too large from now on."""
        self._is_dropped = True
        self._clear_body()

    def wait_for_room(self) -> None:
        """Wait until the memory has room for more of the body."""
        if self._budget is not None:
            self._budget.wait_for_room(self)

    def release_budget(self) -> None:
        """Stop counting the body towards the limit of several responses."""
        if self._budget is not None:
            self._budget.release(self)

    def get_single_value(self, name: str) -> str:
        """Return a header's value; empty if it is absent or repeated."""
        found = self.get(name)
        return found if isinstance(found, str) else ''

    def _on_message_begin(self) -> None:
        if self._is_whole:
            raise HTTPProtocolViolationError('bytes follow the response')
        self.release_budget()
        self._clear_body()
        self._body_bytes = 0
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if not _FIRST_STATUS <= status <= _LAST_STATUS:
            raise HTTPProtocolViolationError(f'status {status} is invalid')
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() < _FIRST_FINAL_STATUS:
            return
        # A response that names no request is taken for the one of this request,
        # since a connection is closed after the first of this kind.
        named = self._identify_response(self)
        self._is_whole = named in {'', self._request_id}

    def _on_body(self, buf: bytearray) -> None:
        self._body_bytes += len(buf)
        self._fed_body_bytes += len(buf)
        if self._is_dropped or self._body_bytes > self._max_body_bytes:
            return
        self._body_parts.append(bytes(buf))
        self._held_bytes += len(buf)
        if self._budget is not None:
            self._budget.admit(self, len(buf))

    def _clear_body(self) -> None:
        self._body_parts.clear()
        self._held_bytes = 0
