"""One answer of an HTTP server, as it arrives on a connection."""

from collections.abc import Callable
from typing import Final, TypeAlias, final

from geventhttpclient.response import HTTPProtocolViolationError, HTTPResponse

from briartack.core.messages import Headers

_FIRST_FINAL_STATUS: Final = 200

IsExpected: TypeAlias = Callable[['HttpAnswer'], bool]


@final
class HttpAnswer(HTTPResponse):
    """Collect one answer up to a size.

    Interim answers, and answers that are not expected because they belong to
    an earlier request, are passed over.
    """

    def __init__(
        self,
        *,
        method: str,
        max_body_bytes: int,
        is_expected: IsExpected | None = None,
    ) -> None:
        """Start before the status line."""
        super().__init__(method=method)
        self.is_requested = False  # some of the request has been sent
        self._parts: list[bytes] = []
        self._received = 0
        self._max_body_bytes = max_body_bytes
        self._is_expected = is_expected
        self._is_whole = False

    @property
    def is_whole(self) -> bool:
        """Tell whether the final answer is complete."""
        return self._is_whole

    @property
    def is_oversize(self) -> bool:
        """Tell whether the body is larger than allowed."""
        return self._received > self._max_body_bytes

    @property
    def body(self) -> bytes:
        """Return what was received of the body."""
        return b''.join(self._parts)

    @property
    def header_pairs(self) -> Headers:
        """Return the headers in the order of arrival."""
        return tuple(self.items())

    def text(self, name: str) -> str:
        """Return a header that stands there once; empty otherwise."""
        found = self.get(name)
        return found if isinstance(found, str) else ''

    def _on_message_begin(self) -> None:
        if self._is_whole:
            raise HTTPProtocolViolationError('bytes follow the answer')
        self._parts.clear()
        self._received = 0
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() < _FIRST_FINAL_STATUS:
            return
        if self._is_expected is None or self._is_expected(self):
            self._is_whole = True

    def _on_body(self, buf: bytearray) -> None:
        self._received += len(buf)
        if not self.is_oversize:
            self._parts.append(bytes(buf))
