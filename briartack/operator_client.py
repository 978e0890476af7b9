"""Read JSON from the operator port of a daemon, for the command line."""

from http import HTTPStatus
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

    Raises OperatorError, also for an answer that is no success.
    """
    try:
        status, body = _request(address, path)
        answer = _decode_object(body)
    except (OSError, ValueError) as error:
        raise OperatorError(
            f'{address}: {error}; give the operator address as IP:PORT',
        ) from error
    if status != HTTPStatus.OK:
        raise OperatorError(f'{address}: status {status} for {path}: {answer}')
    return answer


def post(address: str, path: str) -> dict[str, Any]:
    """Send a command to a daemon; return its answer, which may be a refusal.

    Raises OperatorError.
    """
    try:
        _, body = _request(address, path, method='POST')
        return _decode_object(body)
    except (OSError, ValueError) as error:
        raise OperatorError(
            f'{address}: {error}; give the operator address as IP:PORT',
        ) from error


def _request(
    address: str, path: str, *, method: str = 'GET'
) -> tuple[int, bytes]:
    """Return the status and the body of an answer."""
    parts = urlsplit(f'//{address}')
    client = HTTPClient(
        parts.hostname or address,
        port=parts.port,
        connection_timeout=_TIMEOUT_SECONDS,
        network_timeout=_TIMEOUT_SECONDS,
    )
    try:
        response = client.request(method, path)
        return int(response.status_code), bytes(response.read())
    finally:
        client.close()


def _decode_object(body: bytes) -> dict[str, Any]:
    return decode_json(body, _DECODER)
