"""Selection of the endpoint for one attempt of a call.

Used by the sender, and by the key issuer to select a key's owner.
"""

from functools import partial
from itertools import chain
from typing import final

import msgspec

from briartack.core.calls import placement
from briartack.core.calls.body_arrivals import describe_body, order_for_body
from briartack.core.calls.call_context import CallContext, Member, Regions
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.call_table import Call
from briartack.core.calls.choice_types import (
    LARGE_BODY_BYTES,
    AttemptNeeds,
    ChosenEndpoint,
    EndpointChoice,
    SelectionFailure,
)
from briartack.core.calls.completion_choice import CompletionChooser
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.expected_times import ExpectedTimes
from briartack.core.calls.fingerprint import Fingerprint
from briartack.core.calls.key_owner import choose_key_owner
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.routing import (
    RoutingState,
    Scopes,
    choose_member,
    find_nearest_scope,
)
from briartack.core.calls.run_times import TypicalTimes
from briartack.core.calls.streams import dial_nearest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.rendezvous import rank


@final
class EndpointChooser(msgspec.Struct, frozen=True, kw_only=True):
    """Choose endpoints by placement, expected completion, load and run time.

    The load decides where owners state too little to expect a completion.
    """

    routing: RoutingState
    endpoints: EndpointsState
    upstream: LocalUpstream
    drain: DrainState
    typical_times: TypicalTimes = msgspec.field(default_factory=TypicalTimes)
    expected_times: ExpectedTimes = msgspec.field(default_factory=ExpectedTimes)

    def choose_for_call(
        self,
        context: CallContext,
        now: float,
        call: Call,
        suspect: Fingerprint | None = None,
    ) -> EndpointChoice:
        """Choose the endpoint of the next attempt of a call.

        `suspect` is the fingerprint of a request that was running when an
        upstream ended. All daemons choose the same endpoint for it while that
        has room, so that it does not reach several upstreams at once, and
        different ones for the requests that ran beside it.

        Home regions and instances out of service are read from the active
        snapshot, because the snapshot that routed the call may be minutes old.

        A run that would probably be aborted by this daemon's own stop is not
        begun.
        """
        choice = self._choose(context, now, call, suspect)
        if isinstance(choice, ChosenEndpoint):
            run_seconds = self._get_run_seconds(context, now, choice.member)
            if now + (run_seconds or 0) > self.drain.deadline:
                return SelectionFailure.STOP_TOO_NEAR
            if not self._takes_body(choice.member, call.body_bytes):
                return SelectionFailure.NO_ROOM
        return choice

    def choose_among(
        self,
        context: CallContext,
        now: float,
        scopes: Scopes,
        regions: Regions,
        *,
        needs: AttemptNeeds,
        deadline: float = float('-inf'),
    ) -> EndpointChoice:
        """Choose among candidates, with untried ones first.

        Owners whose stop may end before the deadline are not chosen, nor owners
        that lack room for a large body.
        """
        choice = self._choose_by_completion(
            context, now, scopes, needs=needs, deadline=deadline
        )
        if choice is None:
            choice = self._choose_by_load(
                context, now, scopes, needs=needs, deadline=deadline
            )
        if isinstance(choice, SelectionFailure):
            return choice
        if choice is not None:
            return ChosenEndpoint(member=choice, regions=regions)
        dials = dial_nearest(context, now, scopes, self.endpoints)
        return SelectionFailure.NO_ENDPOINT if dials is None else dials

    def may_take(
        self,
        context: CallContext,
        now: float,
        needs: AttemptNeeds,
        deadline: float,
        member: Member,
    ) -> bool:
        """Return whether an instance may get an attempt and its body now."""
        if needs.body_bytes >= LARGE_BODY_BYTES and not (
            self._has_memory(now, member)
            and self._takes_body(member, needs.body_bytes)
        ):
            return False
        return self._is_available(context, now, member, needs.limits, deadline)

    def has_body_room(
        self, now: float, needs: AttemptNeeds, member: Member, *, is_near: bool
    ) -> bool:
        """Return whether an instance has room for the body of an attempt."""
        if needs.body_bytes < LARGE_BODY_BYTES:
            return True
        return self._takes_body(member, needs.body_bytes) and self._has_room(
            now, member, needs.limits.slots, is_near=is_near
        )

    def _choose_by_completion(
        self,
        context: CallContext,
        now: float,
        scopes: Scopes,
        *,
        needs: AttemptNeeds,
        deadline: float,
    ) -> Member | SelectionFailure | None:
        """Choose by the expected completion.

        Return `None` if none can be expected, or no instance is available.
        """
        times = self.expected_times.get(needs.service)
        if times is None or not context.rules.chooses_by_completion:
            return None
        estimator = self.expected_times.prepare(context, now, needs)
        if estimator is None:
            return None
        chooser = CompletionChooser(
            random=context.random,
            now=now,
            estimator=estimator,
            is_available=partial(self.may_take, context, now, needs, deadline),
            needs=needs,
        )
        return chooser.choose(scopes, times)

    def _choose_by_load(
        self,
        context: CallContext,
        now: float,
        scopes: Scopes,
        *,
        needs: AttemptNeeds,
        deadline: float,
    ) -> Member | SelectionFailure | None:
        """Choose by load, with untried instances first."""
        limits = needs.limits
        tried_instances = needs.tried_instances
        full_load = _select_full_load(context.rules, needs)
        needs_room = needs.body_bytes >= LARGE_BODY_BYTES

        def usable_load_of(member: Member) -> float | None:  # noqa: WPS430
            return self._compute_load(context, now, member, limits, deadline)

        nearest = (
            find_nearest_scope(scopes, usable_load_of) if needs_room else ()
        )

        def load_of(member: Member) -> float | None:  # noqa: WPS430
            has_room = self.has_body_room(
                now, needs, member, is_near=member in nearest
            )
            return usable_load_of(member) if has_room else None

        def untried_load_of(member: Member) -> float | None:  # noqa: WPS430
            return (
                None if member.instance in tried_instances else load_of(member)
            )

        member = choose_member(
            context.random, scopes, untried_load_of, full_load
        )
        if member is None and tried_instances and needs.allows_tried:
            member = choose_member(context.random, scopes, load_of, full_load)
        if member is None and nearest:
            # No body waits for a stream while owners that have one are full.
            return SelectionFailure.NO_ROOM
        return member

    def _choose(
        self,
        context: CallContext,
        now: float,
        call: Call,
        suspect: Fingerprint | None,
    ) -> EndpointChoice:
        """Choose by placement, key, suspicion and load, in this order."""
        snapshot = context.snapshot
        if snapshot is None:
            return SelectionFailure.NO_ENDPOINT
        regions = placement.intersect(
            placement.home_regions(snapshot, call.route, call.event.tenant),
            call.origin.home_regions,
        )
        if not placement.may_accept(regions, context):
            return SelectionFailure.PLACEMENT
        if call.event.idempotency_key:
            return choose_key_owner(self.endpoints, context, now, call, regions)
        scopes = self.routing.list_candidates(
            context,
            snapshot,
            call.share.service,
            regions,
        )
        if suspect is not None:
            member = self._choose_isolated(context, now, call, scopes, suspect)
            if member is not None:
                return ChosenEndpoint(member=member, regions=regions)
        return self._choose_for_body(context, now, call, regions, scopes)

    def _choose_for_body(
        self,
        context: CallContext,
        now: float,
        call: Call,
        regions: Regions,
        scopes: Scopes,
    ) -> EndpointChoice:
        """Choose an owner, by the waits for bodies first if these apply."""
        body = describe_body(context, now, call, scopes, self.endpoints)
        if body is not None:
            scopes = order_for_body(
                self.endpoints,
                now,
                body,
                scopes,
                load_of=partial(self._compute_untried_load, context, now, call),
                has_room=partial(self.has_body_room, now, _collect_needs(call)),
            )
            if not scopes:
                return SelectionFailure.NO_ROOM
        return self._choose_or_resort(context, now, call, regions, scopes)

    def _choose_or_resort(
        self,
        context: CallContext,
        now: float,
        call: Call,
        regions: Regions,
        scopes: Scopes,
    ) -> EndpointChoice:
        """Choose an owner; as the last resort, one that may stop too early."""
        choose = partial(
            self.choose_among,
            context,
            now,
            scopes,
            regions,
            needs=_collect_needs(call),
        )
        choice = choose(deadline=call.deadline)
        has_last_resort = not call.has_met_overload and not call.is_last_resort
        is_final = choice is SelectionFailure.OVERLOAD or not has_last_resort
        if isinstance(choice, ChosenEndpoint) or is_final:
            return choice
        if isinstance(choice, list) and not call.has_waited:
            # Owners without a stream may come; a call waits for them once.
            return choice
        last_resort = choose()
        if isinstance(last_resort, ChosenEndpoint):
            return msgspec.structs.replace(last_resort, is_last_resort=True)
        return choice

    def _compute_untried_load(
        self, context: CallContext, now: float, call: Call, member: Member
    ) -> float | None:
        if member.instance in call.tried_instances:
            return None
        return self._compute_load(
            context, now, member, call.share.limits, call.deadline
        )

    def _choose_isolated(
        self,
        context: CallContext,
        now: float,
        call: Call,
        scopes: Scopes,
        suspect: Fingerprint,
    ) -> Member | None:
        """Choose the endpoint of a suspect, `None` if all are full."""
        full_load = _select_full_load(context.rules, _collect_needs(call))

        def has_room(member: Member) -> bool:  # noqa: WPS430
            load = self._compute_load(
                context, now, member, call.share.limits, call.deadline
            )
            takes_body = self._takes_body(member, call.body_bytes)
            return takes_body and load is not None and load < full_load

        return min(
            (
                member
                for member in chain.from_iterable(scopes)
                if member.instance not in call.tried_instances
                and has_room(member)
            ),
            key=lambda member: rank(suspect.hex(), member.instance),
            default=None,
        )

    def _has_room(
        self, now: float, member: Member, slots: int, *, is_near: bool
    ) -> bool:
        """Return whether an instance has room for a large body.

        A body travels beyond the nearest usable scope only for a free slot.
        """
        endpoint = self.endpoints.get(member.instance)
        if endpoint is None:
            return True
        if not is_near and not endpoint.has_slot(now, member.slots or slots):
            return False
        return endpoint.has_memory(now)

    def _takes_body(self, member: Member, body_bytes: int) -> bool:
        """Return whether the daemon of an instance takes bodies of a size.

        A larger body would end the stream to a daemon of an earlier release.
        """
        endpoint = self.endpoints.get(member.instance)
        return endpoint is None or body_bytes <= endpoint.max_body_bytes

    def _compute_load(
        self,
        context: CallContext,
        now: float,
        member: Member,
        limits: ServiceLimits,
        deadline: float,
    ) -> float | None:
        """Return the load of an instance, or `None` if it is unavailable.

        The slots of the service apply if the instance list states none for the
        instance.
        """
        if not self._is_available(context, now, member, limits, deadline):
            return None
        endpoint = self.endpoints.get(member.instance)
        if endpoint is None:
            load = self.upstream.load(now)
        else:
            load = endpoint.estimate_load(now, member.slots or limits.slots)
        if self._is_slow(context, now, member):
            # Makes the instance look full, so that others are preferred.
            load += context.rules.full_load
        return load

    def _is_available(
        self,
        context: CallContext,
        now: float,
        member: Member,
        limits: ServiceLimits,
        deadline: float,
    ) -> bool:
        """Return whether an instance may get an attempt now.

        It is not leaving, avoided or silent, and has a stream.
        """
        if context.members.is_leaving(member.instance):
            return False
        if member.instance == context.identity.instance:
            return self.upstream.is_open
        endpoint = self.endpoints.get(member.instance)
        if endpoint is None or not endpoint.is_usable(now, deadline):
            return False
        slots = member.slots or limits.slots
        return endpoint.may_hold_another(now, slots + limits.queue_length)

    def _has_memory(self, now: float, member: Member) -> bool:
        """Return whether an instance has not lately lacked memory."""
        endpoint = self.endpoints.get(member.instance)
        return endpoint is None or endpoint.has_memory(now)

    def _is_slow(
        self,
        context: CallContext,
        now: float,
        member: Member,
    ) -> bool:
        """Return whether an instance is slow compared to its service.

        Stated slowdowns are exact, and the fixed bound is not used beside them.
        """
        service = member.service
        if self.expected_times.knows_slowdowns(service, now):
            return False
        if self.typical_times.is_due(service, now):
            self.typical_times.update(
                service,
                now,
                (
                    self._get_run_seconds(context, now, other)
                    for other in context.members.live_members_of(service)
                ),
            )
        mean = self._get_run_seconds(context, now, member)
        return self.typical_times.is_slow(service, mean)

    def _get_run_seconds(
        self,
        context: CallContext,
        now: float,
        member: Member,
    ) -> float | None:
        """Return the recent mean run time of an instance, if known."""
        if member.instance == context.identity.instance:
            return self.upstream.run_seconds(now) or None
        endpoint = self.endpoints.get(member.instance)
        return None if endpoint is None else endpoint.run_time.recent_mean(now)


def _collect_needs(call: Call) -> AttemptNeeds:
    return AttemptNeeds(
        limits=call.share.limits,
        service=call.share.service,
        route=call.route.name,
        target_at=call.target_at,
        deadline=call.deadline,
        tried_instances=call.tried_instances,
        allows_tried=call.last_refusal is None,
        body_bytes=call.body_bytes,
        has_large_answers=call.route.policy.has_large_answers is True,
        has_met_overload=call.has_met_overload,
    )


def _select_full_load(rules: CallRules, needs: AttemptNeeds) -> float:
    """Return the load of near upstreams from which farther ones are chosen.

    Sending a large body or answer farther costs more than a wait for a slot.
    If the wait would be too long, the owner refuses the attempt.
    """
    return rules.large_body_full_load if needs.is_large else rules.full_load
