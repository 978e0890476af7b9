"""Versioned values of the store, as daemons hold and exchange them."""

from typing import Final, final

import msgspec

from briartack.core.units import Digest, Revision

TEAM_PREFIX: Final = 'teams/'
INSTANCE_PREFIX: Final = 'instances/'
PLATFORM_KEY: Final = 'platform'
# Keys below it take something out of service each on its own.
PLATFORM_PREFIX: Final = 'platform/'


@final
class Definition(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry a resource that a reference of another team resolves to."""

    team: str
    kind: str  # services, policies or workspaces
    name: str
    revision: Revision  # the owner's last revision that defined it
    value: str  # JSON


@final
class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Carry one value of the store; a deletion has no value."""

    key: str
    revision: Revision
    value: str | None
    definitions: tuple[Definition, ...] = ()


@final
class KeyVersion(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Identify what a daemon holds under a key.

    Equal revisions may hide a difference: a version can wait here and be
    active at a peer that holds a definition which is missing here.
    """

    revision: Revision
    digest: Digest = Digest(b'')  # noqa: WPS404, RUF009


def is_platform_key(key: str) -> bool:
    """Tell whether a key says what is out of service."""
    return key == PLATFORM_KEY or key.startswith(PLATFORM_PREFIX)


def is_instance_key(key: str) -> bool:
    """Tell whether a key belongs to the platform's list of instances."""
    return key.startswith(INSTANCE_PREFIX)
