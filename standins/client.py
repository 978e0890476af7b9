"""Provide the HTTP client of tests and tools, which never retries a request.

geventhttpclient retries an idempotent request whose connection breaks; a tool
that counts runs must see the outcome of the first attempt instead.
"""

import socket
from dataclasses import dataclass
from typing import Any, Final, final

import msgspec
from geventhttpclient.client import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from standins.http_server import parse_address

TIMEOUT_SECONDS: Final = 10.0
SIZE_WITHOUT_RETRIES: Final = -1


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Hold a complete response with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        """Return the verdict header, or an empty string if there is none."""
        return self.headers.get('briartack-verdict', '')

    def json(self) -> Any:
        """Decode the body; raise msgspec.DecodeError for invalid JSON."""
        return msgspec.json.decode(self.body)


@final
class _NoRetryPool(ConnectionPool):
    """Pool connections that send without delay and allow no retry."""

    def __init__(self, *, host: str, port: int, size: int, timeout: float):
        super().__init__(
            host,
            port,
            host,
            port,
            size=size,
            connection_timeout=timeout,
            network_timeout=timeout,
        )
        # HTTPClient retries a request up to `size + 1` times.
        self.size = SIZE_WITHOUT_RETRIES

    def after_connect(self, sock: Any) -> None:
        """Disable Nagle's algorithm on a new connection."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


@final
class Client(HTTPClient):
    """Send requests to one address over a pool of connections."""

    def __init__(
        self,
        *,
        address: str,
        connections: int = 1,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ) -> None:
        host, port = parse_address(address)
        super().__init__(host, port=port)
        self._connection_pool = _NoRetryPool(
            host=host,
            port=port,
            size=connections,
            timeout=timeout_seconds,
        )

    def call(
        self,
        method: str,
        target: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> Answer:
        """Send a request; raise OSError if no complete response arrives."""
        try:
            response = self.request(method, target, body, headers or {})
            content = bytes(response.read())
        except OSError:
            raise
        except Exception as error:
            # The library raises its own types for malformed responses.
            raise ConnectionError(str(error)) from error
        return Answer(
            status=response.status_code,
            headers={
                str(name).lower(): str(text) for name, text in response.items()
            },
            body=content,
        )


def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_seconds: float = TIMEOUT_SECONDS,
) -> Answer:
    """Send a request on a new connection; raise OSError on failure."""
    client = Client(address=address, timeout_seconds=timeout_seconds)
    try:
        return client.call(method, target, headers=headers, body=body)
    finally:
        client.close()
