"""Placement rules: the regions that may serve, send or store a request."""

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
    """Return the home regions that the route and the tenant have in common."""
    tenant_regions = snapshot.tenant_regions.get(tenant) if tenant else None
    return intersect(route.home_regions, tenant_regions)


def intersect(left: Regions, right: Regions) -> Regions:
    """Return the regions that both sides allow; `None` allows all."""
    if left is None:
        return right
    if right is None:
        return left
    return left & right


def may_hold(regions: Regions, region: str) -> bool:
    """Return whether a region may hold any part of a request."""
    return regions is None or region in regions


def may_accept(regions: Regions, context: CallContext) -> bool:
    """Return whether the daemon that a caller chose may accept its request.

    Rules may let a daemon outside the home regions relay the request to these
    regions, unless no region is allowed.
    """
    if context.rules.relays_outside_home and regions != frozenset():
        return True
    return may_hold(regions, context.identity.region)


def parse_regions(regions: tuple[str, ...]) -> Regions:
    """Parse the home regions of an attempt; an empty list allows all."""
    return frozenset(regions) or None


def format_regions(regions: Regions) -> tuple[str, ...]:
    """Return the sorted home regions for an attempt or a header."""
    return tuple(sorted(regions)) if regions else ()
