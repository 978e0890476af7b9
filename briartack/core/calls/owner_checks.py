"""Checks that an owner applies to an attempt before it gets a slot."""

from typing import Final

from briartack.core.calls import placement, reasons
from briartack.core.calls.call_context import CallContext, SnapshotView
from briartack.core.calls.drain import DrainState
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import OwnedAttempt
from briartack.core.calls.reasons import Reason
from briartack.core.calls.upstream_identity import verify_identity
from briartack.core.configuration.settings import PlatformSettings
from briartack.core.messages import Attempt

# If run times are distributed exponentially, 2 % of the runs take longer than
# this many times the mean.
KEY_MEANS: Final = 4


def find_refusal_reason(
    context: CallContext,
    now: float,
    record: OwnedAttempt,
    upstream: LocalUpstream,
    *,
    drain: DrainState,
    is_stopping: bool,
) -> Reason | None:
    """Return why the attempt must be refused, or `None` if it may start."""
    if not now < record.deadline:
        return reasons.DEADLINE
    if is_stopping:
        return reasons.STOPPING
    if is_stop_too_near(drain, now, record, upstream):
        return reasons.STOP_TOO_NEAR
    snapshot = context.snapshot
    if snapshot is None:
        return reasons.NO_SNAPSHOT
    if not context.is_confirmed:
        return reasons.UNCONFIRMED
    return _find_ineligibility(context, snapshot, record.attempt, upstream)


def is_stop_too_near(
    drain: DrainState,
    now: float,
    record: OwnedAttempt,
    upstream: LocalUpstream,
) -> bool:
    """Return whether a planned stop may abort the run of a peer's attempt."""
    return now > find_latest_start(drain, now, record, upstream)


def find_latest_start(
    drain: DrainState,
    now: float,
    record: OwnedAttempt,
    upstream: LocalUpstream,
) -> float:
    """Return until when a planned stop allows the start of an attempt.

    The run may last until the deadline of the attempt. Only if no other owner
    can take the attempt, the longest of many known runs bounds the start. The
    call of a local attempt ends with the same stop, so its sender decides.
    """
    if record.peer is None or record.deadline <= drain.deadline:
        return float('inf')
    if record.attempt.is_last_resort:
        return drain.deadline - upstream.run_bound.compute_seconds(now)
    if record.attempt.idempotency_key:
        # Only its owner may ever run the request.
        return drain.deadline - KEY_MEANS * upstream.mean_seconds
    return float('-inf')


def _find_ineligibility(
    context: CallContext,
    snapshot: SnapshotView,
    attempt: Attempt,
    upstream: LocalUpstream,
) -> Reason | None:
    """Return why this instance may not run the attempt, or `None`.

    The present limits of the service are applied to the upstream first.
    """
    identity = context.identity
    regions = placement.parse_regions(attempt.home_regions)
    if not placement.may_hold(regions, identity.region):
        return reasons.PLACEMENT
    limits = snapshot.services.get(identity.service)
    if attempt.service != identity.service or limits is None:
        return reasons.WRONG_SERVICE
    member = context.members.get(identity.instance)
    upstream.configure(limits, None if member is None else member.slots)
    if is_own_instance_out_of_service(context, snapshot.platform):
        return reasons.OUT_OF_SERVICE
    if is_upstream_leaving(context, upstream.health.identity):
        return reasons.OUT_OF_SERVICE
    if attempt.body_bytes > snapshot.caller_limits.body_limit:
        return reasons.BODY_TOO_LARGE
    return _find_upstream_problem(context, upstream)


def _find_upstream_problem(
    context: CallContext, upstream: LocalUpstream
) -> Reason | None:
    verify_identity(context, upstream)
    if upstream.health.identity and not upstream.health.may_start:
        return reasons.UPSTREAM_UNVERIFIED
    return None if upstream.is_open else reasons.UPSTREAM_DOWN


def is_own_instance_out_of_service(
    context: CallContext, platform: PlatformSettings
) -> bool:
    """Return whether this instance is out of service or leaving."""
    identity = context.identity
    return (
        identity.data_centre in platform.data_centres_out
        or identity.instance in platform.instances_out
        or context.members.is_leaving(identity.instance)
    )


def is_upstream_leaving(context: CallContext, identity: str) -> bool:
    """Return whether the upstream leaves, or its record was deleted.

    `identity` names one start of the upstream process. The instance list may
    also hold a record of another start, and may not hold one of this start yet.
    """
    return bool(identity) and context.members.is_upstream_leaving(identity)
