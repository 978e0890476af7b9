"""The final answer of a call: from an upstream, or a refusal.

The sender uses this module to remove a call and log its end.
"""

from functools import partial
from typing import final

from briartack.core.calls import placement, reasons
from briartack.core.calls.call_checks import (
    build_home_region_headers,
    build_refusal,
    draw_retry_after_seconds,
)
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_logs import log_call_ended
from briartack.core.calls.call_table import Call, CallTable
from briartack.core.calls.caller_clocks import CallerClocks
from briartack.core.calls.choice_types import SelectionFailure
from briartack.core.calls.reasons import Reason
from briartack.core.calls.return_times import ReturnTimes
from briartack.core.effects import AnswerCall, Count, DropBody, Effects
from briartack.core.messages import Answer, Headers
from briartack.core.tenants.caps import CapsState
from briartack.core.units import BodyId
from briartack.core.verdict import Verdict


@final
class CallResponder:
    """Remove calls from the table and answer their callers."""

    __slots__ = ('_table', '_return_times', '_caller_clocks', '_caps')

    def __init__(
        self,
        *,
        table: CallTable,
        return_times: ReturnTimes,
        caller_clocks: CallerClocks,
        caps: CapsState,
    ) -> None:
        self._table = table
        self._return_times = return_times
        self._caller_clocks = caller_clocks
        self._caps = caps

    def answer(
        self,
        now: float,
        call: Call,
        answer: Answer,
        body_id: BodyId | None,
        drop_body_effects: Effects,
    ) -> Effects:
        """Answer a call with its upstream's answer and drop the request body.

        `drop_body_effects` drops the answer's body, unless the owner keeps it.
        """
        self._table.remove(call)
        tenant = call.origin.tenant
        served = (
            [] if tenant is None else [self._caps.counters.count_served(tenant)]
        )
        return [
            *served,
            AnswerCall(
                call_id=call.event.call_id,
                verdict=Verdict.RAN,
                status=answer.status,
                headers=answer.headers,
                reason=answer.reason,
                body_id=body_id if answer.body_bytes else None,
            ),
            DropBody(body_id=call.body_id),
            *drop_body_effects,
            log_call_ended(
                now,
                call,
                verdict=Verdict.RAN,
                status=answer.status,
                reason=answer.reason,
            ),
        ]

    def refuse(
        self,
        context: CallContext,
        now: float,
        call: Call,
        reason: Reason,
        verdict: Verdict,
        headers: Headers = (),
        *,
        is_from_owner: bool = False,
        retry_after_seconds: float | None = None,
    ) -> Effects:
        """Refuse a call that no upstream answered.

        The verdict becomes `unknown` if an earlier attempt may have run. The
        same applies to a call with an idempotency key, unless the refusal is
        from the key's owner, because only the owner knows whether it ran.
        """
        self._table.remove(call)
        has_key = bool(call.event.idempotency_key)
        if call.may_have_run or (has_key and not is_from_owner):
            verdict = Verdict.UNKNOWN
        # The verdict on a key says nothing about this call, which has not run
        # before its first attempt.
        is_unsent = not (call.attempts or call.may_have_run)
        if is_unsent or verdict is Verdict.NOT_RUN:
            self.release_token(now, call)
        if verdict is Verdict.NOT_RUN:
            self._caller_clocks.record_refusal(now, call.route.name)
        if retry_after_seconds is None and reason is reasons.OVERLOAD:
            retry_after_seconds = self._return_times.draw_seconds(
                context, now, call
            )
        if retry_after_seconds is None:
            retry_after_seconds = draw_retry_after_seconds(
                context.random, call.route.policy
            )
        answer = build_refusal(
            call.event.call_id,
            reason,
            verdict,
            headers,
            retry_after_seconds,
        )
        log_line = log_call_ended(
            now,
            call,
            verdict=verdict,
            status=answer.status,
            reason=reason.code,
        )
        return [answer, DropBody(body_id=call.body_id), log_line]

    def release_token(self, now: float, call: Call) -> None:
        """Give back the token of a call that has not run, if it has one."""
        tenant = call.origin.tenant
        if tenant is not None:
            self._caps.release(
                tenant.name, call.event.call_id, now, call.token_expires_at
            )

    def refuse_suspect(
        self,
        context: CallContext,
        now: float,
        call: Call,
        refused_seconds: float,
    ) -> Effects:
        """Refuse a call whose request is suspected to crash its upstreams."""
        return [
            Count(name='suspects_refused'),
            *self.refuse(
                context,
                now,
                call,
                reasons.CRASH_SUSPECT,
                Verdict.NOT_RUN,
                retry_after_seconds=refused_seconds,
            ),
        ]

    def refuse_unroutable(
        self,
        context: CallContext,
        now: float,
        call: Call,
        failure: SelectionFailure,
    ) -> Effects:
        """Refuse a call for which no endpoint can be chosen."""
        refuse = partial(self.refuse, context, now, call)
        if failure is SelectionFailure.KEY_OWNER_GONE:
            return refuse(reasons.KEY_OWNER_GONE, Verdict.UNKNOWN)
        if failure is SelectionFailure.STOP_TOO_NEAR:
            return refuse(reasons.STOP_TOO_NEAR, Verdict.NOT_RUN)
        if failure is SelectionFailure.OVERLOAD:
            return [
                Count(name='calls_refused_early'),
                *refuse(reasons.OVERLOAD, Verdict.NOT_RUN),
            ]
        if failure is SelectionFailure.NO_ROOM:
            return refuse(
                call.last_refusal or reasons.OVERLOAD, Verdict.NOT_RUN
            )
        if failure is SelectionFailure.NO_ENDPOINT or context.snapshot is None:
            reason = call.last_refusal or reasons.NO_ENDPOINT
            return refuse(reason, Verdict.NOT_RUN)
        regions = placement.intersect(
            placement.home_regions(
                context.snapshot, call.route, call.event.tenant
            ),
            call.origin.home_regions,
        )
        return refuse(
            reasons.PLACEMENT,
            Verdict.NOT_RUN,
            build_home_region_headers(regions),
        )
