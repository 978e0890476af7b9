"""Event handlers of the caps of tenants, called by the reducer."""

from briartack.core.calls.call_context import CallContext
from briartack.core.calls.calls_state import CallsState, finish_event
from briartack.core.effects import Effects
from briartack.core.events import PeerMessageReceived
from briartack.core.messages import CapGrant, CapRequest


def on_cap_request(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    request: CapRequest,
) -> Effects:
    """Answer a request of a peer for tokens of a tenant's cap."""
    return state.sender.tokens.handle_request(
        context, event.now, event.peer, request
    )


def on_cap_grant(
    state: CallsState,
    context: CallContext,
    event: PeerMessageReceived,
    grant: CapGrant,
) -> Effects:
    """Continue or refuse the calls that wait for tokens of a holder."""
    settled = state.sender.tokens.handle_grant(context, event.now, grant)
    return finish_event(
        state,
        context,
        event.now,
        state.sender.continue_all(context, event.now, settled),
    )
