"""Read JSON from the operator port of a daemon, for the command line."""

from typing import Any, Final, final
from urllib.parse import urlsplit

import msgspec
from geventhttpclient import HTTPClient

from briartack.core.json_decoding import decode_json

_TIMEOUT_SECONDS: Final = 3.0
_DECODER: Final = msgspec.json.Decoder(dict[str, Any])


@final
class OperatorError(Exception):
    """Report a daemon that is unreachable or sent an invalid answer."""


def fetch(address: str, path: str) -> dict[str, Any]:
    """Return the JSON object that a daemon serves under a path.

    Raises OperatorError.
    """
    try:
        return _decode_object(_get_body(address, path))
    except (OSError, ValueError) as error:
        raise OperatorError(
            f'{address}: {error}; give the operator address as IP:PORT',
        ) from error


def post(address: str, path: str) -> dict[str, Any]:
    """Send a command to a daemon, and return its answer.

    Raises OperatorError.
    """
    try:
        return _decode_object(_get_body(address, path, method='POST'))
    except (OSError, ValueError) as error:
        raise OperatorError(
            f'{address}: {error}; give the operator address as IP:PORT',
        ) from error


def _get_body(address: str, path: str, *, method: str = 'GET') -> bytes:
    parts = urlsplit(f'//{address}')
    client = HTTPClient(
        parts.hostname or address,
        port=parts.port,
        connection_timeout=_TIMEOUT_SECONDS,
        network_timeout=_TIMEOUT_SECONDS,
    )
    try:
        return bytes(client.request(method, path).read())
    finally:
        client.close()


def _decode_object(body: bytes) -> dict[str, Any]:
    return decode_json(body, _DECODER)
