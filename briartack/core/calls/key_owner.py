"""Selection of the only instance that may run a call with a key."""

from briartack.core.calls import placement
from briartack.core.calls.call_context import CallContext, Member, Regions
from briartack.core.calls.call_table import Call
from briartack.core.calls.choice_types import (
    ChosenEndpoint,
    EndpointChoice,
    SelectionFailure,
)
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.routing import is_out_of_service
from briartack.core.calls.streams import dial_nearest
from briartack.core.rendezvous import rank


def choose_key_owner(
    endpoints: EndpointsState,
    context: CallContext,
    now: float,
    call: Call,
    regions: Regions,
) -> EndpointChoice:
    """Choose the only instance that may run a call with an idempotency key.

    A key issued by a daemon names its owner. A key made by the caller is
    hashed over the live instance list, so daemons whose lists differ may
    choose different owners.
    """
    owner = _find_key_owner(endpoints, context, call, regions)
    if owner is None:
        is_issued = call.issued_key is not None
        return (
            SelectionFailure.KEY_OWNER_GONE
            if is_issued
            else SelectionFailure.NO_ENDPOINT
        )
    if not placement.may_hold(regions, owner.region):
        return SelectionFailure.PLACEMENT
    if owner.instance == context.identity.instance:
        return ChosenEndpoint(member=owner, regions=regions)
    if endpoints.get(owner.instance) is not None:
        return ChosenEndpoint(member=owner, regions=regions)
    dials = dial_nearest(context, now, ((owner,),), endpoints)
    return SelectionFailure.NO_ENDPOINT if dials is None else dials


def _find_key_owner(
    endpoints: EndpointsState,
    context: CallContext,
    call: Call,
    regions: Regions,
) -> Member | None:
    """Return the owner of the call's key, or `None` if it is gone.

    The owner of an issued key is gone once it has restarted, which changes
    its incarnation.
    """
    issued = call.issued_key
    if issued is None:
        return _select_hashed_owner(context, call, regions)
    incarnation = context.identity.incarnation
    if issued.instance != context.identity.instance:
        endpoint = endpoints.get(issued.instance)
        incarnation = endpoint.incarnation if endpoint else issued.incarnation
    if issued.incarnation != incarnation:
        return None
    return context.members.get(issued.instance)


def _select_hashed_owner(
    context: CallContext,
    call: Call,
    regions: Regions,
) -> Member | None:
    """Return the available instance with the lowest hash for a key.

    Instances outside the home regions, out of service or about to stop are
    not available.
    """
    snapshot = context.snapshot
    members = context.members
    key = call.event.idempotency_key
    return min(
        (
            member
            for member in members.live_members_of(call.share.service)
            if snapshot is not None
            and placement.may_hold(regions, member.region)
            and not is_out_of_service(snapshot.platform, member)
            and not members.is_leaving(member.instance)
        ),
        key=lambda member: rank(key, member.instance),
        default=None,
    )
