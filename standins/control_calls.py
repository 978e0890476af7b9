"""Calls to the control surfaces of the stand-ins."""

from http import HTTPStatus
from typing import Any

import msgspec

from standins.client import call


class DeploymentError(Exception):
    """Report a deployment that did not start, change or stop in order."""


def control(address: str, command: str, **fields: object) -> dict[str, Any]:
    """Send a command; raise OSError or DeploymentError if it fails."""
    answer = call(
        address,
        'POST',
        f'/control/{command}',
        body=msgspec.json.encode(fields),
    )
    if answer.status != HTTPStatus.OK:
        raise DeploymentError(f'{command} at {address}: {answer.body!r}')
    content: dict[str, Any] = answer.json()
    return content
