"""Ending calls whose upstream is no longer waited for."""

from typing import final

from briartack.core.calls import reasons
from briartack.core.calls.attempt_sender import AttemptSender
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.call_responses import CallResponder
from briartack.core.calls.call_table import Call, CallPhase, CallTable
from briartack.core.calls.reasons import Reason
from briartack.core.effects import Effects
from briartack.core.verdict import Verdict


@final
class CallEndings:
    """End calls at their deadline, at a planned stop or after a pause."""

    __slots__ = ('_table', '_attempt_sender', '_responder')

    def __init__(
        self,
        *,
        table: CallTable,
        attempt_sender: AttemptSender,
        responder: CallResponder,
    ) -> None:
        self._table = table
        self._attempt_sender = attempt_sender
        self._responder = responder

    def end_all(
        self,
        context: CallContext,
        now: float,
        *,
        sent_reason: Reason,
        unsent_reason: Reason,
    ) -> Effects:
        """End every call, with `sent_reason` if an attempt is in flight.

        All other calls end with `unsent_reason`.
        """
        effects: Effects = []
        for call in self._table:
            reason = (
                sent_reason if call.phase is CallPhase.SENT else unsent_reason
            )
            effects.extend(self.abandon(context, now, call, reason))
        return effects

    def end_after_pause(self, context: CallContext, now: float) -> Effects:
        """End the calls that a pause of this process has made outdated.

        A call keeps its attempt in flight until its deadline, because the
        answer may have arrived during the pause. All other calls were routed
        with a configuration that may no longer be in force.
        """
        effects: Effects = []
        for call in self._table:
            reason = reasons.UNCONFIRMED
            if call.phase is CallPhase.SENT:
                if now < call.deadline:
                    continue
                reason = reasons.PAUSED
            effects.extend(self.abandon(context, now, call, reason))
        return effects

    def abandon(
        self,
        context: CallContext,
        now: float,
        call: Call,
        reason: Reason,
    ) -> Effects:
        """Cancel the attempt in flight and refuse the call."""
        effects = self._attempt_sender.withdraw(context, now, call)
        effects.extend(
            self._responder.refuse(context, now, call, reason, Verdict.NOT_RUN)
        )
        return effects
