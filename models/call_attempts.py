"""Model at-most-once execution of one call over attempts at several owners.

The system follows section 8 of docs/design.md. A request travels on one
stream, so its owner reads the request at most once, after any delay. Answers
and cancellations may be lost, delayed, duplicated or reordered. Each owner may
restart with a new incarnation, no memory of attempts and any clock reading.
The sender may be paused at any point, because any step may come next.
"""

from collections.abc import Mapping
from typing import Final, final

import z3

from models.attempt_steps import (
    ATTEMPT_FIELDS,
    AttemptVariables,
    advance_clock,
    expire,
    receive_refusal,
    refuse,
    restart,
)
from models.transitions import Variables, unchanged

ATTEMPTS: Final = (0, 1, 2)
GUARDS: Final = (
    'retry',
    'cut',
    'reading',
    'incarnation',
    'refusal',
    'retention',
    'cancel_age',
)


@final
class CallAttempts:
    """Model one call that must not run twice."""

    __slots__ = ('_guards',)

    def __init__(self, *, without: str = '') -> None:
        """Create a mutant by omitting one guard."""
        self._guards = frozenset(GUARDS) - {without}

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sort of each variable; times are in seconds."""
        return {
            'window': z3.IntSort(),
            'is_told_not_run': z3.BoolSort(),
            # The caller cancelled the call or was told a verdict.
            'is_over': z3.BoolSort(),
            **{
                f'{field}_{number}': sort
                for field, sort in ATTEMPT_FIELDS.items()
                for number in ATTEMPTS
            },
        }

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that no attempt was sent and no verdict told."""
        flags = [
            now[f'{field}_{number}']
            for field, sort in ATTEMPT_FIELDS.items()
            for number in ATTEMPTS
            if sort == z3.BoolSort()
        ]
        return z3.And(
            now['window'] > 0,
            z3.Not(z3.Or(now['is_told_not_run'], now['is_over'], *flags)),
        )

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition of a caller, sender, network or owner step."""
        steps = (
            self._send,
            self._start,
            refuse,
            self._cancel_at_owner,
            receive_refusal,
            self._break_connection,
            expire,
            advance_clock,
            self._forget,
            restart,
        )
        return z3.Or(
            self._tell_not_run(now, after),
            z3.And(after['is_over'], unchanged(now, after, 'is_over')),
            *(
                one_step(now, after, number)
                for one_step in steps
                for number in ATTEMPTS
            ),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the condition that at most one attempt ran.

        None may have run if the caller was told `not-run`.
        """
        ran = [now[f'has_run_{number}'] for number in ATTEMPTS]
        return z3.And(
            z3.AtMost(*ran, 1),
            z3.Implies(now['is_told_not_run'], z3.Not(z3.Or(*ran))),
        )

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return the invariant that a refused attempt never runs."""
        return z3.And(
            now['window'] > 0,
            z3.Implies(now['is_told_not_run'], now['is_over']),
            *(
                self._build_attempt_invariant(now, number)
                for number in ATTEMPTS
            ),
        )

    def _build_attempt_invariant(
        self, now: Variables, number: int
    ) -> z3.BoolRef:
        attempt = AttemptVariables(now, number)
        is_named = attempt['named_incarnation'] == attempt['incarnation']
        is_barred = z3.Or(
            attempt['named_incarnation'] < attempt['incarnation'],
            attempt['is_remembered'],
            attempt['clock'] - attempt['reading'] > now['window'],
        )
        has_progress = z3.Or(
            *(
                attempt[field]
                for field in (
                    'is_in_network',
                    'is_remembered',
                    'is_refused',
                    'has_run',
                    'heard_not_run',
                    'is_unknown',
                )
            ),
        )
        is_settled = z3.And(attempt['heard_not_run'], attempt['is_refused'])
        return z3.And(
            z3.Implies(has_progress, attempt['is_sent']),
            z3.Implies(
                attempt['is_sent'],
                z3.And(
                    attempt['named_incarnation'] <= attempt['incarnation'],
                    z3.Implies(
                        is_named, attempt['reading'] <= attempt['clock']
                    ),
                    *(
                        now[f'heard_not_run_{earlier}']
                        for earlier in ATTEMPTS[:number]
                    ),
                ),
            ),
            z3.Implies(
                attempt['is_remembered'],
                z3.And(
                    is_named, attempt['remembered_at'] >= attempt['reading']
                ),
            ),
            z3.Implies(
                attempt['has_run'],
                z3.And(z3.Not(attempt['is_in_network']), is_barred),
            ),
            z3.Implies(
                attempt['is_refused'],
                z3.And(
                    z3.Not(attempt['has_run']),
                    z3.Or(z3.Not(attempt['is_in_network']), is_barred),
                ),
            ),
            z3.Implies(attempt['heard_not_run'], attempt['is_refused']),
            z3.Implies(
                z3.And(now['is_told_not_run'], attempt['is_sent']),
                is_settled,
            ),
        )

    def _send(
        self,
        now: Variables,
        after: Variables,
        number: int,
    ) -> z3.BoolRef:
        attempt = AttemptVariables(now, number)
        attempt_after = AttemptVariables(after, number)
        earlier = [
            self._may_follow(AttemptVariables(now, other))
            for other in ATTEMPTS[:number]
        ]
        # The sender names a reading of the owner's clock, which may be out of
        # date by any network delay.
        return z3.And(
            z3.Not(now['is_over']),
            z3.Not(attempt['is_sent']),
            *earlier,
            attempt_after['is_sent'],
            attempt_after['is_in_network'],
            attempt_after['named_incarnation'] == attempt['incarnation'],
            attempt_after['reading'] <= attempt['clock'],
            attempt.changes_only(
                after,
                'is_sent',
                'is_in_network',
                'named_incarnation',
                'reading',
            ),
        )

    def _may_follow(self, earlier: AttemptVariables) -> z3.BoolRef:
        if 'retry' in self._guards:
            return earlier['heard_not_run']
        return z3.Or(earlier['heard_not_run'], earlier['is_unknown'])

    def _start(
        self,
        now: Variables,
        after: Variables,
        number: int,
    ) -> z3.BoolRef:
        attempt = AttemptVariables(now, number)
        attempt_after = AttemptVariables(after, number)
        guards = {
            'incarnation': attempt['named_incarnation']
            == attempt['incarnation'],
            'reading': attempt['clock'] - attempt['reading'] <= now['window'],
            'refusal': z3.Not(attempt['is_remembered']),
        }
        return z3.And(
            attempt['is_in_network'],
            *(guard for name, guard in guards.items() if name in self._guards),
            z3.Not(attempt_after['is_in_network']),
            attempt_after['is_remembered'],
            attempt_after['remembered_at'] == attempt['clock'],
            attempt_after['has_run'],
            attempt.changes_only(
                after,
                'is_in_network',
                'is_remembered',
                'remembered_at',
                'has_run',
            ),
        )

    def _cancel_at_owner(
        self,
        now: Variables,
        after: Variables,
        number: int,
    ) -> z3.BoolRef:
        # A cancellation may overtake its attempt. The owner answers `not-run`
        # only while it would still remember a start of the attempt, and then
        # remembers the attempt's id so that the attempt cannot start.
        attempt = AttemptVariables(now, number)
        attempt_after = AttemptVariables(after, number)
        is_fresh = attempt['clock'] - attempt['reading'] <= now['window']
        return z3.And(
            attempt['is_sent'],
            attempt['named_incarnation'] == attempt['incarnation'],
            z3.Not(attempt['is_remembered']),
            is_fresh if 'cancel_age' in self._guards else z3.BoolVal(val=True),
            attempt_after['is_remembered'],
            attempt_after['remembered_at'] == attempt['clock'],
            attempt_after['is_refused'],
            attempt.changes_only(
                after, 'is_remembered', 'remembered_at', 'is_refused'
            ),
        )

    def _break_connection(
        self,
        now: Variables,
        after: Variables,
        number: int,
    ) -> z3.BoolRef:
        # The connection broke: the owner has read the request, the request is
        # lost, or the owner has yet to read it.
        attempt = AttemptVariables(now, number)
        attempt_after = AttemptVariables(after, number)
        outcome = 'is_unknown' if 'cut' in self._guards else 'heard_not_run'
        return z3.And(
            attempt['is_sent'],
            z3.Not(z3.Or(attempt['heard_not_run'], attempt['is_unknown'])),
            z3.Implies(
                attempt_after['is_in_network'], attempt['is_in_network']
            ),
            attempt_after[outcome],
            attempt.changes_only(after, 'is_in_network', outcome),
        )

    def _tell_not_run(self, now: Variables, after: Variables) -> z3.BoolRef:
        attempts = [AttemptVariables(now, number) for number in ATTEMPTS]
        return z3.And(
            z3.Not(now['is_over']),
            *(
                z3.Implies(attempt['is_sent'], attempt['heard_not_run'])
                for attempt in attempts
            ),
            after['is_told_not_run'],
            after['is_over'],
            unchanged(now, after, 'is_told_not_run', 'is_over'),
        )

    def _forget(
        self,
        now: Variables,
        after: Variables,
        number: int,
    ) -> z3.BoolRef:
        attempt = AttemptVariables(now, number)
        is_old = attempt['clock'] - attempt['remembered_at'] > now['window']
        return z3.And(
            attempt['is_remembered'],
            is_old if 'retention' in self._guards else z3.BoolVal(val=True),
            z3.Not(AttemptVariables(after, number)['is_remembered']),
            attempt.changes_only(after, 'is_remembered'),
        )
