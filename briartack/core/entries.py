"""Versioned values of the store, as daemons hold and exchange them."""

from typing import Final, final

import msgspec

from briartack.core.units import Revision

TEAM_PREFIX: Final = 'teams/'
INSTANCE_PREFIX: Final = 'instances/'
PLATFORM_KEY: Final = 'platform'


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


def is_instance_key(key: str) -> bool:
    """Tell whether a key belongs to the platform's list of instances."""
    return key.startswith(INSTANCE_PREFIX)
