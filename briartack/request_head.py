"""What the head of a caller's request says."""

from typing import final

import msgspec

from briartack.core.messages import Headers


@final
class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what the head of a request says."""

    method: str
    target: str
    headers: Headers
    tenant: str
    idempotency_key: str
    deadline_ms: float | None
    is_nested: bool
    body_bytes: int | None
    key_service: str  # not empty when the caller asks for a key
    host: str = ''
    request_id: str = ''
    # The request whose run would make this one, if its id tells.
    parent_id: str = ''
