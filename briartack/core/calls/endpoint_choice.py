"""Selection of the endpoint for one attempt of a call.

Used by the sender, and by the key issuer to select a key's owner.
"""

import enum
from functools import partial
from itertools import chain
from typing import Final, TypeAlias, final

import msgspec

from briartack.core.calls import placement
from briartack.core.calls.call_context import CallContext, Member, Regions
from briartack.core.calls.call_rules import CallRules
from briartack.core.calls.call_table import Call
from briartack.core.calls.drain import DrainState
from briartack.core.calls.endpoints import EndpointsState
from briartack.core.calls.fingerprint import Fingerprint
from briartack.core.calls.local_upstream import LocalUpstream
from briartack.core.calls.routing import (
    RoutingState,
    Scopes,
    choose_member,
    find_nearest_scope,
    is_out_of_service,
)
from briartack.core.calls.run_times import TypicalTimes
from briartack.core.calls.streams import dial_nearest
from briartack.core.configuration.settings import ServiceLimits
from briartack.core.effects import Effects
from briartack.core.rendezvous import rank
from briartack.core.units import InstanceId

LARGE_BODY_BYTES: Final = 16_384


@final
@enum.unique
class SelectionFailure(enum.Enum):
    """Enumerate the reasons why no endpoint can be chosen now or soon."""

    PLACEMENT = enum.auto()
    KEY_OWNER_GONE = enum.auto()
    NO_ENDPOINT = enum.auto()
    # Only owners without room for a large body are left.
    NO_ROOM = enum.auto()
    # The planned stop of this daemon would abort a run of average length.
    STOP_TOO_NEAR = enum.auto()


