"""Reads JSON from the operator port of a daemon, for the command line."""

from typing import Any, Final, final
from urllib.parse import urlsplit

import msgspec
from geventhttpclient import HTTPClient

_TIMEOUT_SECONDS: Final = 3.0


@final
class OperatorError(Exception):
    """Report a daemon that gave no usable answer, with its address."""


def fetch(address: str, path: str) -> dict[str, Any]:
    """Read a JSON object from a path.

    Raises OperatorError.
    """
    try:
        return _decode(_read(address, path))
    except (OSError, ValueError, msgspec.DecodeError) as error:
        raise OperatorError(
            f'{address}: {error}; give the operator address as IP:PORT',
        ) from error


def _read(address: str, path: str) -> bytes:
    parts = urlsplit(f'//{address}')
    client = HTTPClient(
        parts.hostname or address,
        port=parts.port,
        connection_timeout=_TIMEOUT_SECONDS,
        network_timeout=_TIMEOUT_SECONDS,
    )
    try:
        return bytes(client.get(path).read())
    finally:
        client.close()


def _decode(body: bytes) -> dict[str, Any]:
    return msgspec.json.decode(body, type=dict[str, Any])
