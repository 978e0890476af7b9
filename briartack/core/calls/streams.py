"""Streams to endpoints: selects which peers to dial, and when."""

from typing import Final, final

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.routing import RoutingState, Scopes
from briartack.core.effects import Connect, Effects

KEEP_SECONDS: Final = 60.0
REVIEW_SECONDS: Final = 1.0
# Streams kept to each farther scope, which serves when nearer scopes are full.
FAR_STREAMS: Final = 4
CALL_DIALS: Final = 2


@final
class StreamsState:
    """Track recently called services, to keep streams to their instances."""

    __slots__ = ('_called', '_reviewed_at')

    def __init__(self) -> None:
        """Create a state without services."""
        self._called: dict[str, float] = {}
        self._reviewed_at = float('-inf')

    def touch(self, service: str, now: float) -> None:
        """Record the time of a call of a service."""
        self._called[service] = now

    def review(
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
    """Dial an instance that has no stream and was not dialled recently."""
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
    """Return whether an instance needs a stream.

    That holds for a remote instance that has none and is not about to stop.
    """
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
    """Dial the nearest instances without a stream; at most two at a time.

    Dials in progress count towards the two. Return `None` if no instance lacks
    a stream, so that there is nothing to wait for.
    """
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
    """Return the nearest non-empty scope and a few of each farther scope."""
    wanted: list[Member] = []
    for scope in scopes:
        if wanted:
            wanted.extend(scope[:FAR_STREAMS])
        else:
            wanted.extend(scope)
    return wanted
