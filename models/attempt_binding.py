"""Model at-most-once execution of one attempt at an owner that may restart.

The network may lose, delay and duplicate the attempt without bound, and the
sender may be paused at any time. A restarted owner has a new incarnation and
no memory of attempts, and its clock may then show any time.
"""

from collections.abc import Mapping
from typing import Final, final

import z3

from models.transitions import Variables, unchanged

GUARDS: Final = ('incarnation', 'reading', 'window', 'retention')


@final
class AttemptBinding:
    """Model one attempt id, which attempts with other ids do not affect."""

    __slots__ = ('_guards',)

    def __init__(self, *, without: str = '') -> None:
        """Create a mutant by omitting one guard."""
        self._guards = frozenset(GUARDS) - {without}

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sort of each variable; times are in seconds."""
        return {
            'window': z3.IntSort(),
            'incarnation': z3.IntSort(),
            'clock': z3.IntSort(),
            'is_sent': z3.BoolSort(),
            'named_incarnation': z3.IntSort(),
            'reading': z3.IntSort(),
            'is_remembered': z3.BoolSort(),
            'started_at': z3.IntSort(),
            'runs': z3.IntSort(),
        }

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that the attempt was neither sent nor run."""
        return z3.And(
            now['window'] > 0,
            z3.Not(now['is_sent']),
            z3.Not(now['is_remembered']),
            now['runs'] == 0,
        )

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition of a network, sender, clock or owner step."""
        return z3.Or(
            self._send(now, after),
            self._deliver(now, after),
            self._advance_clock(now, after),
            self._forget(now, after),
            self._restart(now, after),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the condition that the attempt ran at most once."""
        return now['runs'] <= 1

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return the invariant that an attempt which ran is refused later."""
        is_refused = z3.Or(
            now['named_incarnation'] < now['incarnation'],
            now['is_remembered'],
            now['clock'] - now['reading'] > now['window'],
        )
        return z3.And(
            now['window'] > 0,
            z3.Implies(now['runs'] == 0, z3.Not(now['is_remembered'])),
            z3.Implies(
                z3.And(
                    now['is_sent'],
                    now['named_incarnation'] == now['incarnation'],
                ),
                now['reading'] <= now['clock'],
            ),
            z3.Implies(
                now['is_remembered'],
                z3.And(
                    now['is_sent'],
                    now['named_incarnation'] == now['incarnation'],
                    now['started_at'] >= now['reading'],
                ),
            ),
            z3.Implies(
                now['is_sent'],
                now['named_incarnation'] <= now['incarnation'],
            ),
            now['runs'] >= 0,
            now['runs'] <= 1,
            z3.Implies(now['runs'] == 1, z3.And(now['is_sent'], is_refused)),
        )

    def _send(self, now: Variables, after: Variables) -> z3.BoolRef:
        # The sender names a reading of the owner's clock, which may be out of
        # date by any network delay.
        return z3.And(
            z3.Not(now['is_sent']),
            after['is_sent'],
            after['named_incarnation'] == now['incarnation'],
            after['reading'] <= now['clock'],
            unchanged(now, after, 'is_sent', 'named_incarnation', 'reading'),
        )

    def _deliver(self, now: Variables, after: Variables) -> z3.BoolRef:
        guards = {
            'incarnation': now['named_incarnation'] == now['incarnation'],
            'reading': now['clock'] - now['reading'] <= now['window'],
            'window': z3.Not(now['is_remembered']),
        }
        return z3.And(
            now['is_sent'],
            *(guard for name, guard in guards.items() if name in self._guards),
            after['is_remembered'],
            after['started_at'] == now['clock'],
            after['runs'] == now['runs'] + 1,
            unchanged(now, after, 'is_remembered', 'started_at', 'runs'),
        )

    def _advance_clock(self, now: Variables, after: Variables) -> z3.BoolRef:
        return z3.And(
            after['clock'] > now['clock'],
            unchanged(now, after, 'clock'),
        )

    def _forget(self, now: Variables, after: Variables) -> z3.BoolRef:
        age = now['clock'] - now['started_at']
        is_old = age > now['window']
        return z3.And(
            now['is_remembered'],
            is_old if 'retention' in self._guards else z3.BoolVal(val=True),
            z3.Not(after['is_remembered']),
            unchanged(now, after, 'is_remembered'),
        )

    def _restart(self, now: Variables, after: Variables) -> z3.BoolRef:
        return z3.And(
            after['incarnation'] > now['incarnation'],
            z3.Not(after['is_remembered']),
            unchanged(now, after, 'incarnation', 'clock', 'is_remembered'),
        )
