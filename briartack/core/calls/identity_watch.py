"""The owner's check that its upstream is one of its own service."""

from enum import Enum
from typing import final

from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import OwnedPhase
from briartack.core.calls.owner_runner import OwnerRunner
from briartack.core.calls.upstream_identity import Listing, verify_identity
from briartack.core.effects import Count, Effects, LogLevel, WriteLog


@final
class Evidence(Enum):
    """Name the source of a change of the upstream's identity or listing."""

    PROBE = 'probe'
    REFUSAL = 'refusal'  # the upstream was not the expected one
    LIST = 'list'


@final
class IdentityWatch:
    """Verify the upstream's identity, and report each change once.

    Attempts that wait for an upstream that is not verified are refused, so that
    their senders can choose other owners at once.
    """

    __slots__ = ('_upstream', '_runner', '_identity', '_listing')

    def __init__(self, *, upstream: LocalUpstream, runner: OwnerRunner) -> None:
        """Share the upstream and the attempts with the owner."""
        self._upstream = upstream
        self._runner = runner
        self._identity = ''
        self._listing = Listing.UNNAMED

    def update(
        self, context: CallContext, now: float, evidence: Evidence
    ) -> Effects:
        """Verify the identity; report it if it or its listing has changed.

        A platform without identities has no listing of them either.
        """
        if not context.rules.requires_identity:
            return []
        listing = verify_identity(context, self._upstream)
        effects = self._report(listing, evidence)
        if self._upstream.health.may_start:
            return effects
        # A joined attempt awaits the outcome of one that is running.
        refusals = self._runner.expire_where(
            now,
            reasons.UPSTREAM_UNVERIFIED,
            lambda record: record.phase is not OwnedPhase.JOINED,
        )
        return [*effects, *refusals]

    def _report(self, listing: Listing, evidence: Evidence) -> Effects:
        identity = self._upstream.health.identity
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
