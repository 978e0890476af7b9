"""Declare the variables of an attempt and its owner, and unguarded steps."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

import z3

from models.transitions import Variables, unchanged

ATTEMPT_FIELDS: Final[Mapping[str, z3.SortRef]] = MappingProxyType(
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
class AttemptVariables:
    """Look up the variables of one attempt and its owner in a state."""

    __slots__ = ('_now', '_number')

    def __init__(self, now: Variables, number: int) -> None:
        self._now = now
        self._number = number

    def __getitem__(self, field: str) -> z3.ExprRef:
        return self._now[f'{field}_{self._number}']

    def changes_only(self, after: Variables, *changing: str) -> z3.BoolRef:
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
    attempt = AttemptVariables(now, number)
    attempt_after = AttemptVariables(after, number)
    return z3.And(
        attempt['is_in_network'],
        z3.Not(attempt_after['is_in_network']),
        attempt_after['is_refused'],
        attempt.changes_only(after, 'is_in_network', 'is_refused'),
    )


def receive_refusal(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the sender receives the refusal."""
    # The sender drops an answer to an attempt that it has given up.
    attempt = AttemptVariables(now, number)
    return z3.And(
        attempt['is_refused'],
        z3.Not(attempt['is_unknown']),
        AttemptVariables(after, number)['heard_not_run'],
        attempt.changes_only(after, 'heard_not_run'),
    )


def expire(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the sender gives up the attempt."""
    # The deadline passed, or the sender detected that it had been paused.
    attempt = AttemptVariables(now, number)
    return z3.And(
        attempt['is_sent'],
        z3.Not(attempt['heard_not_run']),
        AttemptVariables(after, number)['is_unknown'],
        attempt.changes_only(after, 'is_unknown'),
    )


def advance_clock(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the owner's clock advances."""
    attempt = AttemptVariables(now, number)
    return z3.And(
        AttemptVariables(after, number)['clock'] > attempt['clock'],
        attempt.changes_only(after, 'clock'),
    )


def restart(
    now: Variables,
    after: Variables,
    number: int,
) -> z3.BoolRef:
    """Return the condition that the owner restarts."""
    attempt = AttemptVariables(now, number)
    attempt_after = AttemptVariables(after, number)
    return z3.And(
        attempt_after['incarnation'] > attempt['incarnation'],
        z3.Not(attempt_after['is_remembered']),
        attempt.changes_only(after, 'incarnation', 'clock', 'is_remembered'),
    )
