"""Checks and routing of a new call, before its body is read.

Also builds the answers to calls that no upstream answered.
"""

import re
from random import Random
from typing import Final

import msgspec

from briartack.core.calls import placement, reasons
from briartack.core.calls.call_context import (
    CallContext,
    Regions,
    RouteView,
    ShareView,
    SnapshotView,
)
from briartack.core.calls.call_headers import (
    HOME_REGIONS_HEADER,
    is_background,
    replace_tenant_header,
    select_forwarded_headers,
)
from briartack.core.calls.call_table import Call
from briartack.core.calls.idempotency import parse_key
from briartack.core.calls.owned_attempts import EMPTY_DIGEST
from briartack.core.calls.reasons import Reason
from briartack.core.calls.routing import RoutingState
from briartack.core.configuration.settings import Policy, Priority
from briartack.core.effects import AnswerCall
from briartack.core.events import CallArrived
from briartack.core.messages import Headers
from briartack.core.tenants.identification import (
    CallOrigin,
    compute_rank,
    identify,
)
from briartack.core.units import MILLISECONDS_PER_SECOND, CallId
from briartack.core.verdict import Verdict

# A retry after this share of the target leaves most of the target time.
RETRY_AFTER_TARGET_RATIO: Final = 0.25
RETRY_AFTER_JITTER_RATIO: Final = 0.5
DEFAULT_TARGET_MS: Final = 1000
_NOT_RUN_STATUSES: Final = frozenset(
    (reasons.TOO_MANY_REQUESTS, reasons.UNAVAILABLE)
)
# Matches dot segments, empty segments, and percent-encoded slashes, backslashes
# or characters that need no encoding. If only the upstream normalised such a
# path, it could bypass the route that restricts it to home regions.
_AMBIGUOUS_PATH_PATTERN: Final = re.compile(
    r'//|/\.{1,2}(?:/|$)|\\|%2f|%5c|%2[de]|%5f|%7e|%3[0-9]'
    '|%[46][1-9a-f]|%[57][0-9a]',
    re.IGNORECASE,
)


def build_refusal(
    call_id: CallId,
    reason: Reason,
    verdict: Verdict,
    headers: Headers = (),
    retry_after_seconds: float = 0,
) -> AnswerCall:
    """Build the answer to a call that no upstream answered.

    Statuses 429 and 503 guarantee that the request has not run, so 502 replaces
    them for every other verdict.
    """
    status = reason.status
    if verdict is not Verdict.NOT_RUN and status in _NOT_RUN_STATUSES:
        status = reasons.BAD_GATEWAY
    return AnswerCall(
        call_id=call_id,
        verdict=verdict,
        status=status,
        headers=headers,
        reason=reason.code,
        retry_after_seconds=retry_after_seconds,
    )


def draw_retry_after_seconds(random: Random, policy: Policy | None) -> float:
    """Draw the seconds after which a refused caller may retry.

    The mean is a share of the policy's target time, so that the retry can
    still meet the target. Jitter spreads callers that were refused together.
    """
    target_ms = None if policy is None else policy.target_ms
    if target_ms is None:
        target_ms = DEFAULT_TARGET_MS
    mean_seconds = (
        RETRY_AFTER_TARGET_RATIO * target_ms / MILLISECONDS_PER_SECOND
    )
    return mean_seconds * random.uniform(
        1 - RETRY_AFTER_JITTER_RATIO, 1 + RETRY_AFTER_JITTER_RATIO
    )


def find_refusal_reason(context: CallContext) -> Reason | None:
    """Return why this daemon refuses all calls, or `None` if it does not."""
    if context.is_stopping:
        return reasons.STOPPING
    if context.snapshot is None:
        return reasons.NO_SNAPSHOT
    return None if context.is_confirmed else reasons.UNCONFIRMED


