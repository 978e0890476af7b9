"""Select the routes and addresses that the demo calls in a deployment."""

from dataclasses import dataclass
from typing import final

import msgspec

from briartack.core.configuration.settings import Route, TeamSettings
from briartack.core.entries import TEAM_PREFIX
from standins.deployment import Deployment
from standins.deployment_site import InstanceSite
from standins.load import LoadCall

DEMO_BODY = b'{"from": "demo"}'
METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE'))


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """Hold a route of a tree with its references resolved."""

    route: Route
    service: str  # TEAM/NAME
    is_repeatable: bool
    home_regions: tuple[str, ...]

    @property
    def method(self) -> str:
        """Return the first method that the route allows."""
        return self.route.methods[0] if self.route.methods else 'GET'

    @property
    def path(self) -> str:
        """Return a path that matches the route."""
        return f'{self.route.path_prefix}demo'

    @property
    def body(self) -> bytes:
        """Return the request body, empty for methods without a body."""
        return b'' if self.method in METHODS_WITHOUT_BODY else DEMO_BODY

    def create_call(self, address: str) -> LoadCall:
        """Create a call of this route at a daemon's callers' address."""
        return LoadCall(
            address=address,
            method=self.method,
            path=self.path,
            body=self.body,
        )


def list_targets(deployment: Deployment) -> list[Target]:
    """Return the routes of the deployment's tree."""
    teams = {
        key.removeprefix(TEAM_PREFIX): msgspec.json.decode(
            text,
            type=TeamSettings,
        )
        for key, text in deployment.site.plan.tree.items()
        if key.startswith(TEAM_PREFIX)
    }
    return [
        _resolve_target(teams, team, route)
        for team, settings in teams.items()
        for route in settings.routes
    ]


def list_unrestricted_targets(deployment: Deployment) -> list[Target]:
    """Return the routes without home regions."""
    return [one for one in list_targets(deployment) if not one.home_regions]


def find_non_repeatable_target(deployment: Deployment) -> Target:
    """Return a non-repeatable route; raise LookupError if there is none."""
    for target in list_unrestricted_targets(deployment):
        if not target.is_repeatable:
            return target
    raise LookupError('no route of the tree is non-repeatable')


def find_home_region_target(deployment: Deployment) -> Target:
    """Return a route with home regions; raise LookupError if there is none."""
    for target in list_targets(deployment):
        if target.home_regions:
            return target
    raise LookupError('no route of the tree has home regions')


def list_entrance_sites(deployment: Deployment) -> list[InstanceSite]:
    """Return the addresses of the first instance of each region."""
    first: dict[str, InstanceSite] = {}
    for instance_site in deployment.site.instance_sites.values():
        first.setdefault(instance_site.plan.region, instance_site)
    return list(first.values())


def list_entrance_addresses(deployment: Deployment) -> list[str]:
    """Return the callers' address of the first instance of each region."""
    return [
        instance_site.caller_address
        for instance_site in list_entrance_sites(deployment)
    ]


def _resolve_target(
    teams: dict[str, TeamSettings],
    team: str,
    route: Route,
) -> Target:
    owner, name = _split_reference(team, route.policy)
    home_regions: tuple[str, ...] = ()
    if route.workspace:
        workspace_owner, workspace = _split_reference(team, route.workspace)
        home_regions = teams[workspace_owner].workspaces[workspace].home_regions
    return Target(
        route=route,
        service='/'.join(_split_reference(team, route.service)),
        is_repeatable=teams[owner].policies[name].repeatable,
        home_regions=home_regions,
    )


def _split_reference(team: str, reference: str) -> tuple[str, str]:
    owner, _, name = reference.rpartition('/')
    return owner or team, name
