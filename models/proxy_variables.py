"""Declare the variables of two proxies and model pulls between them."""

from itertools import product
from typing import Final, TypeAlias

import z3

from models.acceptance_rules import AcceptanceRules, IncomingEntry, ProxyState
from models.subtree_history import TEAMS, VERSION_SORT, no_version
from models.transitions import Variables

PROXIES: Final = (0, 1)
PROXY_FIELDS: Final = ('active', 'resources', 'waiting', 'retained')
# A pair of the receiving proxy and the team whose entry the proxy receives.
DeliveryChoice: TypeAlias = tuple[int, int]
ALL_CHOICES: Final[tuple[DeliveryChoice, ...]] = tuple(product(PROXIES, TEAMS))


def list_proxy_variables(proxy: int, team: int) -> tuple[str, ...]:
    """Return the names of the variables of one team at a proxy."""
    return tuple(f'{field}_{proxy}_{team}' for field in PROXY_FIELDS)


def build_proxy_sorts() -> dict[str, z3.SortRef]:
    """Return the sorts of the state variables of both proxies."""
    return {
        name: VERSION_SORT
        for proxy, team in ALL_CHOICES
        for name in list_proxy_variables(proxy, team)
    }


def read_state(now: Variables, proxy: int) -> ProxyState:
    """Return the state of a proxy from the variables of the system."""
    active, resources, waiting, retained = (
        tuple(now[f'{field}_{proxy}_{team}'] for team in TEAMS)
        for field in PROXY_FIELDS
    )
    return ProxyState(
        active=active,
        resources=resources,
        waiting=waiting,
        retained=retained,
    )


def build_empty_state() -> ProxyState:
    """Return the state of a proxy that has just started."""
    nothing = tuple(no_version() for _ in TEAMS)
    return ProxyState(
        active=nothing,
        resources=nothing,
        waiting=nothing,
        retained=nothing,
    )


def list_entries(
    rules: AcceptanceRules, sender: ProxyState, team: int
) -> list[IncomingEntry]:
    """Return a sender's entries of a team: the active and the waiting entry."""
    return [
        rules.build_entry(sender, team, versions[team])
        for versions in (sender.active, sender.waiting)
    ]


def pull_all(
    rules: AcceptanceRules, receiver: ProxyState, sender: ProxyState
) -> ProxyState:
    """Return the state of a receiver after a pull of all entries."""
    for team in rules.teams:
        for incoming in list_entries(rules, sender, team):
            receiver = rules.accept(receiver, incoming)
    return receiver
