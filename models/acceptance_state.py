"""Declare the variables of two proxies and model pulls between them."""

from itertools import product
from typing import Final, TypeAlias

import z3

from models.acceptance_rules import Acceptance, Held, Incoming
from models.subtree_history import TEAMS, VERSION_SORT, no_version
from models.transitions import Variables

PROXIES: Final = (0, 1)
FIELDS: Final = ('active', 'resources', 'waiting', 'retained')
# A pair of the receiving proxy and the team whose entry the proxy receives.
Choice: TypeAlias = tuple[int, int]
ALL_CHOICES: Final[tuple[Choice, ...]] = tuple(product(PROXIES, TEAMS))


def held_names(proxy: int, team: int) -> tuple[str, ...]:
    """Return the names of the variables of one team at a proxy."""
    return tuple(f'{field}_{proxy}_{team}' for field in FIELDS)


def held_sorts() -> dict[str, z3.SortRef]:
    """Return the sorts of the state variables of both proxies."""
    return {
        name: VERSION_SORT
        for proxy, team in ALL_CHOICES
        for name in held_names(proxy, team)
    }


def held(now: Variables, proxy: int) -> Held:
    """Return the state of a proxy from the variables of the system."""
    active, resources, waiting, retained = (
        tuple(now[f'{field}_{proxy}_{team}'] for team in TEAMS)
        for field in FIELDS
    )
    return Held(
        active=active,
        resources=resources,
        waiting=waiting,
        retained=retained,
    )


def empty() -> Held:
    """Return the state of a proxy that has just started."""
    nothing = tuple(no_version() for _ in TEAMS)
    return Held(
        active=nothing,
        resources=nothing,
        waiting=nothing,
        retained=nothing,
    )


def entries(rules: Acceptance, sender: Held, team: int) -> list[Incoming]:
    """Return a sender's entries of a team: the active and the waiting entry."""
    return [
        rules.entry(sender, team, versions[team])
        for versions in (sender.active, sender.waiting)
    ]


def pull_all(rules: Acceptance, receiver: Held, sender: Held) -> Held:
    """Return the state of a receiver after a pull of all entries."""
    for team in rules.teams:
        for incoming in entries(rules, sender, team):
            receiver = rules.take(receiver, incoming)
    return receiver