@final
class ChosenEndpoint(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a chosen endpoint and the home regions that allow its use.

    One that is the last resort may have a planned stop before the deadline of
    the call; no other is available.
    """

    member: Member
    regions: Regions
    is_last_resort: bool = False


# A list of effects dials peers, and the call waits for their streams.
EndpointChoice: TypeAlias = ChosenEndpoint | SelectionFailure | Effects


@final
class EndpointChooser(msgspec.Struct, frozen=True, kw_only=True):
    """Choose endpoints by placement, load and run time."""

    routing: RoutingState
    endpoints: EndpointsState
    upstream: LocalUpstream
    drain: DrainState
    typical_times: TypicalTimes = msgspec.field(default_factory=TypicalTimes)

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
        return choice

    def choose_among(
        self,
        context: CallContext,
        now: float,
        scopes: Scopes,
        regions: Regions,
        *,
        limits: ServiceLimits,
        tried_instances: tuple[InstanceId, ...] = (),
        allows_tried: bool = True,
        deadline: float = float('-inf'),
        body_bytes: int = 0,
    ) -> EndpointChoice:
        """Choose among candidates, with untried ones first.

        `allows_tried` permits tried instances if no other is available. An
        owner that has just refused a call would refuse it again, so the flag
        is false after a free refusal. Owners whose stop may end before the
        deadline are not chosen, nor owners that lack room for a large body.
        """
        full_load = _select_full_load(context.rules, body_bytes)
        needs_room = body_bytes >= LARGE_BODY_BYTES

        def usable_load_of(member: Member) -> float | None:  # noqa: WPS430
            return self._compute_load(context, now, member, limits, deadline)

        nearest = (
            find_nearest_scope(scopes, usable_load_of) if needs_room else ()
        )

        def load_of(member: Member) -> float | None:  # noqa: WPS430
            lacks_room = needs_room and not self._has_room(
                now, member, limits.slots, is_near=member in nearest
            )
            return None if lacks_room else usable_load_of(member)

        def untried_load_of(member: Member) -> float | None:  # noqa: WPS430
            return (
                None if member.instance in tried_instances else load_of(member)
            )

        member = choose_member(
            context.random, scopes, untried_load_of, full_load
        )
        if member is None and tried_instances and allows_tried:
            member = choose_member(context.random, scopes, load_of, full_load)
        if member is not None:
            return ChosenEndpoint(member=member, regions=regions)
        if nearest:
            # No body waits for a stream while owners that have one are full.
            return SelectionFailure.NO_ROOM
        dials = dial_nearest(context, now, scopes, self.endpoints)
        return SelectionFailure.NO_ENDPOINT if dials is None else dials

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
            return self._choose_key_owner(context, now, call, regions)
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
        choose = partial(
            self.choose_among,
            context,
            now,
            scopes,
            regions,
            limits=call.share.limits,
            tried_instances=call.tried_instances,
            allows_tried=call.last_refusal is None,
            body_bytes=call.body_bytes,
        )
        choice = choose(deadline=call.deadline)
        has_last_resort = not call.has_met_overload and not call.is_last_resort
        if isinstance(choice, ChosenEndpoint) or not has_last_resort:
            return choice
        if isinstance(choice, list) and not call.has_waited:
            # Owners without a stream may come; a call waits for them once.
            return choice
        last_resort = choose()
        if isinstance(last_resort, ChosenEndpoint):
            return msgspec.structs.replace(last_resort, is_last_resort=True)
        return choice

    def _choose_isolated(
        self,
        context: CallContext,
        now: float,
        call: Call,
        scopes: Scopes,
        suspect: Fingerprint,
    ) -> Member | None:
        """Choose the endpoint of a suspect, `None` if all are full."""
        full_load = _select_full_load(context.rules, call.body_bytes)

        def has_room(member: Member) -> bool:  # noqa: WPS430
            load = self._compute_load(
                context, now, member, call.share.limits, call.deadline
            )
            return load is not None and load < full_load

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
        if context.members.is_leaving(member.instance):
            return None
        if member.instance == context.identity.instance:
            if not self.upstream.is_open:
                return None
            load = self.upstream.load(now)
        else:
            endpoint = self.endpoints.get(member.instance)
            if endpoint is None or not endpoint.is_usable(now, deadline):
                return None
            slots = member.slots or limits.slots
            if not endpoint.may_hold_another(now, slots + limits.queue_length):
                return None
            load = endpoint.estimate_load(now, slots)
        if self._is_slow(context, now, member):
            # Makes the instance look full, so that others are preferred.
            load += context.rules.full_load
        return load

    def _is_slow(
        self,
        context: CallContext,
        now: float,
        member: Member,
    ) -> bool:
        """Return whether an instance is slow compared to its service."""
        service = member.service
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

    def _choose_key_owner(
        self,
        context: CallContext,
        now: float,
        call: Call,
        regions: Regions,
    ) -> EndpointChoice:
        """Choose the only instance that may run a call with an idempotency key.

        A key issued by a daemon names its owner. A key made by the caller is
        hashed over the live instance list, so daemons whose lists differ may
        choose different owners.
        """
        owner = self._find_key_owner(context, call, regions)
        if owner is None:
            is_issued = call.issued_key is not None
            return (
                SelectionFailure.KEY_OWNER_GONE
                if is_issued
                else SelectionFailure.NO_ENDPOINT
            )
        if not placement.may_hold(regions, owner.region):
            return SelectionFailure.PLACEMENT
        if owner.instance == context.identity.instance:
            return ChosenEndpoint(member=owner, regions=regions)
        if self.endpoints.get(owner.instance) is not None:
            return ChosenEndpoint(member=owner, regions=regions)
        dials = dial_nearest(context, now, ((owner,),), self.endpoints)
        return SelectionFailure.NO_ENDPOINT if dials is None else dials

    def _find_key_owner(
        self,
        context: CallContext,
        call: Call,
        regions: Regions,
    ) -> Member | None:
        """Return the owner of the call's key, or `None` if it is gone.

        The owner of an issued key is gone once it has restarted, which changes
        its incarnation.
        """
        issued = call.issued_key
        if issued is None:
            return _select_hashed_owner(context, call, regions)
        incarnation = context.identity.incarnation
        if issued.instance != context.identity.instance:
            endpoint = self.endpoints.get(issued.instance)
            incarnation = (
                endpoint.incarnation if endpoint else issued.incarnation
            )
        if issued.incarnation != incarnation:
            return None
        return context.members.get(issued.instance)


def _select_full_load(rules: CallRules, body_bytes: int) -> float:
    """Return the load of near upstreams from which farther ones are chosen.

    Sending a large body farther costs more than a wait for a slot. If the wait
    would be too long, the owner refuses the attempt.
    """
    is_large = body_bytes >= LARGE_BODY_BYTES
    return rules.large_body_full_load if is_large else rules.full_load


def _select_hashed_owner(
    context: CallContext,
    call: Call,
    regions: Regions,
) -> Member | None:
    """Return the available instance with the lowest hash for a key.

    Instances outside the home regions, out of service or about to stop are
    not available.
    """
    snapshot = context.snapshot
    members = context.members
    key = call.event.idempotency_key
    return min(
        (
            member
            for member in members.live_members_of(call.share.service)
            if snapshot is not None
            and placement.may_hold(regions, member.region)
            and not is_out_of_service(snapshot.platform, member)
            and not members.is_leaving(member.instance)
        ),
        key=lambda member: rank(key, member.instance),
        default=None,
    )
