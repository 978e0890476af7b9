"""Status report of a daemon, for operators."""

from briartack.core.calls.upstream_identity import find_listing
from briartack.core.reducer import make_call_context
from briartack.core.service_status import describe_services
from briartack.core.state import State
from briartack.core.units import (
    MILLISECONDS_PER_SECOND,
    AttemptId,
    CallId,
)


def describe(state: State) -> dict[str, object]:
    """Return the status of this daemon as plain values, ready for JSON."""
    identity = state.identity
    described: dict[str, object] = {
        'instance': identity.instance,
        'incarnation': identity.incarnation,
        'service': identity.service,
        'data_centre': identity.data_centre,
        'region': identity.region,
        'ready': is_ready(state),
        'stopping': state.is_stopping,
        'instances': len(state.membership.live_members()),
        'waiting': [
            {
                'key': waiting.key,
                'revision': waiting.revision,
                'missing': list(waiting.missing),
            }
            for waiting in state.configuration.waiting
        ],
        'dissemination': _describe_dissemination(state),
        'upstream': _describe_upstream(state),
        'services': describe_services(state),
        'crash_suspects': list(
            state.calls.owner.suspects.describe(state.last_event_at)
        ),
    }
    described.update(_describe_snapshot(state))
    described.update(_describe_tenants(state))
    return described


def is_ready(state: State) -> bool:
    """Return whether this daemon has a configuration and is not stopping.

    A ready daemon still refuses calls while it waits for confirmation after a
    pause.
    """
    return state.configuration.snapshot is not None and not state.is_stopping


def count_calls(state: State) -> int:
    """Return the number of calls that have yet to be answered."""
    return state.calls.sender.in_flight


def count_attempts(state: State) -> int:
    """Return the number of attempts that this daemon owns."""
    return state.calls.owner.in_flight


def count_attempt_ids(state: State) -> int:
    """Return the number of attempt ids that are held against repeats."""
    return len(state.calls.owner.dedup)


def find_call(state: State, attempt_id: AttemptId) -> CallId | None:
    """Return the call that an attempt in flight was made for, if any."""
    return state.calls.sender.find_call(attempt_id)


def _describe_snapshot(state: State) -> dict[str, object]:
    snapshot = state.configuration.snapshot
    if snapshot is None:
        return {'highest': 0, 'digest': '', 'versions': {}, 'stated': {}}
    return {
        'highest': snapshot.highest,
        'digest': snapshot.digest.hex(),
        'versions': dict(snapshot.versions),
        'stated': {key: list(stated) for key, stated in snapshot.stated},
        'retained': list(snapshot.retained),
        'data_centres_out': list(snapshot.platform.data_centres_out),
        'instances_out': list(snapshot.platform.instances_out),
    }


def _describe_tenants(state: State) -> dict[str, object]:
    """Describe the calls of tenants; empty without tenants."""
    snapshot = state.configuration.snapshot
    if snapshot is None or not snapshot.tenants:
        return {}
    caps = state.calls.caps
    return {
        'tenants': caps.counters.describe(),
        'caps': {
            'tenants': sum(
                tenant.has_cap for tenant in snapshot.tenants.by_name.values()
            ),
            'held_here': len(caps.held),
            'beyond': [
                tenant.title
                for name in caps.list_blocked(state.last_event_at)
                if (tenant := snapshot.tenants.by_name.get(name)) is not None
            ],
        },
    }


def _describe_dissemination(state: State) -> dict[str, object]:
    part = state.dissemination
    return {
        'watches_store': part.store.is_on_duty,
        'parents': list(part.links.parents),
        'streams': sum(
            part.links.is_linked(member.instance)
            for member in state.membership.live_members()
        ),
        'suspects': sorted(part.tree.suspects),
        'state_digest': state.holdings.configuration_digest.hex(),
        'instances_digest': state.holdings.instances_digest.hex(),
    }


def _describe_identity(state: State) -> dict[str, object]:
    """Describe the upstream's identity if the platform requires one."""
    if not state.rules.requires_identity:
        return {}
    identity = state.calls.owner.upstream.health.identity
    listing = find_listing(make_call_context(state), identity)
    return {'identity': identity, 'listing': listing.value}


def _describe_upstream(state: State) -> dict[str, object]:
    now = state.last_event_at
    owner = state.calls.owner
    upstream = owner.upstream
    wait_ms = upstream.wait_seconds(now) * MILLISECONDS_PER_SECOND
    return {
        'open': upstream.is_open,
        **_describe_identity(state),
        'in_flight': upstream.running,
        'limit': upstream.limit,
        'slowdown': round(upstream.times.slowdown(now), 2),
        'wait_ms': round(wait_ms),
        'bodies': owner.bodies.describe(),
    }
