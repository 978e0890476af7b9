"""Model a watcher's position in the store's history.

The system follows section 7 of docs/design.md. The watcher reads the store's
history after its position in parts, and peers deliver entries out of order. If
an entry from a peer advanced the position, the watcher would miss edits that
no peer has delivered.
"""

from collections.abc import Mapping
from typing import Final, final

import z3

from models.transitions import Variables, unchanged

KEYS: Final = (0, 1)
GUARDS: Final = ('own_position', 'answer_revision', 'newer_only')


@final
class StoreWatcher:
    """Model one watcher, to which peers may deliver any older edit."""

    __slots__ = ('_guards',)

    def __init__(self, *, without: str = '') -> None:
        """Create a mutant by omitting one guard."""
        self._guards = frozenset(GUARDS) - {without}

    @property
    def sorts(self) -> Mapping[str, z3.SortRef]:
        """Return the sort of each variable; all variables are revisions."""
        return {
            'revision': z3.IntSort(),
            'position': z3.IntSort(),
            **{f'newest_{key}': z3.IntSort() for key in KEYS},
            **{f'held_{key}': z3.IntSort() for key in KEYS},
        }

    def initial(self, now: Variables) -> z3.BoolRef:
        """Return the condition that the store and the watcher are empty."""
        return z3.And(*(revision == 0 for revision in now.values()))

    def step(self, now: Variables, after: Variables) -> z3.BoolRef:
        """Return the condition of a store, watch or peer transition."""
        return z3.Or(
            self._read(now, after),
            *(self._edit(now, after, key) for key in KEYS),
            *(self._deliver(now, after, key) for key in KEYS),
        )

    def safe(self, now: Variables) -> z3.BoolRef:
        """Return the condition that a watcher at the end holds every key.

        Once edits cease, reads advance the position to the end of the history,
        and the watcher then holds the newest version of every key.
        """
        return z3.Implies(
            now['position'] >= now['revision'],
            z3.And(
                *(now[f'held_{key}'] == now[f'newest_{key}'] for key in KEYS),
            ),
        )

    def invariant(self, now: Variables) -> z3.BoolRef:
        """Return the invariant that all edits up to the position are held."""
        return z3.And(
            now['position'] <= now['revision'],
            *(
                z3.And(
                    now[f'held_{key}'] <= now[f'newest_{key}'],
                    now[f'newest_{key}'] <= now['revision'],
                    z3.Or(
                        now[f'held_{key}'] == now[f'newest_{key}'],
                        now[f'newest_{key}'] > now['position'],
                    ),
                )
                for key in KEYS
            ),
        )

    def _edit(self, now: Variables, after: Variables, key: int) -> z3.BoolRef:
        newest = f'newest_{key}'
        return z3.And(
            after['revision'] > now['revision'],
            after[newest] == after['revision'],
            unchanged(now, after, 'revision', newest),
        )

    def _deliver(
        self, now: Variables, after: Variables, key: int
    ) -> z3.BoolRef:
        # A peer may deliver any edit of the key, however old.
        held = f'held_{key}'
        is_newer = after[held] > now[held]
        position = now['position']
        if 'own_position' not in self._guards:
            position = _select_larger(position, after[held])
        return z3.And(
            after[held] <= now[f'newest_{key}'],
            is_newer if 'newer_only' in self._guards else after[held] >= 0,
            after['position'] == position,
            unchanged(now, after, held, 'position'),
        )

    def _read(self, now: Variables, after: Variables) -> z3.BoolRef:
        # An answer contains, for each key edited after the position and up to
        # the answer's revision, its newest version at that revision. A stale
        # store answers with a revision before its newest.
        names = [f'held_{key}' for key in KEYS]
        end = after['position']
        if 'answer_revision' not in self._guards:
            end = z3.FreshInt('end')
        return z3.And(
            now['position'] < end,
            end <= now['revision'],
            after['position'] <= now['revision'],
            *(self._matches_answer(now, after, key, end) for key in KEYS),
            unchanged(now, after, 'position', *names),
        )

    def _matches_answer(
        self,
        now: Variables,
        after: Variables,
        key: int,
        end: z3.ArithRef,
    ) -> z3.BoolRef:
        newest = now[f'newest_{key}']
        held = now[f'held_{key}']
        next_held = after[f'held_{key}']
        # If the newest edit is above the answer's revision, the answer does
        # not contain that edit but may contain an older edit of the key.
        return z3.If(
            z3.And(newest <= end, newest > now['position']),
            next_held == newest,
            z3.And(
                held <= next_held,
                next_held <= _select_larger(held, end),
                next_held <= newest,
            ),
        )


def _select_larger(left: z3.ArithRef, right: z3.ArithRef) -> z3.ArithRef:
    return z3.If(left < right, right, left)
