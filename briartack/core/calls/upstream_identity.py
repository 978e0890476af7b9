"""What the instance list says of the identity that the upstream states.

The address of an ended upstream may pass to an upstream of another service,
and only the list tells the service of an identity.
"""

from enum import Enum
from typing import final

from briartack.core.calls.call_context import CallContext
from briartack.core.effects import Count, Effects, LogLevel, WriteLog


@final
class Listing(Enum):
    """State how the instance list describes an identity."""

    UNNAMED = 'unnamed'  # the upstream has not stated an identity
    UNLISTED = 'unlisted'
    OTHER_SERVICE = 'other-service'
    OWN_SERVICE = 'own-service'


@final
class Evidence(Enum):
    """Name the source of a change of the upstream's identity or listing."""

    PROBE = 'probe'
    REFUSAL = 'refusal'  # the upstream was not the expected one
    LIST = 'list'


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


@final
class IdentityWatch:
    """Report each change of the upstream's identity and of its listing once."""

    __slots__ = ('_identity', '_listing')

    def __init__(self) -> None:
        self._identity = ''
        self._listing = Listing.UNNAMED

    def update(
        self, context: CallContext, identity: str, evidence: Evidence
    ) -> Effects:
        """Count and log the identity if it or its listing has changed.

        A platform without identities has no listing of them either.
        """
        if not context.rules.requires_identity:
            return []
        listing = find_listing(context, identity)
        if (identity, listing) == (self._identity, self._listing):
            return []
        previous = self._identity
        self._identity = identity
        self._listing = listing
        return [
            Count(
                name='upstream_identity_changes',
                attributes=(
                    ('evidence', evidence.value),
                    ('listing', listing.value),
                ),
            ),
            WriteLog(
                level=LogLevel.INFO,
                code='upstream-identity',
                fields=(
                    ('upstream', identity),
                    ('previous', previous),
                    ('listing', listing.value),
                    ('evidence', evidence.value),
                ),
            ),
        ]
