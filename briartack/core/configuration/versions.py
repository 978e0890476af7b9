"""Decoded versions of a key and the resource definitions they contain.

A version is decoded once, when it arrives. Only routes refer to resources,
resources never do, so a single resource can be sent to another daemon as a
definition.
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
    get_section,
    iterate_references,
    parse_team_key,
    split_reference,
    validate_platform,
    validate_team,
)
from briartack.core.entries import Definition, StatedOrder, is_platform_key
from briartack.core.units import Digest, Revision

DIGEST_BYTES: Final = 16
KINDS: Final = ('services', 'policies', 'workspaces')
# Most routes of a team refer to the same few services and policies.
_REFERENCE_CACHE_SIZE: Final = 4096
_EMPTY_TEAM: Final = TeamSettings()
_EMPTY_PLATFORM: Final = PlatformSettings()


@final
class ResourceId(NamedTuple):
    """Identify a resource by kind, team and name."""

    kind: str
    team: str
    name: str

    @property
    def qualified(self) -> str:
        """Return TEAM/NAME, the form that routes of other teams use."""
        return f'{self.team}/{self.name}'

    def __str__(self) -> str:
        """Return KIND/TEAM/NAME, the form shown to operators."""
        return f'{self.kind}/{self.team}/{self.name}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class ResourceDefinition:
    """Hold a resource and the owner's last revision that contained it."""

    revision: Revision
    resource: Resource

    @property
    def sort_key(self) -> tuple[Revision, str]:
        """Return the sort key among definitions of a resource.

        The definition with the greatest key is effective.
        """
        return (self.revision, self.text)

    @property
    def text(self) -> str:
        """Return the JSON text of the resource, identical on all daemons."""
        return msgspec.json.encode(self.resource).decode()

    def encode(self, resource_id: ResourceId) -> Definition:
        """Encode the definition for exchange with peers."""
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
    """Hold one valid version of a key; a deletion has empty settings."""

    key: str
    revision: Revision
    stated: StatedOrder
    text: str | None
    digest: Digest
    team: str  # empty for platform keys
    settings: TeamSettings
    platform: PlatformSettings
    definitions: Mapping[ResourceId, Resource]
    foreign_references: frozenset[ResourceId]  # to resources of other teams

    @property
    def sort_key(self) -> tuple[Revision, str]:
        """Return the sort key among versions of a key.

        The text only decides between versions of equal revision, which
        occur only by a fault.
        """
        return (self.revision, self.text or '')

    def find_definition(
        self, resource_id: ResourceId
    ) -> ResourceDefinition | None:
        """Return the definition of a resource in this version, if any."""
        resource = self.definitions.get(resource_id)
        if resource is None:
            return None
        return ResourceDefinition(revision=self.revision, resource=resource)


def decode_version(
    key: str,
    revision: Revision,
    text: str | None,
    stated: StatedOrder = (),
) -> Version:
    """Decode and validate a value or a deletion.

    Raises InvalidValueError.
    """
    team = '' if is_platform_key(key) else parse_team_key(key)
    settings = _EMPTY_TEAM
    platform = _EMPTY_PLATFORM
    if text is not None:
        if team:
            settings = validate_team(key, text)
        else:
            platform = validate_platform(key, text)
    return Version(
        key=key,
        revision=revision,
        stated=stated,
        text=text,
        digest=compute_digest(key, revision, text),
        team=team,
        settings=settings,
        platform=platform,
        definitions={
            ResourceId(kind, team, name): resource
            for kind in KINDS
            for name, resource in get_section(settings, kind).items()
        },
        foreign_references=_collect_foreign_references(team, settings),
    )


def decode_definition(definition: Definition) -> ResourceDefinition:
    """Decode a definition received from a peer.

    Raises msgspec.DecodeError.
    """
    kinds: dict[str, type[Resource]] = {
        'services': ServiceLimits,
        'policies': Policy,
        'workspaces': Workspace,
    }
    kind = kinds.get(definition.kind)
    if kind is None:
        raise msgspec.ValidationError(
            f'unknown resource kind {definition.kind!r}'
        )
    resource = msgspec.json.decode(definition.value, type=kind)
    return ResourceDefinition(revision=definition.revision, resource=resource)


def list_references(team: str, route: Route) -> tuple[ResourceId, ...]:
    """Return the resources to which a route refers.

    The order is: service, policy, services of the split, workspace if set.
    """
    return tuple(
        _parse_reference(kind, reference, team)
        for kind, reference in iterate_references(route)
    )


@lru_cache(maxsize=_REFERENCE_CACHE_SIZE)
def _parse_reference(kind: str, reference: str, team: str) -> ResourceId:
    return ResourceId(kind, *split_reference(reference, team))


def compute_digest(*parts: object) -> Digest:
    """Hash a list of parts.

    Each part is preceded by its length, so that different lists never have
    the same hash input.
    """
    state = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        if isinstance(part, bytes):
            payload = part
        else:
            payload = repr(part).encode()
        state.update(len(payload).to_bytes(8))
        state.update(payload)
    return Digest(state.digest())


def _collect_foreign_references(
    team: str, settings: TeamSettings
) -> frozenset[ResourceId]:
    return frozenset(
        resource_id
        for route in settings.routes
        for resource_id in list_references(team, route)
        if resource_id.team != team
    )
