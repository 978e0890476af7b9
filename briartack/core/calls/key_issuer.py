"""Issue of idempotency keys to callers that request them.

A key names its owner, so a request may wait for a stream to an owner.
"""

from dataclasses import dataclass
from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.call_checks import build_refusal, find_refusal_reason
from briartack.core.calls.call_context import CallContext
from briartack.core.calls.choice_types import (
    AttemptNeeds,
    ChosenEndpoint,
    SelectionFailure,
)
from briartack.core.calls.endpoint_choice import EndpointChooser
from briartack.core.calls.idempotency import issue_key
from briartack.core.effects import AnswerCall, Effects
from briartack.core.events import KeyRequested
from briartack.core.units import CallId
from briartack.core.verdict import Verdict

CREATED_STATUS: Final = 201
STREAM_WAIT_SECONDS: Final = 0.5


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class _KeyRequest:
    """Hold a request for a key, and when its wait for a stream expires."""

    call_id: CallId
    service: str
    expires_at: float


@final
class KeyIssuerState:
    """Hold the key requests that wait for a stream to an owner."""

    __slots__ = ('_chooser', '_waiting')

    def __init__(self, *, chooser: EndpointChooser) -> None:
        """Select the owners of keys with `chooser`, which the sender shares."""
        self._chooser = chooser
        self._waiting: dict[CallId, _KeyRequest] = {}

    @property
    def is_idle(self) -> bool:
        """Return whether every request has been answered."""
        return not self._waiting

    def request(self, context: CallContext, event: KeyRequested) -> Effects:
        """Issue a key, refuse the request, or wait for a stream to an owner."""
        reason = find_refusal_reason(context)
        if reason is not None:
            return [build_refusal(event.call_id, reason, Verdict.NOT_RUN)]
        request = _KeyRequest(
            call_id=event.call_id,
            service=event.service,
            expires_at=event.now + STREAM_WAIT_SECONDS,
        )
        return self._issue(context, event.now, request)

    def cancel(self, call_id: CallId) -> None:
        """Remove a request whose caller disconnected."""
        self._waiting.pop(call_id, None)

    def retry(self, context: CallContext, now: float) -> Effects:
        """Try again to issue keys for the waiting requests."""
        return [
            effect
            for request in tuple(self._waiting.values())
            for effect in self._issue(context, now, request)
        ]

    def tick(self, now: float) -> Effects:
        """Refuse the requests that waited longer than `STREAM_WAIT_SECONDS`."""
        expired_ids = tuple(
            call_id
            for call_id, request in self._waiting.items()
            if now >= request.expires_at
        )
        for call_id in expired_ids:
            self._waiting.pop(call_id)
        return [
            build_refusal(expired_id, reasons.NO_ENDPOINT, Verdict.NOT_RUN)
            for expired_id in expired_ids
        ]

    def _issue(
        self,
        context: CallContext,
        now: float,
        request: _KeyRequest,
    ) -> Effects:
        self._waiting.pop(request.call_id, None)
        snapshot = context.snapshot
        limits = snapshot.services.get(request.service) if snapshot else None
        if snapshot is None or limits is None:
            return [
                build_refusal(
                    request.call_id, reasons.NO_SERVICE, Verdict.NOT_RUN
                ),
            ]
        scopes = self._chooser.routing.list_candidates(
            context,
            snapshot,
            request.service,
            None,
        )
        choice = self._chooser.choose_among(
            context,
            now,
            scopes,
            None,
            needs=AttemptNeeds(limits=limits),
        )
        if isinstance(choice, ChosenEndpoint):
            return [self._answer_with_key(context, now, request, choice)]
        if isinstance(choice, SelectionFailure):
            return [
                build_refusal(
                    request.call_id, reasons.NO_ENDPOINT, Verdict.NOT_RUN
                ),
            ]
        self._waiting[request.call_id] = request
        return choice

    def _answer_with_key(
        self,
        context: CallContext,
        now: float,
        request: _KeyRequest,
        chosen: ChosenEndpoint,
    ) -> AnswerCall:
        owner = chosen.member.instance
        endpoint = self._chooser.endpoints.get(owner)
        key = issue_key(
            context.random,
            owner,
            endpoint.incarnation if endpoint else context.identity.incarnation,
            endpoint.clock if endpoint else now,
        )
        return AnswerCall(
            call_id=request.call_id,
            verdict=Verdict.RAN,
            status=CREATED_STATUS,
            headers=(),
            reason='',
            detail=key,
        )
