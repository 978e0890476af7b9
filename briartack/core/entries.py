"""Versioned store values in the form that daemons hold and exchange."""

from typing import Final, NamedTuple, Protocol, TypeAlias, final

import msgspec

from briartack.core.units import Digest, Revision

TEAM_PREFIX: Final = 'teams/'
INSTANCE_PREFIX: Final = 'instances/'
PLATFORM_KEY: Final = 'platform'
# Each key under this prefix holds an out-of-service list of its own.
PLATFORM_PREFIX: Final = 'platform/'


# Numbers that the writer of a value states; empty if it states none. The last
# one rises with each value of the same writer, the others identify the writer.
StatedOrder: TypeAlias = tuple[int, ...]


class _Ordered(Protocol):
    """Describe what orders the versions of a key."""

    @property
    def revision(self) -> Revision:
        """Return the revision of the write in the store."""

    @property
    def stated(self) -> StatedOrder:
        """Return the numbers that the writer states."""


@final
class Definition(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry a resource to which routes of another team refer."""

    team: str
    kind: str  # services, policies or workspaces
    name: str
    revision: Revision  # the owner's last revision that contained the resource
    value: str  # JSON


@final
class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry one version of a store key; the value of a deletion is `None`."""

    key: str
    revision: Revision
    value: str | None
    definitions: tuple[Definition, ...] = ()
    stated: StatedOrder = ()


@final
class KeyVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identify the state of a key on a daemon, for comparison with peers.

    The revision alone does not suffice: a version can wait on this daemon
    and be active on a peer that holds a definition which is missing here.
    """

    revision: Revision
    digest: Digest = Digest(b'')  # noqa: WPS404, RUF009
    stated: StatedOrder = ()


@final
class HighestRevisions(NamedTuple):
    """Hold the highest revision of each kind of entries.

    The kinds are read from the store separately. So entries of one kind may be
    missing below the highest revision of the other kind.
    """

    configuration: Revision
    instances: Revision


def is_later_version(version: _Ordered, other: _Ordered) -> bool:
    """Return whether a version of a key comes after another one.

    The order that the writer states holds across eras of the store. Revisions
    decide between versions that state none: the era in which a version was
    written is not always known, and a restored store repeats earlier versions.
    """
    if version.stated != other.stated and have_same_writer(
        version.stated, other.stated
    ):
        return version.stated > other.stated
    return version.revision > other.revision


def have_same_writer(stated: StatedOrder, other: StatedOrder) -> bool:
    """Return whether the order of two versions follows from what they state."""
    return bool(stated and other) and stated[:-1] == other[:-1]


def is_platform_key(key: str) -> bool:
    """Return whether a key holds an out-of-service list."""
    return key == PLATFORM_KEY or key.startswith(PLATFORM_PREFIX)


def is_team_key(key: str) -> bool:
    """Return whether a key holds the subtree of a team."""
    return key.startswith(TEAM_PREFIX)


def is_instance_key(key: str) -> bool:
    """Return whether a key belongs to the platform's instance list."""
    return key.startswith(INSTANCE_PREFIX)
