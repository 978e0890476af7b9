"""Streams to endpoints: which peers to dial, and when."""

from typing import Final, final

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.routing import RoutingState, Scopes
from briartack.core.effects import Connect, Effects

KEEP_SECONDS: Final = 60.0
REVIEW_SECONDS: Final = 1.0
# Streams beyond the nearest scope only serve when that one has no room.
FAR_STREAMS: Final = 4
CALL_DIALS: Final = 2


@final
class StreamsState:
    """Own the list of the services that were called lately."""

    __slots__ = ('_called', '_reviewed_at')

    def __init__(self) -> None:
        """Start without services."""
        self._called: dict[str, float] = {}
        self._reviewed_at = float('-inf')

    def touch(self, service: str, now: float) -> None:
        """Note a call of a service."""
        self._called[service] = now

    def review(
        self,
        context: CallContext,
        now: float,
        routing: RoutingState,
        endpoints: EndpointsState,
    ) -> Effects:
        """Dial what is missing for recently called services."""
        snapshot = context.snapshot
        if snapshot is None or now - self._reviewed_at < REVIEW_SECONDS:
            return []
        self._reviewed_at = now
        for service, called_at in tuple(self._called.items()):
            if now - called_at > KEEP_SECONDS:
                self._called.pop(service)
        effects: Effects = []
        for called in self._called:
            scopes = routing.candidates(context, snapshot, called, None)
            for member in _wanted(scopes):
                effects.extend(dial(context, now, member, endpoints))
        return effects


def dial(
    context: CallContext,
    now: float,
    member: Member,
    endpoints: EndpointsState,
) -> Effects:
    """Connect to a member that has no stream and was not dialled lately."""
    if not is_missing(context, member, endpoints):
        return []
    if not endpoints.may_dial(member.instance, now):
        return []
    return [Connect(peer=member.instance, address=member.peer_address)]


def is_missing(
    context: CallContext,
    member: Member,
    endpoints: EndpointsState,
) -> bool:
    """Tell whether a stream to a member could be opened and used."""
    return (
        member.instance != context.identity.instance
        and endpoints.get(member.instance) is None
        and not context.members.is_leaving(member.instance)
    )


def dial_some(
    context: CallContext,
    now: float,
    scopes: Scopes,
    endpoints: EndpointsState,
) -> Effects | None:
    """Dial up to two near members; `None` if there is none to wait for."""
    missing = [
        member
        for scope in scopes
        for member in _shuffled(context, scope)
        if is_missing(context, member, endpoints)
    ]
    if not missing:
        return None
    wanted = CALL_DIALS - sum(
        endpoints.is_dialling(member.instance, now) for member in missing
    )
    effects: Effects = []
    for candidate in missing:
        if len(effects) >= wanted:
            break
        effects.extend(dial(context, now, candidate, endpoints))
    return effects


def _shuffled(
    context: CallContext,
    scope: tuple[Member, ...],
) -> list[Member]:
    return context.random.sample(scope, len(scope))


def _wanted(scopes: Scopes) -> list[Member]:
    wanted: list[Member] = []
    for scope in scopes:
        if wanted:
            wanted.extend(scope[:FAR_STREAMS])
        else:
            wanted.extend(scope)
    return wanted
