"""Streams to endpoints: selects which peers to dial, and when."""

from typing import Final, final

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.routing import RoutingState, Scopes
from briartack.core.effects import Connect, Effects

RECENT_CALL_SECONDS: Final = 60.0
DIAL_CHECK_SECONDS: Final = 1.0
# Streams kept to each farther scope, which serves when nearer scopes are full.
FAR_SCOPE_STREAMS: Final = 4
MAX_DIALS_IN_PROGRESS: Final = 2


@final
class StreamsState:
    """Track recently called services, to keep streams to their instances."""

    __slots__ = ('_last_called_at', '_dials_checked_at')

    def __init__(self) -> None:
        self._last_called_at: dict[str, float] = {}
        self._dials_checked_at = float('-inf')

    def record_call(self, service: str, now: float) -> None:
        """Record the time of a call of a service."""
        self._last_called_at[service] = now

    def dial_missing(
        self,
        context: CallContext,
        now: float,
        routing: RoutingState,
        endpoints: EndpointsState,
    ) -> Effects:
        """Dial instances of recently called services that have no stream.

        Runs at most once per second; a service counts as recent for 60 s.
        """
        snapshot = context.snapshot
        if (
            snapshot is None
            or now - self._dials_checked_at < DIAL_CHECK_SECONDS
        ):
            return []
        self._dials_checked_at = now
        for service, called_at in tuple(self._last_called_at.items()):
            if now - called_at > RECENT_CALL_SECONDS:
                self._last_called_at.pop(service)
        effects: Effects = []
        for recent_service in self._last_called_at:
            scopes = routing.list_candidates(
                context, snapshot, recent_service, None
            )
            for member in _select_members(scopes):
                effects.extend(dial_if_needed(context, now, member, endpoints))
        return effects


def dial_if_needed(
    context: CallContext,
    now: float,
    member: Member,
    endpoints: EndpointsState,
) -> Effects:
    """Dial an instance that has no stream and was not dialled recently."""
    if not needs_stream(context, member, endpoints):
        return []
    if not endpoints.reserve_dial(member.instance, now):
        return []
    return [Connect(peer=member.instance, address=member.peer_address)]


def needs_stream(
    context: CallContext,
    member: Member,
    endpoints: EndpointsState,
) -> bool:
    """Return whether an instance needs a stream.

    A remote instance needs one if it has none and is not about to stop.
    """
    return (
        member.instance != context.identity.instance
        and endpoints.get(member.instance) is None
        and not context.members.is_leaving(member.instance)
    )


def dial_nearest(
    context: CallContext,
    now: float,
    scopes: Scopes,
    endpoints: EndpointsState,
) -> Effects | None:
    """Dial the nearest instances without a stream; at most two at a time.

    Dials in progress count towards the two. Return `None` if no instance lacks
    a stream, so that there is nothing to wait for.
    """
    missing = [
        member
        for scope in scopes
        for member in _shuffle(context, scope)
        if needs_stream(context, member, endpoints)
    ]
    if not missing:
        return None
    free_dials = MAX_DIALS_IN_PROGRESS - sum(
        endpoints.is_dialling(member.instance, now) for member in missing
    )
    effects: Effects = []
    for candidate in missing:
        if len(effects) >= free_dials:
            break
        effects.extend(dial_if_needed(context, now, candidate, endpoints))
    return effects


def _shuffle(
    context: CallContext,
    scope: tuple[Member, ...],
) -> list[Member]:
    return context.random.sample(scope, len(scope))


def _select_members(scopes: Scopes) -> list[Member]:
    """Return the nearest non-empty scope and a few of each farther scope."""
    selected: list[Member] = []
    for scope in scopes:
        if selected:
            selected.extend(scope[:FAR_SCOPE_STREAMS])
        else:
            selected.extend(scope)
    return selected
