"""The phase of a call in which it gets a token of its tenant's cap."""

from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_responses import CallResponder
from briartack.core.calls.call_table import Call, CallPhase, CallTable
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.streams import dial_if_needed
from briartack.core.effects import Effects, WakeAt
from briartack.core.messages import CapGrant, CapRequest, Hello
from briartack.core.tenants.cap_holder import find_tenant
from briartack.core.tenants.cap_lease import TOKEN_WAIT_SECONDS
from briartack.core.tenants.caps import (
    AwaitHolder,
    BeyondCap,
    CapsState,
    Settlement,
    Token,
    TokenDecision,
)
from briartack.core.tenants.tenant_table import ResolvedTenant
from briartack.core.units import InstanceId
from briartack.core.verdict import Verdict

MIN_RETRY_AFTER_SECONDS: Final = 0.02
# No cap makes a caller wait longer; with less than one call a second, it may
# come back in vain.
MAX_RETRY_AFTER_SECONDS: Final = 5.0


@final
class TokenPhase:
    """Get tokens for calls, or refuse them; waiting calls are in the table."""

    __slots__ = ('_caps', '_table', '_responder', '_endpoints', '_drain')

    def __init__(
        self,
        *,
        caps: CapsState,
        table: CallTable,
        responder: CallResponder,
        endpoints: EndpointsState,
        drain: DrainState,
    ) -> None:
        self._caps = caps
        self._table = table
        self._responder = responder
        self._endpoints = endpoints
        self._drain = drain

    def begin(self, context: CallContext, now: float, call: Call) -> Effects:
        """Get a token for a new call, let it wait for one or refuse it.

        Calls that count towards no cap need none.
        """
        tenant = call.origin.tenant
        if tenant is None:
            return []
        requested = self._caps.counters.count_requested(tenant)
        return [requested, *self._acquire(context, now, call)]

    def renew(self, context: CallContext, now: float, call: Call) -> Effects:
        """Get another token for a call whose body took longer than the lease.

        Otherwise calls with slow bodies could gather tokens over a long time
        and use all of them at once.
        """
        if call.token_expires_at is None or now <= call.token_expires_at:
            return []
        call.token_expires_at = None
        return self._acquire(context, now, call)

    def is_waiting(self, call: Call) -> bool:
        """Return whether a call has no token yet, or was refused one."""
        is_open = self._table.get(call.event.call_id) is call
        return not is_open or call.phase is CallPhase.AWAITING_TOKEN

    def give_up(self, context: CallContext, now: float, call: Call) -> Effects:
        """Decide about a call that got no answer of the holder in time."""
        tenant = _find_tenant_in_force(context, call)
        assert tenant is not None
        self._refresh(context, now)
        decision = self._caps.give_up(context, now, tenant, call.event.call_id)
        return self._apply(context, now, call, decision)

    def handle_request(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        asked: CapRequest,
    ) -> Effects:
        """Answer a request of a peer for tokens."""
        self._refresh(context, now)
        return self._caps.held.answer(context, now, peer, asked)

    def handle_grant(
        self, context: CallContext, now: float, grant: CapGrant
    ) -> tuple[list[Call], Effects]:
        """Give granted tokens to calls; return the calls that go on."""
        self._refresh(context, now)
        settled = self._caps.handle_grant(context, now, grant)
        return self._settle(context, now, settled)

    def connect(
        self, context: CallContext, now: float, peer: InstanceId, hello: Hello
    ) -> Effects:
        """Send the requests that wait for a stream to a peer."""
        self._refresh(context, now)
        return self._caps.connect(peer, now, hello)

    def disconnect(
        self, context: CallContext, now: float, peer: InstanceId
    ) -> tuple[list[Call], Effects]:
        """Decide about calls without their holder; return those that go on."""
        settled = self._caps.disconnect(context, now, peer)
        return self._settle(context, now, settled)

    def tick(self, context: CallContext, now: float) -> Effects:
        """Return tokens that were not used."""
        # Also before there are tenants: a bucket has filled since its holder
        # has been first in the list.
        self._caps.refresh(context, now, is_leaving=self._drain.is_leaving)
        return self._caps.tick(context, now)

    def _refresh(self, context: CallContext, now: float) -> None:
        # Without tenants, the list of instances is of no use here.
        if context.snapshot is None or not context.snapshot.tenants:
            return
        self._caps.refresh(context, now, is_leaving=self._drain.is_leaving)

    def _acquire(self, context: CallContext, now: float, call: Call) -> Effects:
        tenant = _find_tenant_in_force(context, call)
        if tenant is None or not call.origin.counts_towards_cap:
            return []
        if not tenant.has_cap:
            return []
        self._refresh(context, now)
        decision = self._caps.acquire(context, now, tenant, call.event.call_id)
        effects: Effects = []
        if isinstance(decision, AwaitHolder):
            effects = self._reach_holder(context, now, decision)
            if not (effects or self._is_reached(now, decision)):
                decision = self._caps.give_up(
                    context, now, tenant, call.event.call_id
                )
        effects.extend(self._apply(context, now, call, decision))
        # A token from the stock may leave too few for the next calls.
        effects.extend(self._caps.request(now, tenant.name))
        return effects

    def _reach_holder(
        self, context: CallContext, now: float, awaited: AwaitHolder
    ) -> Effects:
        if self._caps.has_stream(awaited.holder):
            return []
        return dial_if_needed(context, now, awaited.holder, self._endpoints)

    def _is_reached(self, now: float, awaited: AwaitHolder) -> bool:
        return self._caps.has_stream(
            awaited.holder
        ) or self._endpoints.is_dialling(awaited.holder.instance, now)

    def _settle(
        self, context: CallContext, now: float, settled: Settlement
    ) -> tuple[list[Call], Effects]:
        admitted: list[Call] = []
        effects: Effects = []
        for call_id, decision in settled.decisions:
            call = self._table.get(call_id)
            if call is None or call.phase is not CallPhase.AWAITING_TOKEN:
                continue
            effects.extend(self._apply(context, now, call, decision))
            if not self.is_waiting(call):
                admitted.append(call)
        effects.extend(settled.effects)
        return admitted, effects

    def _apply(
        self,
        context: CallContext,
        now: float,
        call: Call,
        decision: TokenDecision,
    ) -> Effects:
        if isinstance(decision, Token):
            call.token_expires_at = decision.expires_at
            call.phase = CallPhase.READING_BODY
            return []
        if isinstance(decision, AwaitHolder):
            until = now + TOKEN_WAIT_SECONDS
            self._table.begin_wait(call, CallPhase.AWAITING_TOKEN, until)
            return [WakeAt(at=until)]
        is_beyond = isinstance(decision, BeyondCap)
        tenant = call.origin.tenant
        assert tenant is not None
        # Callers that were refused together come back one after the other.
        wait_seconds = decision.wait_seconds + context.random.uniform(
            0, self._caps.compute_spread(now, tenant, decision.wait_seconds)
        )
        refused = self._responder.refuse(
            context,
            now,
            call,
            reasons.BEYOND_CAP if is_beyond else reasons.NO_CAP_HOLDER,
            Verdict.NOT_RUN,
            retry_after_seconds=min(
                max(wait_seconds, MIN_RETRY_AFTER_SECONDS),
                MAX_RETRY_AFTER_SECONDS,
            ),
        )
        return [self._caps.counters.count_refused(tenant), *refused]


def _find_tenant_in_force(
    context: CallContext, call: Call
) -> ResolvedTenant | None:
    """Return the tenant of a call with its present cap.

    The cap may have changed while the body of the call arrived. A tenant that
    has been removed is returned as the call found it.
    """
    tenant = call.origin.tenant
    if tenant is None:
        return None
    return find_tenant(context, tenant.name) or tenant
