"""Caps of tenants over all daemons, by tokens that their holders lease."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final, final

from briartack.core.calls.call_context import CallContext, Member
from briartack.core.effects import Effects, SendMessage
from briartack.core.messages import CapGrant, CapRequest, Hello
from briartack.core.tenants.cap_bucket import LEASE_SECONDS
from briartack.core.tenants.cap_fallback import compute_share
from briartack.core.tenants.cap_holder import HeldCaps, find_tenant
from briartack.core.tenants.cap_lease import SILENCE_SECONDS, CapLease
from briartack.core.tenants.cut_off import CutOffDetector
from briartack.core.tenants.holders import HolderTable
from briartack.core.tenants.tenant_counters import TenantCounters
from briartack.core.tenants.tenant_table import ResolvedTenant
from briartack.core.units import CallId, InstanceId

# A tenant without calls for this time is forgotten: its tokens have expired,
# and so has its window without a holder.
IDLE_SECONDS: Final = 10.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Token:
    """Hold when a token expires."""

    expires_at: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class BeyondCap:
    """State that a tenant has used up its cap for a time."""

    wait_seconds: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class WithoutHolder:
    """State that no holder is reached and the own share is used up."""

    wait_seconds: float


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AwaitHolder:
    """State that a call waits for the answer of a holder.

    Without a stream to the holder, one is needed.
    """

    holder: Member


TokenDecision = Token | BeyondCap | WithoutHolder | AwaitHolder


@final
@dataclass(slots=True, kw_only=True)
class Settlement:
    """Hold what is decided about calls that waited, and further messages."""

    decisions: list[tuple[CallId, TokenDecision]] = field(default_factory=list)
    effects: Effects = field(default_factory=list)


@final
class CapsState:
    """Hold the buckets of the tenants held here, and the leases of the others.

    `counters` holds what operators see.
    """

    __slots__ = (
        'counters',
        '_holders',
        '_cut_off',
        '_held',
        '_leases',
        '_peers',
        '_number',
        '_unavailable',
    )

    def __init__(self) -> None:
        self.counters = TenantCounters()
        self._holders = HolderTable()
        self._cut_off = CutOffDetector()
        self._held = HeldCaps(holders=self._holders, cut_off=self._cut_off)
        self._leases: dict[str, CapLease] = {}
        # Connected peers, and whether they understand requests for tokens.
        self._peers: dict[InstanceId, bool] = {}
        self._number = 0
        # The list for which this daemon, being about to stop, is left out.
        self._unavailable: tuple[
            tuple[Member, ...] | None, tuple[Member, ...]
        ] = (None, ())

    @property
    def leases(self) -> tuple[CapLease, ...]:
        """Return the leases of all tenants with calls here."""
        return tuple(self._leases.values())

    @property
    def held(self) -> HeldCaps:
        """Return the buckets that this daemon holds."""
        return self._held

    def list_blocked(self, now: float) -> Iterator[str]:
        """Yield the tenants that are refused until a later time."""
        for name, lease in self._leases.items():
            if now < lease.blocked_until:
                yield name

    def refresh(
        self, context: CallContext, now: float, *, is_leaving: bool
    ) -> None:
        """Take over the list of instances; drop buckets that moved away.

        A daemon that is about to stop holds none, since its peers have turned
        to other holders.
        """
        listed = context.members.live_members()
        if is_leaving:
            if self._unavailable[0] is not listed:
                own = context.identity.instance
                others = tuple(one for one in listed if one.instance != own)
                self._unavailable = (listed, others)
            listed = self._unavailable[1]
        is_list_new = self._holders.update(now, listed)
        is_cut_off_new = self._cut_off.update(
            now,
            self._holders.regions - {context.identity.region},
            is_store_away=context.is_store_away,
        )
        if is_list_new or is_cut_off_new:
            self._held.drop_moved(context)

    def acquire(
        self,
        context: CallContext,
        now: float,
        tenant: ResolvedTenant,
        call_id: CallId,
    ) -> TokenDecision:
        """Decide about a call that needs a token.

        A call that waits is recorded until its decision or its release.
        """
        lease = self._leases.setdefault(tenant.name, CapLease())
        lease.used_at = now
        lease.apply_cap(now, (tenant.calls_per_second, tenant.burst))
        expires_at = lease.take(now)
        if expires_at is not None:
            lease.record_use(now)
            return Token(expires_at=expires_at)
        if now < lease.blocked_until:
            return BeyondCap(wait_seconds=lease.room_at - now)
        if self._held.is_held_here(context, tenant.name):
            bucket = self._held.find_bucket(context, now, tenant)
            granted = bucket.take(now, needed=1, ahead=0)
            if not granted.tokens:
                return BeyondCap(wait_seconds=granted.wait_seconds)
            lease.record_use(now)
            return Token(expires_at=now + LEASE_SECONDS)
        holder = self._holders.find(tenant.name)
        own = context.identity.instance
        if (
            holder is None
            or holder.instance == own
            or not self._may_answer(now, lease, holder)
        ):
            return self._admit_alone(context, now, tenant, lease)
        lease.waiting[call_id] = None
        return AwaitHolder(holder=holder)

    def has_stream(self, holder: Member) -> bool:
        """Return whether the holder of a tenant is connected."""
        return holder.instance in self._peers

    def request(self, now: float, tenant: str) -> Effects:
        """Request tokens if calls wait, or soon will for lack of tokens."""
        lease = self._leases.get(tenant)
        holder = self._holders.find(tenant)
        if lease is None or holder is None:
            return []
        if not self._peers.get(holder.instance):
            return []
        if lease.has_open_request(now) or now < lease.blocked_until:
            return []
        needed = len(lease.waiting)
        if not needed and not lease.is_short(now):
            return []
        ahead = lease.count_ahead(now)
        self._number += 1
        lease.open_request(now, self._number)
        return [self._send_request(holder, tenant, lease, needed, ahead)]

    def handle_grant(
        self, context: CallContext, now: float, grant: CapGrant
    ) -> Settlement:
        """Give the tokens of a holder to the calls that wait."""
        lease = self._leases.get(grant.tenant)
        sent_at = None if lease is None else lease.close_request(grant.number)
        if lease is None or sent_at is None:
            return Settlement()
        if not grant.is_holder:
            lease.silent_until = now + SILENCE_SECONDS
            return self._settle_alone(context, now, grant.tenant, lease)
        lease.silent_until = now
        lease.add(now, sent_at + LEASE_SECONDS, grant.tokens)
        settled = Settlement()
        for call_id in tuple(lease.waiting):
            expires_at = lease.take(now)
            if expires_at is None:
                break
            lease.record_use(now)
            lease.waiting.pop(call_id)
            decision = Token(expires_at=expires_at)
            settled.decisions.append((call_id, decision))
        if grant.wait_seconds > 0:
            lease.block(now, grant.wait_seconds)
            refused = BeyondCap(wait_seconds=grant.wait_seconds)
            settled.decisions.extend((one, refused) for one in lease.waiting)
            lease.waiting.clear()
        if lease.waiting:
            settled.effects.extend(self.request(now, grant.tenant))
        return settled

    def give_up(
        self,
        context: CallContext,
        now: float,
        tenant: ResolvedTenant,
        call_id: CallId,
    ) -> TokenDecision:
        """Decide about a call that has waited for as long as it may."""
        lease = self._leases.setdefault(tenant.name, CapLease())
        lease.waiting.pop(call_id, None)
        lease.silent_until = now + SILENCE_SECONDS
        if not tenant.has_cap:
            # A version without the cap came into force during the wait.
            return Token(expires_at=now + LEASE_SECONDS)
        return self._admit_alone(context, now, tenant, lease)

    def release(
        self, tenant: str, call_id: CallId, now: float, expires_at: float | None
    ) -> None:
        """End the wait of a call that does not run, or take its token back."""
        lease = self._leases.get(tenant)
        if lease is not None:
            lease.waiting.pop(call_id, None)
            if expires_at is not None:
                lease.add(now, expires_at, 1)

    def compute_spread(
        self, now: float, tenant: ResolvedTenant, wait_seconds: float
    ) -> float:
        """Return the time over which refused callers come back.

        It is that in which the cap has room for the callers that this daemon
        refused in the last second, and this one. At least it doubles the wait.
        """
        lease = self._leases.setdefault(tenant.name, CapLease())
        lease.record_refusal(now)
        room_seconds = lease.refused_lately / tenant.calls_per_second
        return max(wait_seconds, room_seconds)

    def connect(self, peer: InstanceId, now: float, hello: Hello) -> Effects:
        """Send the requests that wait for a stream to a holder."""
        if peer in self._peers:
            return []
        self._peers[peer] = hello.leases_caps
        self._cut_off.connect(peer, hello.region)
        effects: Effects = []
        for tenant in self._list_waiting_for(peer):
            self._leases[tenant].drop_requests()
            effects.extend(self.request(now, tenant))
        return effects

    def disconnect(
        self, context: CallContext, now: float, peer: InstanceId
    ) -> Settlement:
        """Decide about the calls that wait for a holder without a stream."""
        self._peers.pop(peer, None)
        self._cut_off.disconnect(peer)
        settled = Settlement()
        for tenant in self._list_waiting_for(peer):
            lease = self._leases[tenant]
            lease.drop_requests()
            part = self._settle_alone(context, now, tenant, lease)
            settled.decisions.extend(part.decisions)
        return settled

    def tick(self, context: CallContext, now: float) -> Effects:
        """Return expired tokens, and forget the tenants without calls."""
        effects: Effects = []
        for name, lease in tuple(self._leases.items()):
            lease.expire(now)
            if lease.returned:
                effects.extend(self._return_tokens(context, now, name, lease))
            is_idle = now - lease.used_at > IDLE_SECONDS
            if is_idle and not lease.waiting and now > lease.blocked_until:
                self._leases.pop(name)
        self._held.apply_caps(context, now)
        self.counters.name_largest(now)
        return effects

    def _return_tokens(
        self, context: CallContext, now: float, name: str, lease: CapLease
    ) -> Effects:
        if self._held.is_held_here(context, name):
            self._held.give_back(now, name, lease.returned)
            lease.returned = 0
            return []
        holder = self._holders.find(name)
        if holder is None or not self._peers.get(holder.instance):
            lease.returned = 0
            return []
        return [self._send_request(holder, name, lease, needed=0, ahead=0)]

    def _send_request(
        self,
        holder: Member,
        tenant: str,
        lease: CapLease,
        needed: int,
        ahead: int,
    ) -> SendMessage:
        message = CapRequest(
            tenant=tenant,
            number=self._number,
            needed=needed,
            ahead=ahead,
            returned=lease.returned,
        )
        lease.returned = 0
        return SendMessage(peer=holder.instance, message=message)

    def _may_answer(self, now: float, lease: CapLease, holder: Member) -> bool:
        """Return whether it is worth waiting for the holder."""
        if now < lease.silent_until:
            return False
        # One without a stream can be dialled.
        return self._peers.get(holder.instance, True)

    def _settle_alone(
        self, context: CallContext, now: float, name: str, lease: CapLease
    ) -> Settlement:
        settled = Settlement()
        tenant = find_tenant(context, name)
        for call_id in lease.waiting:
            # The cap may have gone with the tenant.
            decision: TokenDecision = Token(expires_at=now + LEASE_SECONDS)
            if tenant is not None and tenant.has_cap:
                decision = self._admit_alone(context, now, tenant, lease)
            settled.decisions.append((call_id, decision))
        lease.waiting.clear()
        return settled

    def _admit_alone(
        self,
        context: CallContext,
        now: float,
        tenant: ResolvedTenant,
        lease: CapLease,
    ) -> TokenDecision:
        """Decide by this daemon's share of the cap without a holder."""
        share = compute_share(
            tenant,
            self._holders.instance_count,
            self._holders.find_position(tenant.name, context.identity.instance),
        )
        wait_seconds = lease.fallback.take(now, share)
        if wait_seconds > 0:
            return WithoutHolder(wait_seconds=wait_seconds)
        lease.record_use(now)
        return Token(expires_at=now + LEASE_SECONDS)

    def _list_waiting_for(self, peer: InstanceId) -> Iterator[str]:
        for tenant, lease in tuple(self._leases.items()):
            holder = self._holders.find(tenant)
            if lease.waiting and holder is not None:
                if holder.instance == peer:
                    yield tenant
