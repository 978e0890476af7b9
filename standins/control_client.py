"""Send commands to the control interfaces of the stand-ins."""

from http import HTTPStatus
from typing import Any

import msgspec

from standins.client import call


class DeploymentError(Exception):
    """Report a deployment that failed to start, change or stop as expected."""


def send_control_command(
    address: str, command: str, **fields: object
) -> dict[str, Any]:
    """Send a command; raise OSError or DeploymentError if the command fails."""
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
