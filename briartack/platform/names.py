"""Define names of the platform that several modules use."""

import hashlib
import re
from typing import Final

# The team whose subtree holds the operators' configuration.
TEAM: Final = 'op'

ATTEMPT_ID: Final = 'X-Attempt-Id'  # identifies one attempt of a consumer
DEADLINE_MS: Final = 'X-Deadline-Ms'  # remaining time, not a time of day
EXPECT_INSTANCE: Final = 'X-Expect-Instance'  # id of an upstream, not a daemon
CALLER_SERVICE: Final = 'X-Caller-Service'
INSTANCE_ID: Final = 'X-Instance-Id'  # id of an upstream, not a daemon
SEAL: Final = 'X-Server-Seal'
NOT_EXECUTED: Final = 'X-Not-Executed'
LOAD: Final = 'X-Server-Load'  # running, waiting, slots
LIMIT: Final = 'Server-Limit'  # requests per second that an upstream takes
LEAVING: Final = 'Server-Leaving'  # an upstream that leaves says 1
API_KEY: Final = 'X-Api-Key'  # just the key of a tenant
STORE_ERA: Final = 'Store-Era'  # rises each time the store is restored
COLD_MS: Final = 'X-Cold-Ms'


_PRODUCT_NAME: Final = re.compile('[a-z][a-z0-9-]{0,62}')
_FOREIGN_CHARACTERS: Final = re.compile('[^a-z0-9]+')
# Begins the names that stand for names which the product does not allow.
_ENCODED_PREFIX: Final = 'x--'
_SHOWN_CHARACTERS: Final = 40
_DIGEST_BYTES: Final = 8
# What a header value must not contain, and white space at its ends, which
# readers of headers remove.
_UNSENDABLE: Final = re.compile(r'[\x00-\x1f\x7f%]|^ | $')


def encode_name(name: str) -> str:
    """Return the product's name for a name of any form.

    A name that the product allows stands for itself. Any other becomes a
    readable part and a digest, so that two names never become one.
    """
    is_allowed = _PRODUCT_NAME.fullmatch(name) is not None
    if is_allowed and not name.startswith(_ENCODED_PREFIX):
        return name
    readable = _FOREIGN_CHARACTERS.sub('-', name.lower())[:_SHOWN_CHARACTERS]
    digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES)
    return f'{_ENCODED_PREFIX}{readable}-{digest.hexdigest()}'


def format_header_value(text: str) -> str:
    """Return a text of any form as the value of a header.

    Other characters than ASCII are sent as UTF-8. What no header can carry is
    percent-encoded, and so is the percent sign, so that two texts never become
    one.
    """
    sendable = _UNSENDABLE.sub(lambda found: f'%{ord(found[0]):02X}', text)
    return sendable.encode(errors='surrogatepass').decode('latin-1')


def qualify_service(service: str) -> str:
    """Return the product's name of a service, with the team."""
    return f'{TEAM}/{encode_name(service)}'


def strip_team(service: str) -> str:
    """Return the platform's name of a service, without the team."""
    return service.removeprefix(f'{TEAM}/')
