"""Load, waits and room of services as one daemon sees them, for operators."""

from typing import Final

from briartack.core.calls.call_context import Member
from briartack.core.calls.stated_times import ServiceTimes
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.state import State
from briartack.core.units import MILLISECONDS_PER_SECOND

# Bounds the size of a status in a deployment of thousands of services.
MAX_SERVICES: Final = 64


def describe_services(state: State) -> dict[str, object]:
    """Describe the services to which this daemon sends calls, by name.

    Of more than 64 services, those with the most attempts of this daemon in
    flight are described. No state changes.
    """
    snapshot = state.configuration.snapshot
    if snapshot is None:
        return {}
    expected_times = state.calls.sender.chooser.expected_times
    known = [
        (name, times)
        for name, times in expected_times.list_services()
        if name in snapshot.services
    ]
    known.sort(key=lambda item: item[1].in_flight, reverse=True)
    return {
        name: _describe_service(state, name, times, snapshot.services[name])
        for name, times in sorted(
            known[:MAX_SERVICES], key=lambda item: item[0]
        )
    }


def _describe_service(
    state: State, name: str, times: ServiceTimes, limits: ServiceLimits
) -> dict[str, object]:
    members = state.membership.live_members_of(name)
    loads = [
        (load, member.slots or limits.slots)
        for member in members
        if (load := _find_load(state, member, limits)) is not None
    ]
    described: dict[str, object] = {
        'instances': len(members),
        'reachable': len(loads),
        'in_flight': times.in_flight,
        'is_away': times.is_away,
        'free_slots': sum(
            int(max(0, 1 - load) * slots) for load, slots in loads
        ),
        'load': None,
    }
    if loads:
        mean_load = sum(load for load, _ in loads) / len(loads)
        described['load'] = round(mean_load, 2)
    typical = times.peek_typical(state.last_event_at)
    if typical is not None:
        described['slowdown'] = round(typical.slowdown, 2)
        described['wait_ms'] = round_milliseconds(typical.wait_seconds)
        described['smallest_wait_ms'] = round_milliseconds(
            typical.smallest_wait_seconds
        )
        described['body_wait_ms'] = round_milliseconds(
            typical.body_wait_seconds
        )
        described['run_ms'] = round_milliseconds(typical.run_seconds)
    return described


def _find_load(
    state: State, member: Member, limits: ServiceLimits
) -> float | None:
    """Return the load of an instance, `None` without a usable stream."""
    if member.instance == state.identity.instance:
        upstream = state.calls.owner.upstream
        return upstream.running / upstream.limit if upstream.is_open else None
    endpoint = state.calls.endpoints.get(member.instance)
    now = state.last_event_at
    if endpoint is None or not endpoint.is_usable(now, float('-inf')):
        return None
    return endpoint.estimate_load(now, member.slots or limits.slots)


def round_milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds."""
    return round(seconds * MILLISECONDS_PER_SECOND)
