"""What the call path reads of the rest of the core, as protocols."""

from collections.abc import Mapping
from random import Random
from typing import Protocol, TypeAlias, final

import msgspec

from briartack.core.calls.call_rules import DEFAULT_RULES, CallRules
from briartack.core.configuration.settings import (
    InstanceState,
    PlatformSettings,
    Policy,
    ServiceLimits,
)
from briartack.core.identity import Identity
from briartack.core.units import InstanceId, Revision

# `None` allows every region; an empty set allows none.
Regions: TypeAlias = frozenset[str] | None


class ShareView(Protocol):
    """Read one service of a route and its part of the calls."""

    @property
    def service(self) -> str:
        """Name the service."""

    @property
    def limits(self) -> ServiceLimits:
        """Bound one upstream of the service."""

    @property
    def weight(self) -> float:
        """Weigh it against the other shares of the route."""


class RouteView(Protocol):
    """Read a route whose references have been resolved."""

    @property
    def name(self) -> str:
        """Name it as TEAM/ROUTE."""

    @property
    def path_prefix(self) -> str:
        """Match paths that start with this text."""

    @property
    def host(self) -> str:
        """Name the host of its requests; empty allows all."""

    @property
    def methods(self) -> frozenset[str]:
        """List the allowed methods; empty allows all."""

    @property
    def shares(self) -> tuple[ShareView, ...]:
        """List the services that run its requests."""

    @property
    def policy(self) -> Policy:
        """Bound its attempts and time."""

    @property
    def home_regions(self) -> Regions:
        """List the regions of its workspace."""


class SnapshotView(Protocol):
    """Read the configuration that is in force."""

    @property
    def routes(self) -> tuple[RouteView, ...]:
        """List all routes, longest prefix first."""

    @property
    def services(self) -> Mapping[str, ServiceLimits]:
        """Map each service to its limits."""

    @property
    def tenant_regions(self) -> Mapping[str, frozenset[str]]:
        """Map each tenant of a workspace to its home regions."""

    @property
    def platform(self) -> PlatformSettings:
        """List what is out of service."""

    @property
    def highest(self) -> Revision:
        """Return the highest revision in force."""


class Member(Protocol):
    """Read one instance of the platform's list."""

    @property
    def instance(self) -> InstanceId:
        """Name the instance."""

    @property
    def service(self) -> str:
        """Name its service."""

    @property
    def data_centre(self) -> str:
        """Name its data centre."""

    @property
    def region(self) -> str:
        """Name its region."""

    @property
    def peer_address(self) -> str:
        """Give the IP:PORT at which its daemon takes streams."""

    @property
    def slots(self) -> int | None:
        """Bound its upstream, where the platform's list does."""


class UpstreamRecord(Protocol):
    """Read what the platform's list says of one start of an upstream."""

    @property
    def state(self) -> InstanceState | None:
        """Tell whether it leaves; `None` once it is not listed any more."""


class Members(Protocol):
    """Read the live list."""

    def of_service(self, service: str) -> tuple[Member, ...]:
        """Return the same tuple until the list of the service changes."""

    def get(self, instance: InstanceId) -> Member | None:
        """Find an instance by its name."""

    def is_leaving(self, instance: InstanceId) -> bool:
        """Tell whether the list says that an instance will stop."""

    def record(self, record_id: str) -> UpstreamRecord | None:
        """Find a record by the id of the upstream, also a deleted one."""

    @property
    def instance_count(self) -> int:
        """Count the live instances."""


@final
class CallContext(msgspec.Struct, frozen=True, kw_only=True):
    """Carry what one event may read outside the call path."""

    identity: Identity
    snapshot: SnapshotView | None
    members: Members
    random: Random
    is_stopping: bool = False
    # False after a pause until the configuration has been confirmed.
    is_confirmed: bool = True
    rules: CallRules = DEFAULT_RULES
