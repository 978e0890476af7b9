"""Why an owner refuses an attempt before it has a slot."""

from briartack.core.calls import placement, reasons
from briartack.core.calls.call_context import CallContext, SnapshotView
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.owned_attempts import OwnedAttempt
from briartack.core.calls.reasons import Reason
from briartack.core.configuration.settings import (
    InstanceState,
    PlatformSettings,
)
from briartack.core.messages import MAX_BODY_BYTES, Attempt


def refusal(
    context: CallContext,
    now: float,
    record: OwnedAttempt,
    upstream: LocalUpstream,
    *,
    is_stopping: bool,
) -> Reason | None:
    """Return why the attempt must not start here, if it must not."""
    if not now < record.deadline:
        return reasons.DEADLINE
    if is_stopping:
        return reasons.STOPPING
    snapshot = context.snapshot
    if snapshot is None:
        return reasons.NO_SNAPSHOT
    if not context.is_confirmed:
        return reasons.UNCONFIRMED
    return _unfit(context, snapshot, record.attempt, upstream)


def _unfit(
    context: CallContext,
    snapshot: SnapshotView,
    attempt: Attempt,
    upstream: LocalUpstream,
) -> Reason | None:
    """Return why this instance may not run the attempt."""
    own = context.identity
    regions = placement.read_regions(attempt.home_regions)
    if not placement.may_hold(regions, own.region):
        return reasons.PLACEMENT
    limits = snapshot.services.get(own.service)
    if attempt.service != own.service or limits is None:
        return reasons.WRONG_SERVICE
    member = context.members.get(own.instance)
    upstream.configure(limits, None if member is None else member.slots)
    if is_own_out(context, snapshot.platform):
        return reasons.OUT_OF_SERVICE
    if has_left(context, upstream.health.identity):
        return reasons.OUT_OF_SERVICE
    if attempt.body_bytes > MAX_BODY_BYTES:
        return reasons.BODY_TOO_LARGE
    return None if upstream.is_open else reasons.UPSTREAM_DOWN


def is_own_out(context: CallContext, platform: PlatformSettings) -> bool:
    """Tell whether this instance is out of service or leaving."""
    own = context.identity
    return (
        own.data_centre in platform.data_centres_out
        or own.instance in platform.instances_out
        or context.members.is_leaving(own.instance)
    )


def has_left(context: CallContext, identity: str) -> bool:
    """Tell whether the list says so of this start of the upstream.

    The list may name another start of it as well, and lists none at first.
    """
    record = context.members.record(identity) if identity else None
    return record is not None and record.state is not InstanceState.LIVE
