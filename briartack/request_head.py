"""Define the decoded head of a caller's request.

Caller dialects produce the head; the shell turns the head into events for the
core.
"""

from typing import final

import msgspec

from briartack.core.messages import Headers


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the request line and headers of one request, decoded."""

    method: str
    target: str
    headers: Headers
    tenant: str
    idempotency_key: str
    deadline_ms: float | None
    is_nested: bool
    body_bytes: int | None  # None for a chunked body
    key_service: str  # set only if the caller asks for an idempotency key
    host: str = ''
    request_id: str = ''
    # Id of the request that an upstream was running when it sent this one, if
    # the id of this request contains it.
    parent_id: str = ''
    key_digest: str = ''  # of the caller's API key; empty if it has none
