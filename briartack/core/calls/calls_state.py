"""The state of the call path, and the steps that end calls and the process.

The event handlers in `call_handlers` use this module.
"""

from typing import final

from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.key_issuer import KeyIssuerState
from briartack.core.calls.owner import OwnerState
from briartack.core.calls.reasons import Reason
from briartack.core.calls.routing import RoutingState
from briartack.core.calls.sender import SenderState
from briartack.core.calls.streams import StreamsState
from briartack.core.effects import Effects, Exit
from briartack.core.tenants.caps import CapsState


@final
class CallsState:
    """Hold the state of each part of the call path of one daemon."""

    __slots__ = (
        'endpoints',
        'routing',
        'streams',
        'owner',
        'sender',
        'keys',
        'drain',
        'caps',
    )

    def __init__(
        self,
        *,
        drain_seconds: float,
        rules: CallRules = DEFAULT_RULES,
    ) -> None:
        """Start with a cold upstream.

        Calls in flight end at the latest `drain_seconds` after a stop begins.
        """
        self.endpoints = EndpointsState()
        self.routing = RoutingState()
        self.streams = StreamsState()
        self.drain = DrainState(
            drain_seconds=drain_seconds,
            linger_seconds=rules.linger_seconds,
        )
        self.caps = CapsState()
        self.owner = OwnerState(drain=self.drain, rules=rules)
        self.sender = SenderState(
            routing=self.routing,
            endpoints=self.endpoints,
            streams=self.streams,
            owner=self.owner,
            drain=self.drain,
            caps=self.caps,
        )
        self.keys = KeyIssuerState(chooser=self.sender.chooser)

    def replace_rules(self, rules: CallRules, drain_seconds: float) -> None:
        """Replace the rules of the local upstream and of the next stop."""
        self.owner.upstream.replace_rules(rules)
        self.owner.bodies.replace_rate(rules.link_bytes_per_second)
        self.drain.configure(
            drain_seconds=drain_seconds,
            linger_seconds=rules.linger_seconds,
        )


def end_calls(
    state: CallsState,
    context: CallContext,
    now: float,
    *,
    sent_reason: Reason,
    unsent_reason: Reason,
) -> Effects:
    """End every call, with `sent_reason` if an attempt is in flight.

    All other calls end with `unsent_reason`.

    Attempts that wait for an upstream slot are refused first. Otherwise they
    would start in the slots that the ended calls free.
    """
    waiting = state.owner.expire_all(now, unsent_reason)
    effects = finish_event(state, context, now, waiting)
    ended = state.sender.endings.end_all(
        context, now, sent_reason=sent_reason, unsent_reason=unsent_reason
    )
    return [*effects, *ended]


def finish_event(
    state: CallsState,
    context: CallContext,
    now: float,
    effects: Effects,
) -> Effects:
    """Deliver local answers to the sender; exit once a planned stop is done.

    Grants the bodies for which the event has made room.

    A stop is done when callers are refused and the sender, the owner and the
    key issuer have no work left. Return `effects`, extended by the effects of
    both steps.
    """
    own = context.identity.instance
    if state.owner.suspects.take_growth():
        effects.extend(state.owner.refuse_suspects(now))
    effects.extend(state.owner.bodies.advance(context.identity, now))
    for outcome in iter(state.owner.pop_outcome, None):
        effects.extend(
            state.sender.handle_answer(
                context,
                now,
                own,
                outcome.answer,
                outcome.body_id,
                is_body_kept=outcome.is_body_kept,
            ),
        )
    if not state.drain.is_refusing:
        return effects
    is_idle = (
        state.sender.is_idle
        and not state.owner.in_flight
        and state.keys.is_idle
    )
    if is_idle and state.drain.finish():
        effects.append(Exit(code=0))
    return effects
