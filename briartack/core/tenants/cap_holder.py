"""The buckets that a daemon holds, and its answers to requests for tokens."""

from typing import final

from briartack.core.calls.call_context import CallContext
from briartack.core.effects import Effects, SendMessage
from briartack.core.messages import CapGrant, CapRequest
from briartack.core.tenants.cap_bucket import CapBucket
from briartack.core.tenants.cut_off import CutOffDetector
from briartack.core.tenants.holders import HolderTable
from briartack.core.tenants.tenant_table import ResolvedTenant
from briartack.core.units import InstanceId


@final
class HeldCaps:
    """Hold the token buckets of the tenants whose holder this daemon is."""

    __slots__ = ('_holders', '_cut_off', '_buckets')

    def __init__(
        self, *, holders: HolderTable, cut_off: CutOffDetector
    ) -> None:
        self._holders = holders
        self._cut_off = cut_off
        self._buckets: dict[str, CapBucket] = {}

    def __len__(self) -> int:
        """Return the number of buckets in use."""
        return len(self._buckets)

    def is_held_here(self, context: CallContext, tenant: str) -> bool:
        """Return whether this daemon is the holder by its list.

        None is while it may be that others hold its tenants already.
        """
        if self._cut_off.is_cut_off:
            return False
        holder = self._holders.find(tenant)
        return (
            holder is not None and holder.instance == context.identity.instance
        )

    def find_bucket(
        self, context: CallContext, now: float, tenant: ResolvedTenant
    ) -> CapBucket:
        """Return the bucket of a tenant that is held here."""
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            own = context.identity.instance
            bucket = CapBucket(
                tenant=tenant,
                now=now,
                since=max(
                    self._holders.find_start(tenant.name, own),
                    self._cut_off.ended_at,
                ),
            )
            self._buckets[tenant.name] = bucket
        else:
            bucket.set_cap(now, tenant)
        return bucket

    def answer(
        self,
        context: CallContext,
        now: float,
        peer: InstanceId,
        asked: CapRequest,
    ) -> Effects:
        """Answer a request for tokens as the holder of a tenant."""
        tenant = find_tenant(context, asked.tenant)
        is_held = tenant is not None and self.is_held_here(
            context, asked.tenant
        )
        granted = CapGrant(
            tenant=asked.tenant,
            number=asked.number,
            tokens=0,
            is_holder=is_held,
        )
        if tenant is not None and is_held and not tenant.has_cap:
            # The asking daemon has a version that still limits the tenant.
            granted = CapGrant(
                tenant=asked.tenant,
                number=asked.number,
                tokens=asked.needed + asked.ahead,
            )
        elif tenant is not None and is_held:
            bucket = self.find_bucket(context, now, tenant)
            bucket.give_back(now, asked.returned)
            taken = bucket.take(now, asked.needed, asked.ahead)
            granted = CapGrant(
                tenant=asked.tenant,
                number=asked.number,
                tokens=taken.tokens,
                wait_seconds=taken.wait_seconds,
            )
        if not asked.needed and not asked.ahead:
            return []
        return [SendMessage(peer=peer, message=granted)]

    def give_back(self, now: float, tenant: str, returned: int) -> None:
        """Add tokens that were not used here."""
        bucket = self._buckets.get(tenant)
        if bucket is not None:
            bucket.give_back(now, returned)

    def drop_moved(self, context: CallContext) -> None:
        """Forget the buckets that others hold by the present list."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if self.is_held_here(context, name)
        }

    def apply_caps(self, context: CallContext, now: float) -> None:
        """Let the caps in force bind, and forget buckets of former tenants.

        Otherwise a bucket would fill at the former rate until its next use, and
        refuse calls below a raised cap. A bucket of a former tenant that is not
        full is kept, or a tenant that is defined again would get a whole burst.
        """
        for name, bucket in tuple(self._buckets.items()):
            tenant = find_tenant(context, name)
            if tenant is None:
                if bucket.is_full(now):
                    self._buckets.pop(name)
            elif tenant.has_cap:
                bucket.set_cap(now, tenant)


def find_tenant(context: CallContext, name: str) -> ResolvedTenant | None:
    """Return a tenant of the configuration in force, or `None`."""
    if context.snapshot is None:
        return None
    return context.snapshot.tenants.by_name.get(name)
