"""Placement: which regions may serve, send or store a request."""

from briartack.core.calls.call_context import (
    CallContext,
    Regions,
    RouteView,
    SnapshotView,
)


def home_regions(
    snapshot: SnapshotView,
    route: RouteView,
    tenant: str,
) -> Regions:
    """Intersect the home regions of a route and a tenant."""
    of_tenant = snapshot.tenant_regions.get(tenant) if tenant else None
    return intersect(route.home_regions, of_tenant)


def intersect(left: Regions, right: Regions) -> Regions:
    """Keep the regions that both sides allow."""
    if left is None:
        return right
    if right is None:
        return left
    return left & right


def may_hold(regions: Regions, region: str) -> bool:
    """Tell whether a region may hold any part of a request."""
    return regions is None or region in regions


def may_enter(regions: Regions, context: CallContext) -> bool:
    """Tell whether the daemon that a caller chose may take its request."""
    if context.rules.relays_outside_home and regions != frozenset():
        return True
    return may_hold(regions, context.identity.region)


def read_regions(regions: tuple[str, ...]) -> Regions:
    """Read the home regions of an attempt; none listed means no bound."""
    return frozenset(regions) or None


def listed_regions(regions: Regions) -> tuple[str, ...]:
    """List home regions for an attempt or a header."""
    return tuple(sorted(regions)) if regions else ()
