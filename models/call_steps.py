"""Declare the variables of an attempt and its owner, and unguarded steps."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

import z3

from models.transitions import Variables, unchanged

FIELDS: Final[Mapping[str, z3.SortRef]] = MappingProxyType(
    {
        'is_sent': z3.BoolSort(),
        'is_in_network': z3.BoolSort(),
        'named_incarnation': z3.IntSort(),
        'reading': z3.IntSort(),
        'incarnation': z3.IntSort(),
        'clock': z3.IntSort(),
        # The owner remembers the attempt's id, from a start or a refusal.
        'is_remembered': z3.BoolSort(),
        'remembered_at': z3.IntSort(),
        # The owner answered `not-run`, which may arrive at any later time.
        'is_refused': z3.BoolSort(),
        'has_run': z3.BoolSort(),
        # The outcome recorded by the sender; the first outcome is final.
        'heard_not_run': z3.BoolSort(),
        'is_unknown': z3.BoolSort(),
    }
)


@final
class Attempt:
    """Look up the variables of one attempt and its owner in a state."""

    __slots__ = ('_now', '_number')

    def __init__(self, now: Variables, number: int) -> None:
        self._now = now
        self._number = number

    def __getitem__(self, field: str) -> z3.ExprRef:
        return self._now[f'{field}_{self._number}']

    def keeps(self, after: Variables, *changing: str) -> z3.BoolRef:
        """Return the condition that only the named variables change."""
        names = [f'{field}_{self._number}' for field in changing]
        return unchanged(self._now, after, *names)


def refuse(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the owner reads and refuses the attempt."""
    # The owner has no free slot or a guard fails. The request has been read
    # and cannot be read again.
    one = Attempt(now, number)
    then = Attempt(after, number)
    return z3.And(
        one['is_in_network'],
        z3.Not(then['is_in_network']),
        then['is_refused'],
        one.keeps(after, 'is_in_network', 'is_refused'),
    )


def hear_refusal(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the sender receives the refusal."""
    # The sender drops an answer to an attempt that it has given up.
    one = Attempt(now, number)
    return z3.And(
        one['is_refused'],
        z3.Not(one['is_unknown']),
        Attempt(after, number)['heard_not_run'],
        one.keeps(after, 'heard_not_run'),
    )


def expire(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the sender gives up the attempt."""
    # The deadline passed, or the sender detected that it had been paused.
    one = Attempt(now, number)
    return z3.And(
        one['is_sent'],
        z3.Not(one['heard_not_run']),
        Attempt(after, number)['is_unknown'],
        one.keeps(after, 'is_unknown'),
    )


def pass_time(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the owner's clock advances."""
    one = Attempt(now, number)
    return z3.And(
        Attempt(after, number)['clock'] > one['clock'],
        one.keeps(after, 'clock'),
    )


def restart(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the owner restarts."""
    one = Attempt(now, number)
    then = Attempt(after, number)
    return z3.And(
        then['incarnation'] > one['incarnation'],
        z3.Not(then['is_remembered']),
        one.keeps(after, 'incarnation', 'clock', 'is_remembered'),
    )
