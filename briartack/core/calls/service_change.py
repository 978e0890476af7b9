"""The step of the call path after the service of this instance has changed."""

from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.calls_state import CallsState, finish_event
from briartack.core.effects import Effects, WakeAt


def on_service_changed(
    state: CallsState, context: CallContext, now: float
) -> Effects:
    """Refuse the attempts that wait, because they are for the previous service.

    The tick verifies the upstream for the new service, and the probe finds out
    whether the upstream was replaced too.
    """
    waiting = state.owner.expire_all(now, reasons.WRONG_SERVICE)
    state.owner.upstream.health.request_probe()
    return [
        *finish_event(state, context, now, waiting),
        WakeAt(at=now),
    ]
