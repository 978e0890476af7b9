"""List all proofs, goals and mutants for the tests and `python -m models`."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, final

import z3

from models import (
    attempt_binding,
    call_attempts,
    stopping_owner,
    watch_duty,
)
from models.acceptance import (
    REPRESENTATIVE_CHOICES,
    SEARCH_CHOICES,
    TWO_TEAM_CHOICES,
    AcceptanceSystem,
)
from models.acceptance_properties import PROPERTIES
from models.attempt_binding import AttemptBinding
from models.call_attempts import CallAttempts
from models.stopping_owner import StoppingOwner
from models.transitions import (
    DEFAULT_DEPTH_STEPS,
    TransitionSystem,
    Variables,
    find_fault,
    find_proof_gap,
    is_reachable,
)
from models.watch_duty import KEYS, StoreWatcher

# The acceptance goal needs four steps; each further step costs seconds.
ACCEPTANCE_DEPTH_STEPS: Final = 4

# Faults with at least this many steps also need deliveries of the second team
# to the second proxy.
LONG_RUN_STEPS: Final = 5

# The steps of the shortest run to each fault, in the order of the guards.
BINDING_STEPS: Final = (4, 5, 3, 4)
CALL_STEPS: Final = (5, 4, 7, 6, 5, 6, 7)
STOP_STEPS: Final = (5, 5, 6, 6)
WATCH_STEPS: Final = (3, 2, 3)


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Proof:
    """Describe a property to prove by induction over runs of any length."""

    name: str
    property_text: str
    sizes: str
    system: TransitionSystem

    def find_problem(self) -> str:
        """Return which obligation fails; empty if the property is proved."""
        gap = find_proof_gap(self.system)
        return f'the induction fails at {gap!r}' if gap else ''

    def describe(self) -> str:
        """Return the name, the proved property and the sizes of the model."""
        proved = f'proved for runs of any length: {self.property_text}'
        return f'{self.name}: {proved}; {self.sizes}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Goal:
    """Describe a state that some run must reach.

    If no run reached the state, the proof would be vacuous.
    """

    name: str
    goal_text: str
    system: TransitionSystem
    goal: Callable[[Variables], z3.BoolRef]
    depth: int = DEFAULT_DEPTH_STEPS

    def find_problem(self) -> str:
        """Return how the search failed; empty if a run reaches the goal."""
        is_reached = is_reachable(self.system, self.goal, self.depth)
        return '' if is_reached else f'not reached in {self.depth} steps'

    def describe(self) -> str:
        """Return the name, the goal and the number of steps."""
        return f'{self.name}: reachable in {self.depth} steps: {self.goal_text}'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Mutant:
    """Describe a system without one guard, whose fault the search must find."""

    name: str
    guard: str
    system: TransitionSystem
    # The number of steps of the shortest run to the fault.
    steps: int

    def find_problem(self) -> str:
        """Return how the length of the shortest run differs; empty if equal."""
        run = find_fault(self.system, self.steps)
        if run is None:
            return f'no fault in {self.steps} steps'
        found = len(run) - 1
        return '' if found == self.steps else f'fault after {found} steps'

    def describe(self) -> str:
        """Return the name, the omitted guard and the steps to the fault."""
        mutant = f'mutant without {self.guard!r}'
        return f'{self.name}: {mutant}: fault in {self.steps} steps'


def list_proofs() -> tuple[Proof, ...]:
    """Return all proofs by induction."""
    safety = [name for name in PROPERTIES if name != 'exchanged']
    return (
        Proof(
            name='acceptance',
            property_text=', '.join(safety),
            sizes='3 teams, 3 versions each, 2 proxies',
            system=AcceptanceSystem(
                properties=tuple(safety),
                choices=REPRESENTATIVE_CHOICES,
            ),
        ),
        Proof(
            name='acceptance',
            property_text='exchanged (three pulls of all entries, in turn)',
            sizes='2 teams, 3 versions each, 2 proxies',
            system=AcceptanceSystem(
                properties=('exchanged',),
                choices=REPRESENTATIVE_CHOICES,
                teams=2,
            ),
        ),
        *_call_proofs(),
        Proof(
            name='watch_duty',
            property_text='a watcher at the end of the history holds all of it',
            sizes='2 keys, unbounded revisions',
            system=StoreWatcher(),
        ),
    )


def list_goals() -> tuple[Goal, ...]:
    """Return the goals of each model."""
    return (
        Goal(
            name='acceptance',
            goal_text='a removed resource in use and a version that waits',
            system=AcceptanceSystem(choices=SEARCH_CHOICES),
            goal=lambda now: z3.And(
                now['retained_0_0'] != 0,
                now['active_0_1'] != 0,
                now['waiting_1_0'] != 0,
            ),
            depth=ACCEPTANCE_DEPTH_STEPS,
        ),
        *_call_goals(),
        Goal(
            name='watch_duty',
            goal_text='the watcher is at the end and holds both keys',
            system=StoreWatcher(),
            goal=lambda now: z3.And(
                now['position'] == now['revision'],
                *(now[f'held_{key}'] > 0 for key in KEYS),
            ),
        ),
    )


def list_mutants() -> tuple[Mutant, ...]:
    """Return all mutants with the steps of the shortest run to each fault."""
    return (
        *_acceptance_mutants(),
        *_call_mutants(),
        *_stop_mutants(),
        *_watch_mutants(),
    )


def _call_proofs() -> list[Proof]:
    return [
        Proof(
            name='attempt_binding',
            property_text='an attempt runs at most once',
            sizes='1 attempt, unbounded times, restarts and repeats',
            system=AttemptBinding(),
        ),
        Proof(
            name='call_attempts',
            property_text='a call runs at most once, and never after not-run',
            sizes='3 attempts at 3 owners, unbounded times and restarts',
            system=CallAttempts(),
        ),
        Proof(
            name='stopping_owner',
            property_text='no run is begun in a stop and cut by its end',
            sizes='1 request, unbounded times',
            system=StoppingOwner(),
        ),
    ]


def _call_goals() -> list[Goal]:
    return [
        Goal(
            name='attempt_binding',
            goal_text='the attempt ran',
            system=AttemptBinding(),
            goal=lambda now: now['runs'] == 1,
        ),
        Goal(
            name='call_attempts',
            goal_text='the second attempt ran',
            system=CallAttempts(),
            goal=lambda now: now['has_run_1'],
        ),
        Goal(
            name='call_attempts',
            goal_text='the caller was told not-run after two attempts',
            system=CallAttempts(),
            goal=lambda now: z3.And(now['is_told_not_run'], now['is_sent_1']),
        ),
        Goal(
            name='stopping_owner',
            goal_text='a run was begun in the stop and ended by itself',
            system=StoppingOwner(),
            goal=lambda now: z3.And(
                now['is_begun_in_stop'],
                now['has_others'],
                now['is_over'],
                z3.Not(now['is_cut']),
            ),
        ),
    ]


def _acceptance_mutants() -> list[Mutant]:
    # Columns: omitted rule, violated property, number of teams, steps.
    table = (
        ('well_formed', 'well_formed', 3, 1),
        ('revision', 'never_back', 3, 2),
        ('whole', 'whole', 3, 1),
        ('joint', 'settled', 3, 2),
        ('fixed_point', 'resolved', 3, 2),
        ('retention', 'resolved', 3, 3),
        ('definitions', 'exchanged', 2, 3),
        ('no_fall_back', 'exchanged', 2, 3),
        ('kept_ahead', 'definition_never_back', 2, 5),
    )
    return [
        Mutant(
            name='acceptance',
            guard=guard,
            system=AcceptanceSystem(
                without=guard,
                properties=(violated,),
                choices=SEARCH_CHOICES
                if steps < LONG_RUN_STEPS
                else TWO_TEAM_CHOICES,
                teams=teams,
            ),
            steps=steps,
        )
        for guard, violated, teams, steps in table
    ]


def _call_mutants() -> list[Mutant]:
    binding = zip(attempt_binding.GUARDS, BINDING_STEPS, strict=True)
    attempts = zip(call_attempts.GUARDS, CALL_STEPS, strict=True)
    return [
        *(
            Mutant(
                name='attempt_binding',
                guard=guard,
                system=AttemptBinding(without=guard),
                steps=steps,
            )
            for guard, steps in binding
        ),
        *(
            Mutant(
                name='call_attempts',
                guard=guard,
                system=CallAttempts(without=guard),
                steps=steps,
            )
            for guard, steps in attempts
        ),
    ]


def _stop_mutants() -> list[Mutant]:
    return [
        Mutant(
            name='stopping_owner',
            guard=guard,
            system=StoppingOwner(without=guard),
            steps=steps,
        )
        for guard, steps in zip(stopping_owner.GUARDS, STOP_STEPS, strict=True)
    ]


def _watch_mutants() -> list[Mutant]:
    return [
        Mutant(
            name='watch_duty',
            guard=guard,
            system=StoreWatcher(without=guard),
            steps=steps,
        )
        for guard, steps in zip(watch_duty.GUARDS, WATCH_STEPS, strict=True)
    ]
