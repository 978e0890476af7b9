"""Check transition systems by induction and by bounded search.

Induction proves an invariant for runs of any length. The bounded search finds
a run in which a mutant violates its property, which shows that the property
depends on the omitted guard.
"""

from collections.abc import Callable, Mapping
from typing import Final, Protocol, TypeAlias, final

import z3

Variables: TypeAlias = dict[str, z3.ExprRef]
Run: TypeAlias = list[dict[str, str]]

# Steps for a send, a restart or a pause, pruning and two deliveries.
DEFAULT_DEPTH_STEPS: Final = 7

FINITE_TACTICS: Final = (
    'simplify',
    'propagate-values',
    'solve-eqs',
    'bit-blast',
    'sat',
)


class TransitionSystem(Protocol):
    """Describe a protocol by formulas over its variables."""

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sort of each variable."""

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that a state is initial."""

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition that one transition links two states."""

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the property that must hold in every reachable state."""

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return an inductive property that implies `safe`."""


def find_proof_gap(system: TransitionSystem) -> str:
    """Return which obligation of the induction fails; empty if none fails."""
    now = _create_variables(system, 0)
    after = _create_variables(system, 1)
    holds = system.invariant(now)
    obligations: dict[str, Callable[[], z3.BoolRef]] = {
        'initial': lambda: z3.And(system.initial(now), z3.Not(holds)),
        'step': lambda: z3.And(
            holds,
            system.step(now, after),
            z3.Not(system.invariant(after)),
        ),
        'safe': lambda: z3.And(holds, z3.Not(system.safe(now))),
    }
    for name, violated in obligations.items():
        solver = _create_solver(system)
        solver.add(violated())
        if solver.check() != z3.unsat:
            return name
    return ''


def find_fault(
    system: TransitionSystem,
    depth: int = DEFAULT_DEPTH_STEPS,
) -> Run | None:
    """Return the shortest run to an unsafe state, or None if there is none.

    Runs longer than `depth` steps are not searched.
    """
    formulas = _FormulaCache(system)
    states = [_create_variables(system, 0)]
    run = [system.initial(states[0])]
    for number in range(1, depth + 1):
        states.append(_create_variables(system, number))
        run.append(formulas.step(states[-2], states[-1]))
        solver = _create_solver(system)
        solver.add(*run, z3.Not(formulas.safe(states[-1])))
        if solver.check() == z3.sat:
            return _decode_run(solver.model(), states)
    return None


def is_reachable(
    system: TransitionSystem,
    goal: Callable[[Variables], z3.BoolRef],
    depth: int = DEFAULT_DEPTH_STEPS,
) -> bool:
    """Return whether a run of up to `depth` steps reaches the goal.

    A reachable goal shows that the proof is not vacuous.
    """
    formulas = _FormulaCache(system)
    solver = _create_solver(system)
    before = _create_variables(system, 0)
    solver.add(system.initial(before))
    goals = [goal(before)]
    for number in range(1, depth + 1):
        after = _create_variables(system, number)
        solver.add(formulas.step(before, after))
        goals.append(goal(after))
        before = after
    solver.add(z3.Or(*goals))
    return bool(solver.check() == z3.sat)


@final
class _FormulaCache:
    """Build the formulas of a system once and substitute their variables.

    In the largest models, building a formula takes longer than solving it.
    """

    __slots__ = ('_after', '_now', '_safe', '_step', '_system')

    def __init__(self, system: TransitionSystem) -> None:
        self._system = system
        self._safe: z3.BoolRef | None = None  # not built for goals
        self._now = _create_variables(system, 0)
        self._after = _create_variables(system, 1)
        self._step = system.step(self._now, self._after)

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition that one transition links the given states."""
        return z3.substitute(
            self._step,
            *((old, now[name]) for name, old in self._now.items()),
            *((old, after[name]) for name, old in self._after.items()),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the safety property of the given state."""
        if self._safe is None:
            self._safe = self._system.safe(self._now)
        return z3.substitute(
            self._safe,
            *((old, now[name]) for name, old in self._now.items()),
        )


def unchanged(
    now: Variables,
    after: Variables,
    *changing: str,
) -> z3.BoolRef:
    """Return the condition that all variables except `changing` are equal."""
    return z3.And(
        *(after[name] == now[name] for name in now if name not in changing),
    )


def _create_solver(system: TransitionSystem) -> z3.Solver:
    # The general solver takes two to three times as long as these tactics in
    # searches of systems whose variables are all finite.
    kinds = {sort.kind() for sort in system.sorts.values()}
    if kinds <= {z3.Z3_BOOL_SORT, z3.Z3_BV_SORT}:
        return z3.Then(*FINITE_TACTICS).solver()
    return z3.Solver()


def _create_variables(system: TransitionSystem, number: int) -> Variables:
    return {
        name: z3.Const(f'{name}@{number}', sort)
        for name, sort in system.sorts.items()
    }


def _decode_run(model: z3.ModelRef, states: list[Variables]) -> Run:
    return [
        {
            name: str(model.eval(symbol, model_completion=True))
            for name, symbol in state.items()
        }
        for state in states
    ]
