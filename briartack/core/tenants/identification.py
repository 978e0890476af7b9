"""Whose a new call is: a tenant's, an upstream's, or that of a public route."""

from dataclasses import dataclass
from typing import Final, final

from briartack.core.calls import reasons
from briartack.core.calls.call_context import Regions, RouteView, SnapshotView
from briartack.core.calls.reasons import Reason
from briartack.core.configuration.settings import MAX_RANK
from briartack.core.events import CallArrived
from briartack.core.tenants.tenant_table import ResolvedTenant


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class CallOrigin:
    """Hold whose call it is, and what follows from that.

    `tenant` is `None` without tenants, for calls of upstreams, and for calls of
    public routes without the key of a tenant.
    """

    tenant: ResolvedTenant | None = None
    may_be_of_run: bool = True  # the call may extend a request that runs here
    counts_towards_cap: bool = False

    @property
    def home_regions(self) -> Regions:
        """Return the home regions that the tenant had when the call came."""
        return None if self.tenant is None else self.tenant.home_regions


# Without tenants, every call may be that of a run.
UNKEYED: Final = CallOrigin()


def identify(
    snapshot: SnapshotView,
    route: RouteView,
    event: CallArrived,
    *,
    is_parent_running: bool,
) -> CallOrigin | Reason:
    """Return whose call it is, or why it is refused.

    `is_parent_running` says whether the id of the call extends that of a
    request that runs at the upstream of this daemon.
    """
    if not snapshot.tenants:
        return UNKEYED
    tenant = snapshot.tenants.by_key_digest.get(event.key_digest)
    if tenant is not None:
        return CallOrigin(
            tenant=tenant,
            may_be_of_run=False,
            counts_towards_cap=tenant.has_cap and not route.is_public,
        )
    if route.is_public:
        return UNKEYED
    if event.key_digest:
        return reasons.UNKNOWN_KEY
    if is_parent_running:
        return UNKEYED
    if event.parent_id:
        # This daemon may have restarted while its upstream went on.
        return reasons.UNKNOWN_RUN
    return reasons.NO_KEY


def compute_rank(
    snapshot: SnapshotView, route: RouteView, tenant: ResolvedTenant | None
) -> int:
    """Return the rank of a call; 0 is served first.

    The tenant's rank decides first and that of the route among equals. A call
    without a tenant stands among the tenants by the rank of its route.
    """
    own = route.policy.rank
    if not snapshot.tenants:
        return own
    first = own if tenant is None else tenant.rank
    return first * (MAX_RANK + 1) + own
