"""What the instance list says of the identity that the upstream states.

The address of an ended upstream may pass to an upstream of another service,
and only the list tells the service of an identity.
"""

from enum import Enum
from typing import final

from briartack.core.calls.call_context import CallContext
from briartack.core.calls.local_upstream import LocalUpstream


@final
class Listing(Enum):
    """State how the instance list describes an identity."""

    UNNAMED = 'unnamed'  # the upstream has not stated an identity
    UNLISTED = 'unlisted'
    OTHER_SERVICE = 'other-service'
    OWN_SERVICE = 'own-service'


def find_listing(context: CallContext, identity: str) -> Listing:
    """Return how the instance list describes an identity."""
    if not identity:
        return Listing.UNNAMED
    member = context.members.find_upstream(identity)
    if member is None:
        return Listing.UNLISTED
    if member.service != context.identity.service:
        return Listing.OTHER_SERVICE
    return Listing.OWN_SERVICE


def verify_identity(context: CallContext, upstream: LocalUpstream) -> Listing:
    """Verify the upstream's identity by the list; return its listing."""
    listing = find_listing(context, upstream.health.identity)
    upstream.health.verify(is_own_service=listing is Listing.OWN_SERVICE)
    return listing
