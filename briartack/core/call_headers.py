"""Headers that daemons read from callers and add for upstreams."""

from typing import Final

from briartack.core.messages import Attempt, Headers
from briartack.core.settings import Priority

OWN_PREFIX: Final = 'briartack-'
ATTEMPT: Final = 'Briartack-Attempt'
DEADLINE_MS: Final = 'Briartack-Deadline-Ms'
PRIORITY: Final = 'Briartack-Priority'
HOME_REGIONS: Final = 'Briartack-Home-Regions'
TENANT: Final = 'X-Tenant'


def is_background(headers: Headers) -> bool:
    """Tell whether a caller asks for the lower priority."""
    return any(
        name.lower() == PRIORITY.lower()
        and text.strip().lower() == Priority.BACKGROUND.value
        for name, text in headers
    )


def forwarded(headers: Headers, tenant: str) -> Headers:
    """Keep a caller's headers, without those that daemons set."""
    kept = tuple(
        header
        for header in headers
        if not header[0].lower().startswith(OWN_PREFIX)
    )
    if not tenant or any(name.lower() == TENANT.lower() for name, _ in kept):
        return kept
    return (*kept, (TENANT, tenant))


def for_upstream(attempt: Attempt, remaining_seconds: float) -> Headers:
    """Add what the upstream passes on with its own calls."""
    priority = Priority.INTERACTIVE
    if not attempt.interactive:
        priority = Priority.BACKGROUND
    return (
        *attempt.headers,
        (ATTEMPT, attempt.attempt_id),
        (DEADLINE_MS, str(max(0, int(remaining_seconds * 1000)))),
        (PRIORITY, priority.value),
    )