def route_call(
    context: CallContext,
    event: CallArrived,
    routing: RoutingState,
    *,
    is_parent_running: bool,
) -> Call | AnswerCall:
    """Route a new call, or return the refusal to answer it with.

    Checks, in order: whether the daemon accepts calls, the path, the route,
    the API key, the home regions, the size of the body, the memory for it and
    the deadline.
    """
    snapshot = context.snapshot
    reason = find_refusal_reason(context)
    if reason is not None or snapshot is None:
        return _refuse(context, event, reason or reasons.NO_SNAPSHOT)
    if context.rules.refuses_ambiguous_paths and is_ambiguous_path(
        event.target
    ):
        return _refuse(context, event, reasons.AMBIGUOUS_PATH)
    route = routing.match_route(
        snapshot,
        event.method,
        event.target,
        event.host,
    )
    if route is None:
        return _refuse(context, event, reasons.NO_ROUTE)
    origin = identify(
        snapshot, route, event, is_parent_running=is_parent_running
    )
    if isinstance(origin, Reason):
        return _refuse(context, event, origin)
    event = _name_tenant(snapshot, event, origin)
    regions = placement.home_regions(snapshot, route, event.tenant)
    if not placement.may_accept(regions, context):
        headers = build_home_region_headers(regions)
        return _refuse(context, event, reasons.PLACEMENT, headers)
    body_reason = _find_body_reason(snapshot, event)
    if body_reason is not None:
        return _refuse(context, event, body_reason)
    call = _build_call(
        event, route, routing.choose_share(context.random, route), origin
    )
    call.rank = compute_rank(snapshot, route, origin.tenant)
    if not event.now < call.deadline:
        return _refuse(context, event, reasons.DEADLINE)
    return call


def is_ambiguous_path(target: str) -> bool:
    """Return whether an upstream may interpret a path unlike the router."""
    return _AMBIGUOUS_PATH_PATTERN.search(target.partition('?')[0]) is not None


def build_home_region_headers(regions: Regions) -> Headers:
    """Build the header that lists the home regions of a refused call."""
    return ((HOME_REGIONS_HEADER, ','.join(placement.format_regions(regions))),)


def _find_body_reason(
    snapshot: SnapshotView, event: CallArrived
) -> Reason | None:
    if (event.body_bytes or 0) > snapshot.caller_limits.body_limit:
        return reasons.BODY_TOO_LARGE
    return None if event.has_room else reasons.NO_ROOM


def _refuse(
    context: CallContext,
    event: CallArrived,
    reason: Reason,
    headers: Headers = (),
) -> AnswerCall:
    """Refuse a new call before any attempt is made.

    A call with an idempotency key may repeat a request that has run. Only the
    key's owner knows, so the verdict is `unknown`.
    """
    verdict = Verdict.NOT_RUN
    if event.idempotency_key:
        verdict = Verdict.UNKNOWN
    wait_seconds = draw_retry_after_seconds(context.random, None)
    return build_refusal(event.call_id, reason, verdict, headers, wait_seconds)


def _name_tenant(
    snapshot: SnapshotView, event: CallArrived, origin: CallOrigin
) -> CallArrived:
    """Return the event with the name and the header of its tenant.

    Without tenants in the configuration, what the caller states is kept.
    """
    if not snapshot.tenants:
        return event
    tenant = origin.tenant
    header = None if tenant is None else tenant.header
    return msgspec.structs.replace(
        event,
        tenant='' if tenant is None else tenant.name,
        headers=replace_tenant_header(event.headers, header),
    )


def _build_call(
    event: CallArrived, route: RouteView, share: ShareView, origin: CallOrigin
) -> Call:
    """Build the record of a routed call.

    The deadline is the earlier of the caller's and the policy's timeout.
    """
    policy = route.policy
    timeout_ms = float(policy.timeout_ms)
    if event.deadline_ms is not None:
        timeout_ms = min(event.deadline_ms, timeout_ms)
    key = event.idempotency_key
    is_interactive = policy.priority is Priority.INTERACTIVE
    return Call(
        event=event,
        headers=select_forwarded_headers(event.headers, event.tenant),
        route=route,
        share=share,
        origin=origin,
        issued_key=parse_key(key) if key else None,
        rank=policy.rank,
        is_interactive=is_interactive and not is_background(event.headers),
        deadline=event.now + timeout_ms / MILLISECONDS_PER_SECOND,
        body_bytes=event.body_bytes or 0,
        body_digest=EMPTY_DIGEST,
        is_body_read=event.body_bytes == 0,
    )
