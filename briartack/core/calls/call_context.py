"""Read-only views of the rest of the core for the call path.

The protocols describe the configuration snapshot and the instance list, so
that the call path does not depend on the modules that maintain them.
"""

from collections.abc import Mapping
from random import Random
from typing import Protocol, TypeAlias, final

import msgspec

from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.configuration.settings import (
    CallerLimits,
    PlatformSettings,
    Policy,
    ServiceLimits,
)
from briartack.core.identity import Identity
from briartack.core.tenants.tenant_table import TenantTable
from briartack.core.units import InstanceId, Revision

# `None` allows every region; an empty set allows none.
Regions: TypeAlias = frozenset[str] | None


class ShareView(Protocol):
    """Describe one service of a route and its share of the route's calls."""

    @property
    def service(self) -> str:
        """Return the name of the service."""

    @property
    def limits(self) -> ServiceLimits:
        """Return the limits of each upstream of the service."""

    @property
    def weight(self) -> float:
        """Return the weight relative to the other shares of the route."""


class RouteView(Protocol):
    """Describe a route whose references have been resolved."""

    @property
    def name(self) -> str:
        """Return the name in the form TEAM/ROUTE."""

    @property
    def path_prefix(self) -> str:
        """Return the text with which matching paths start."""

    @property
    def host(self) -> str:
        """Return the host of matching requests; empty matches all hosts."""

    @property
    def methods(self) -> frozenset[str]:
        """Return the matching methods; empty matches all methods."""

    @property
    def shares(self) -> tuple[ShareView, ...]:
        """Return the services that run the route's requests."""

    @property
    def policy(self) -> Policy:
        """Return the limits on time, attempts and retries, and the priority."""

    @property
    def home_regions(self) -> Regions:
        """Return the home regions of the route's workspace."""

    @property
    def is_public(self) -> bool:
        """Return whether callers need no API key."""


class SnapshotView(Protocol):
    """Describe the active configuration."""

    @property
    def routes(self) -> tuple[RouteView, ...]:
        """Return all routes, longest prefix first."""

    @property
    def services(self) -> Mapping[str, ServiceLimits]:
        """Return the limits of each service by its name."""

    @property
    def tenant_regions(self) -> Mapping[str, frozenset[str]]:
        """Return the home regions of each tenant that has any."""

    @property
    def tenants(self) -> TenantTable:
        """Return the tenants with API keys."""

    @property
    def caller_limits(self) -> CallerLimits:
        """Return what callers may send, and how long they may take."""

    @property
    def platform(self) -> PlatformSettings:
        """Return the data centres and instances that are out of service."""

    @property
    def highest(self) -> Revision:
        """Return the highest revision in the active configuration."""


class Member(Protocol):
    """Describe one instance of the platform's instance list."""

    @property
    def instance(self) -> InstanceId:
        """Return the name of the instance."""

    @property
    def service(self) -> str:
        """Return the name of the instance's service."""

    @property
    def data_centre(self) -> str:
        """Return the name of the instance's data centre."""

    @property
    def region(self) -> str:
        """Return the name of the instance's region."""

    @property
    def peer_address(self) -> str:
        """Return the IP:PORT at which the instance's daemon accepts streams."""

    @property
    def slots(self) -> int | None:
        """Return the upstream's slots, or `None` if the list states none."""

    @property
    def cold_ms(self) -> int:
        """Return for how long the list says that the upstream is cold."""


class MembershipView(Protocol):
    """Look up instances and upstream records in the live instance list."""

    def live_members_of(self, service: str) -> tuple[Member, ...]:
        """Return the instances of a service.

        The same tuple object is returned until the service's list changes, so
        callers may cache by identity.
        """

    def get(self, instance: InstanceId) -> Member | None:
        """Return the listed instance with this name, or `None`."""

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance is listed as about to stop."""

    def find_upstream(self, record_id: str) -> Member | None:
        """Return what the list says of an upstream, `None` if nothing."""

    def is_upstream_leaving(self, record_id: str) -> bool:
        """Return whether an upstream leaves or its record was deleted."""

    @property
    def instance_count(self) -> int:
        """Return the number of live instances."""

    def live_members(self) -> tuple[Member, ...]:
        """Return all live instances, as the same object until a change."""


@final
class CallContext(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the state outside the call path that one event may read."""

    identity: Identity
    snapshot: SnapshotView | None
    members: MembershipView
    random: Random
    is_stopping: bool = False
    # False after a pause until the configuration has been confirmed.
    is_confirmed: bool = True
    rules: CallRules = DEFAULT_RULES
    # This daemon or a peer has lately found the store away.
    is_store_away: bool = False
