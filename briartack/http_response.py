"""Parse one HTTP response as it arrives on a connection."""

from collections.abc import Callable
from typing import Final, TypeAlias, final

from geventhttpclient.response import HTTPProtocolViolationError, HTTPResponse

from briartack.core.messages import Headers

_FIRST_FINAL_STATUS: Final = 200

IdentifyResponse: TypeAlias = Callable[['CollectedResponse'], str]


def identify_nothing(response: 'CollectedResponse') -> str:
    """Return an empty text: the response names no request."""
    return ''


@final
class CollectedResponse(HTTPResponse):
    """Represent one HTTP response and collect its body up to a limit.

    Interim (1xx) responses are skipped, and so are responses that name another
    request.
    """

    def __init__(
        self,
        *,
        method: str,
        max_body_bytes: int,
        request_id: str = '',
        identify_response: IdentifyResponse = identify_nothing,
    ) -> None:
        """Collect the response to a request with this method and id.

        `identify_response` returns the id of the request that a response names.
        """
        super().__init__(method=method)
        self.has_sent_bytes = False  # part of the request has been sent
        self._body_parts: list[bytes] = []
        self._received_bytes = 0
        self._max_body_bytes = max_body_bytes
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
        """Return whether the body exceeds the limit."""
        return self._received_bytes > self._max_body_bytes

    @property
    def body(self) -> bytes:
        """Return the part of the body received so far."""
        return b''.join(self._body_parts)

    @property
    def header_pairs(self) -> Headers:
        """Return the headers in the order of arrival."""
        return tuple(self.items())

    def get_single_value(self, name: str) -> str:
        """Return a header's value; empty if it is absent or repeated."""
        found = self.get(name)
        return found if isinstance(found, str) else ''

    def _on_message_begin(self) -> None:
        if self._is_whole:
            raise HTTPProtocolViolationError('bytes follow the response')
        self._body_parts.clear()
        self._received_bytes = 0
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() < _FIRST_FINAL_STATUS:
            return
        # A response that names no request is taken for the one of this request,
        # since a connection is closed after the first of this kind.
        named = self._identify_response(self)
        self._is_whole = named in {'', self._request_id}

    def _on_body(self, buf: bytearray) -> None:
        self._received_bytes += len(buf)
        if not self.is_oversize:
            self._body_parts.append(bytes(buf))
