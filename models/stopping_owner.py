"""Model a request at an owner whose planned stop may abort the run.

The system follows section 10 of docs/design.md. The owner stops at any time
before or after the request comes. It aborts what runs at the end of its stop.
"""

from collections.abc import Mapping
from typing import Final, final

import z3

from models.transitions import Variables, unchanged

GUARDS: Final = ('new', 'waiting', 'last_resort', 'run_time')


@final
class StoppingOwner:
    """Model one request that its sender may send to the owner again."""

    __slots__ = ('_guards',)

    def __init__(self, *, without: str = '') -> None:
        """Create a mutant by omitting one guard."""
        self._guards = frozenset(GUARDS) - {without}

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sort of each variable; times are in seconds."""
        return {
            'clock': z3.IntSort(),
            'deadline': z3.IntSort(),
            'stops_at': z3.IntSort(),  # end of the stop
            'started_at': z3.IntSort(),
            'run_seconds': z3.IntSort(),
            # The time that the owner expects of a run at most.
            'bound_seconds': z3.IntSort(),
            'has_others': z3.BoolSort(),  # other owners can take the request
            'is_stopping': z3.BoolSort(),
            'is_waiting': z3.BoolSort(),
            'is_running': z3.BoolSort(),
            'is_begun_in_stop': z3.BoolSort(),
            'is_given_back': z3.BoolSort(),
            'is_last_resort': z3.BoolSort(),
            'is_over': z3.BoolSort(),
            # The stop aborted the run, which the deadline would have allowed.
            'is_cut': z3.BoolSort(),
        }

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that the owner has not got the request."""
        flags = [
            flag
            for name, flag in now.items()
            if name.startswith('is_') and name != 'is_stopping'
        ]
        return z3.Not(z3.Or(now['is_stopping'], *flags))

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition of a sender, owner or clock step."""
        return z3.Or(
            self._send(now, after),
            self._begin_stop(now, after),
            self._start(now, after),
            _finish(now, after),
            _advance_clock(now, after),
            _end_stop(now, after),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the condition that no run is begun in the stop and cut.

        If no other owner can take the request, a run that takes longer than
        the owner expects may be.
        """
        is_within_bound = now['run_seconds'] <= now['bound_seconds']
        return z3.Not(
            z3.And(
                now['is_cut'],
                now['is_begun_in_stop'],
                z3.Or(now['has_others'], is_within_bound),
            )
        )

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return the invariant that what waits or runs in the stop has time."""
        has_time = now['deadline'] <= now['stops_at']
        ends_by = now['started_at'] + now['bound_seconds']
        is_begun = z3.And(now['is_running'], now['is_begun_in_stop'])
        return z3.And(
            self.safe(now),
            z3.Implies(now['is_last_resort'], z3.Not(now['has_others'])),
            z3.Implies(now['is_begun_in_stop'], now['is_stopping']),
            z3.Not(z3.And(now['is_waiting'], now['is_running'])),
            z3.Implies(now['is_cut'], now['is_over']),
            z3.Implies(
                now['is_over'],
                z3.Not(z3.Or(now['is_waiting'], now['is_running'])),
            ),
            z3.Implies(
                z3.And(now['is_waiting'], now['is_stopping']),
                z3.Or(has_time, now['is_last_resort']),
            ),
            z3.Implies(
                is_begun,
                z3.Or(
                    has_time,
                    z3.And(now['is_last_resort'], ends_by <= now['stops_at']),
                ),
            ),
        )

    def _send(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition that the owner queues or refuses the request."""
        may_be_last = now['is_given_back']
        if 'last_resort' in self._guards:
            may_be_last = z3.And(may_be_last, z3.Not(now['has_others']))
        is_refused = z3.BoolVal(val=False)
        if 'new' in self._guards:
            is_refused = z3.And(
                now['is_stopping'],
                now['deadline'] > now['stops_at'],
                z3.Not(after['is_last_resort']),
            )
        return z3.And(
            z3.Not(z3.Or(now['is_waiting'], now['is_running'], now['is_over'])),
            now['clock'] < now['deadline'],
            z3.Implies(after['is_last_resort'], may_be_last),
            after['is_waiting'] == z3.Not(is_refused),
            after['is_given_back'] == z3.Or(now['is_given_back'], is_refused),
            unchanged(
                now, after, 'is_last_resort', 'is_waiting', 'is_given_back'
            ),
        )

    def _begin_stop(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition of the signal, which gives back what waits."""
        is_given_back = z3.BoolVal(val=False)
        if 'waiting' in self._guards:
            is_given_back = z3.And(
                now['is_waiting'], now['deadline'] > after['stops_at']
            )
        return z3.And(
            z3.Not(now['is_stopping']),
            after['is_stopping'],
            after['stops_at'] > now['clock'],
            after['is_waiting']
            == z3.And(now['is_waiting'], z3.Not(is_given_back)),
            after['is_given_back']
            == z3.Or(now['is_given_back'], is_given_back),
            unchanged(
                now,
                after,
                'is_stopping',
                'stops_at',
                'is_waiting',
                'is_given_back',
            ),
        )

    def _start(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition that the owner begins the run."""
        may_start = z3.BoolVal(val=True)
        if 'run_time' in self._guards:
            may_start = z3.Or(
                z3.Not(now['is_stopping']),
                now['deadline'] <= now['stops_at'],
                now['clock'] + now['bound_seconds'] <= now['stops_at'],
            )
        return z3.And(
            may_start,
            now['is_waiting'],
            now['clock'] < now['deadline'],
            z3.Implies(now['is_stopping'], now['clock'] < now['stops_at']),
            z3.Not(after['is_waiting']),
            after['is_running'],
            after['is_begun_in_stop'] == now['is_stopping'],
            after['started_at'] == now['clock'],
            unchanged(
                now,
                after,
                'is_waiting',
                'is_running',
                'is_begun_in_stop',
                'started_at',
            ),
        )


def _finish(now: Variables, after: Variables) -> z3.BoolRef:
    """Return the condition that the run ends by itself."""
    return z3.And(
        now['is_running'],
        z3.Not(after['is_running']),
        after['is_over'],
        unchanged(now, after, 'is_running', 'is_over'),
    )


def _advance_clock(now: Variables, after: Variables) -> z3.BoolRef:
    """Return the condition that time passes, at most to the end of the stop."""
    is_busy = z3.Or(now['is_waiting'], now['is_running'])
    return z3.And(
        after['clock'] > now['clock'],
        z3.Implies(
            z3.And(now['is_stopping'], is_busy),
            after['clock'] <= now['stops_at'],
        ),
        unchanged(now, after, 'clock'),
    )


def _end_stop(now: Variables, after: Variables) -> z3.BoolRef:
    """Return the condition that the owner aborts the run and exits."""
    return z3.And(
        now['is_stopping'],
        now['clock'] >= now['stops_at'],
        z3.Not(now['is_over']),
        after['is_over'],
        after['is_cut']
        == z3.And(
            now['is_running'],
            now['clock'] < now['deadline'],
            now['clock'] < now['started_at'] + now['run_seconds'],
        ),
        z3.Not(z3.Or(after['is_waiting'], after['is_running'])),
        unchanged(now, after, 'is_over', 'is_cut', 'is_waiting', 'is_running'),
    )
