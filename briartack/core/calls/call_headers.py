"""Request headers that daemons read from callers and add for upstreams."""

from typing import Final

from briartack.core.configuration.settings import Priority
from briartack.core.messages import Attempt, Headers

OWN_HEADER_PREFIX: Final = 'briartack-'
ATTEMPT_ID_HEADER: Final = 'Briartack-Attempt'
DEADLINE_MS_HEADER: Final = 'Briartack-Deadline-Ms'
PRIORITY_HEADER: Final = 'Briartack-Priority'
HOME_REGIONS_HEADER: Final = 'Briartack-Home-Regions'
TENANT_HEADER: Final = 'X-Tenant'
_PRIORITY_HEADER_LOWER: Final = PRIORITY_HEADER.lower()
_TENANT_HEADER_LOWER: Final = TENANT_HEADER.lower()


def is_background(headers: Headers) -> bool:
    """Return whether a caller requests background priority."""
    # A generator would cost more than looping over the few headers of a call.
    for name, text in headers:
        if name.lower() != _PRIORITY_HEADER_LOWER:
            continue
        if text.strip().lower() == Priority.BACKGROUND.value:
            return True
    return False


def replace_tenant_header(headers: Headers, tenant: str | None) -> Headers:
    """Return headers with the tenant header of this daemon alone.

    Where callers have API keys, they must not state the tenant themselves. Some
    upstreams do not distinguish underscores from dashes in names.
    """
    kept = tuple(
        header
        for header in headers
        if header[0].lower().replace('_', '-') != _TENANT_HEADER_LOWER
    )
    return kept if tenant is None else (*kept, (TENANT_HEADER, tenant))


def select_forwarded_headers(headers: Headers, tenant: str) -> Headers:
    """Return a caller's headers without those that daemons set.

    Adds the tenant header if the caller has a tenant but sent no such header.
    """
    kept: list[tuple[str, str]] = []
    needs_tenant = bool(tenant)
    for header in headers:
        name = header[0].lower()
        if name.startswith(OWN_HEADER_PREFIX):
            continue
        if name == _TENANT_HEADER_LOWER:
            needs_tenant = False
        kept.append(header)
    if needs_tenant:
        kept.append((TENANT_HEADER, tenant))
    return tuple(kept)


def build_upstream_headers(
    attempt: Attempt, remaining_seconds: float
) -> Headers:
    """Return an attempt's headers with its id, remaining time and priority.

    The upstream passes the added headers on with its own calls.
    """
    priority = Priority.INTERACTIVE
    if not attempt.interactive:
        priority = Priority.BACKGROUND
    return (
        *attempt.headers,
        (ATTEMPT_ID_HEADER, attempt.attempt_id),
        (DEADLINE_MS_HEADER, str(max(0, int(remaining_seconds * 1000)))),
        (PRIORITY_HEADER, priority.value),
    )
