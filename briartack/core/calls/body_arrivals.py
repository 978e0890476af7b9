"""Estimate when the body of a call would be at each owner."""

from typing import Protocol

from briartack.core.calls.body_grants import compute_link_rate
from briartack.core.calls.body_waits import (
    AwaitedBody,
    BodyArrival,
    order_scopes,
)
from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.call_table import Call
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.routing import (
    LoadFunction,
    Scopes,
    find_nearest_scope,
)


class RoomFunction(Protocol):
    """Tell whether an owner has room for the body of a call."""

    def __call__(self, member: Member, *, is_near: bool) -> bool:
        """Return whether there is room; far owners need a free slot too."""


def describe_body(
    context: CallContext,
    now: float,
    call: Call,
    scopes: Scopes,
    endpoints: EndpointsState,
) -> AwaitedBody | None:
    """Return the body of a call, or `None` if no owner would have to grant it.

    The time of a call without a target, or whose target has passed, is that to
    its deadline. A run that waits for the call fails only at the deadline.
    """
    if not call.body_bytes or not may_need_grant(
        call.body_bytes, scopes, endpoints
    ):
        return None
    deadline_seconds = call.deadline - now
    return AwaitedBody(
        size=call.body_bytes,
        urgency=call.urgency,
        target_seconds=min(call.target_at - now, deadline_seconds),
        deadline_seconds=deadline_seconds,
        link_rate=context.rules.link_bytes_per_second,
        own_instance=context.identity.instance,
    )


def order_for_body(
    endpoints: EndpointsState,
    now: float,
    body: AwaitedBody,
    scopes: Scopes,
    *,
    load_of: LoadFunction,
    has_room: RoomFunction,
) -> Scopes:
    """Put the available owners in front that get a body soonest.

    Return no scope if those that have said so would all get it too late.
    """
    nearest = {
        member.instance for member in find_nearest_scope(scopes, load_of)
    }

    def arrival_of(member: Member) -> BodyArrival | None:  # noqa: WPS430
        if load_of(member) is None:
            return None
        if not has_room(member, is_near=member.instance in nearest):
            return None
        return _estimate_arrival(endpoints, now, body, member)

    return order_scopes(scopes, body, arrival_of)


def may_need_grant(
    body_bytes: int, scopes: Scopes, endpoints: EndpointsState
) -> bool:
    """Return whether any owner would have to grant a body of this size."""
    for scope in scopes:
        for member in scope:
            endpoint = endpoints.get(member.instance)
            if endpoint is not None and endpoint.needs_grant(body_bytes):
                return True
    return False


def _estimate_arrival(
    endpoints: EndpointsState,
    now: float,
    body: AwaitedBody,
    member: Member,
) -> BodyArrival | None:
    """Return when a body would be at an owner, `None` without a stream to it.

    The slower of the two links carries the body. A body for the upstream of
    this daemon needs no link.
    """
    if member.instance == body.own_instance:
        return BodyArrival(wait_seconds=0, transfer_seconds=0, is_stated=True)
    endpoint = endpoints.get(member.instance)
    if endpoint is None:
        return None
    rate = float('inf') if body.link_rate is None else body.link_rate
    if not endpoint.needs_grant(body.size):
        return BodyArrival(
            wait_seconds=0, transfer_seconds=body.size / rate, is_stated=True
        )
    assert endpoint.ungranted_body_bytes is not None
    rate = min(rate, compute_link_rate(endpoint.ungranted_body_bytes))
    return BodyArrival(
        wait_seconds=endpoint.body_wait.left_seconds(now),
        transfer_seconds=body.size / rate,
        is_stated=endpoint.body_wait.is_stated_for(body.urgency, now),
    )
