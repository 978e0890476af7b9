"""One decoded version of a key, and the definitions that versions offer.

A version is decoded once, when it arrives. Only routes refer to resources,
so a resource can be sent to another daemon on its own, as a definition.
"""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass
from functools import lru_cache
from typing import Final, NamedTuple, final

import msgspec

from briartack.core.configuration.settings import (
    PlatformSettings,
    Policy,
    Route,
    ServiceLimits,
    TeamSettings,
    Workspace,
)
from briartack.core.configuration.validation import (
    Resource,
    route_references,
    section_of,
    split_reference,
    team_of,
    validate_platform,
    validate_team,
)
from briartack.core.entries import Definition, is_platform_key
from briartack.core.units import Digest, Revision

DIGEST_BYTES: Final = 16
KINDS: Final = ('services', 'policies', 'workspaces')
# Most of the routes of a team name the same few services and policies.
_REFERENCE_CACHE_SIZE: Final = 4096
_NO_TEAM: Final = TeamSettings()
_NO_PLATFORM: Final = PlatformSettings()


@final
class ResourceId(NamedTuple):
    """Name a resource of any team."""

    kind: str
    team: str
    name: str

    @property
    def qualified(self) -> str:
        """Give the name that routes of other teams use."""
        return f'{self.team}/{self.name}'

    def __str__(self) -> str:
        """Give kind and name, as operators read them."""
        return f'{self.kind}/{self.team}/{self.name}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """Hold a definition and the owner's last revision that had it."""

    revision: Revision
    resource: Resource

    @property
    def order(self) -> tuple[Revision, str]:
        """Order definitions of one resource; the greatest is in force."""
        return (self.revision, self.text)

    @property
    def text(self) -> str:
        """Give the JSON text, the same on all daemons."""
        return msgspec.json.encode(self.resource).decode()

    def definition(self, resource_id: ResourceId) -> Definition:
        """Make the form in which peers exchange it."""
        return Definition(
            team=resource_id.team,
            kind=resource_id.kind,
            name=resource_id.name,
            revision=self.revision,
            value=self.text,
        )


@final
@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class Version:
    """Hold one well-formed version of a key; a deletion is empty."""

    key: str
    revision: Revision
    text: str | None
    digest: Digest
    team: str  # empty for the platform
    settings: TeamSettings
    platform: PlatformSettings
    defined: Mapping[ResourceId, Resource]
    foreign: frozenset[ResourceId]  # what its routes need of other teams

    @property
    def order(self) -> tuple[Revision, str]:
        """Order versions of one key; equal revisions occur by fault only."""
        return (self.revision, self.text or '')

    def held(self, resource_id: ResourceId) -> Held | None:
        """Give the definition of a resource of this team, if it has one."""
        resource = self.defined.get(resource_id)
        if resource is None:
            return None
        return Held(revision=self.revision, resource=resource)


def decode_version(
    key: str,
    revision: Revision,
    text: str | None,
) -> Version:
    """Decode a value or a deletion; raise InvalidValueError."""
    team = '' if is_platform_key(key) else team_of(key)
    settings = _NO_TEAM
    platform = _NO_PLATFORM
    if text is not None:
        if team:
            settings = validate_team(key, text)
        else:
            platform = validate_platform(key, text)
    return Version(
        key=key,
        revision=revision,
        text=text,
        digest=digest_of(key, revision, text),
        team=team,
        settings=settings,
        platform=platform,
        defined={
            ResourceId(kind, team, name): resource
            for kind in KINDS
            for name, resource in section_of(settings, kind).items()
        },
        foreign=_foreign(team, settings),
    )


def decode_definition(definition: Definition) -> Held:
    """Decode a definition of a peer; raise msgspec.DecodeError."""
    kinds: dict[str, type[Resource]] = {
        'services': ServiceLimits,
        'policies': Policy,
        'workspaces': Workspace,
    }
    kind = kinds.get(definition.kind)
    if kind is None:
        raise msgspec.ValidationError(f'unknown kind {definition.kind!r}')
    resource = msgspec.json.decode(definition.value, type=kind)
    return Held(revision=definition.revision, resource=resource)


def references_of(team: str, route: Route) -> tuple[ResourceId, ...]:
    """Give what a route refers to: services, policy, then any workspace."""
    return tuple(
        _resource_id(kind, reference, team)
        for kind, reference in route_references(route)
    )


@lru_cache(maxsize=_REFERENCE_CACHE_SIZE)
def _resource_id(kind: str, reference: str, team: str) -> ResourceId:
    return ResourceId(kind, *split_reference(reference, team))


def digest_of(*parts: object) -> Digest:
    """Hash the parts so that no two lists of parts look the same."""
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        if isinstance(part, bytes):
            payload = part
        else:
            payload = repr(part).encode()
        state.update(len(payload).to_bytes(8))
        state.update(payload)
    return Digest(state.digest())


def _foreign(team: str, settings: TeamSettings) -> frozenset[ResourceId]:
    return frozenset(
        resource_id
        for route in settings.routes
        for resource_id in references_of(team, route)
        if resource_id.team != team
    )
