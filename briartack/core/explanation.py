"""Explanation of how this daemon would route a call now, for operators."""

from briartack.core.calls import placement
from briartack.core.calls.call_context import Member, Regions
from briartack.core.calls.routing import Scopes, is_out_of_service
from briartack.core.choice_explanation import SCOPE_NAMES, ChoiceExplanation
from briartack.core.configuration.resolved_snapshot import (
    ResolvedRoute,
    Snapshot,
)
from briartack.core.reducer import make_call_context
from briartack.core.state import State


def explain(
    state: State,
    method: str,
    path: str,
    tenant: str,
    body_bytes: int = 0,
) -> dict[str, object]:
    """Describe the route, placement and endpoints of a call.

    No later choice depends on whether a call was explained. The result is a
    dict of plain values, ready for JSON.
    """
    snapshot = state.configuration.snapshot
    if snapshot is None:
        return {'outcome': 'refused: this daemon holds no configuration yet'}
    route = state.calls.routing.match_route(snapshot, method, path)
    if not isinstance(route, ResolvedRoute):
        return {
            'outcome': 'refused: no route matches the method and path',
            'highest': snapshot.highest,
        }
    regions = placement.home_regions(
        snapshot, route, _find_tenant_name(snapshot, tenant)
    )
    described = _describe_route(snapshot, route)
    described['home_regions'] = None if regions is None else sorted(regions)
    if not placement.may_hold(regions, state.identity.region):
        described['outcome'] = 'refused: outside the home regions'
        return described
    scopes = state.calls.routing.list_candidates(
        make_call_context(state), snapshot, route.service, regions
    )
    choice = ChoiceExplanation(state, route, scopes, body_bytes)
    endpoints = [
        _describe_member(state, snapshot, member, regions, choice)
        for member in state.membership.live_members_of(route.service)
    ]
    described['endpoints'] = endpoints
    described['outcome'] = _describe_outcome(scopes, choice)
    return described


def _find_tenant_name(snapshot: Snapshot, title: str) -> str:
    """Return the name of a tenant with API keys, or the title itself."""
    for tenant in snapshot.tenants.by_name.values():
        if tenant.title == title:
            return tenant.name
    return title


def _describe_route(
    snapshot: Snapshot,
    route: ResolvedRoute,
) -> dict[str, object]:
    policy = route.policy
    return {
        'outcome': '',
        'highest': snapshot.highest,
        'route': route.name,
        'service': route.service,
        'policy': route.policy_name,
        'timeout_ms': policy.timeout_ms,
        'max_attempts': policy.max_attempts,
        'repeatable': policy.repeatable,
        'priority': policy.priority.value,
    }


def _describe_member(
    state: State,
    snapshot: Snapshot,
    member: Member,
    regions: Regions,
    choice: ChoiceExplanation,
) -> dict[str, object]:
    endpoint = state.calls.endpoints.get(member.instance)
    return {
        'instance': member.instance,
        'data_centre': member.data_centre,
        'is_own': member.instance == state.identity.instance,
        'is_connected': endpoint is not None,
        'excluded': _find_exclusion(state, snapshot, member, regions, choice),
        'expected': choice.describe_expected(member),
    }


def _find_exclusion(
    state: State,
    snapshot: Snapshot,
    member: Member,
    regions: Regions,
    choice: ChoiceExplanation,
) -> str:
    if is_out_of_service(snapshot.platform, member):
        return 'out of service'
    if not placement.may_hold(regions, member.region):
        return 'outside the home regions'
    if state.membership.is_leaving(member.instance):
        return 'leaving'
    is_own = member.instance == state.identity.instance
    if is_own and not state.calls.owner.upstream.health.may_start:
        return 'the list does not have its upstream in this service'
    has_stream = state.calls.endpoints.get(member.instance) is not None
    if (is_own or has_stream) and not choice.is_available(member):
        return 'not available now'
    return ''


def _describe_outcome(scopes: Scopes, choice: ChoiceExplanation) -> str:
    chosen = choice.describe_choice()
    if chosen is not None:
        return chosen
    for name, scope in zip(SCOPE_NAMES, scopes, strict=True):
        if scope:
            return (
                f'the less loaded of two chosen from {len(scope)} in the {name}'
            )
    return 'refused: no endpoint may be chosen'
