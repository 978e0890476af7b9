"""Random plays of faults on a simulated fleet, checked by the platform's rules.

A machine is in touch if nothing has disturbed it, the store was stable and it
had a path to the store for the whole stable window. It holds each version from
the bound after its acknowledgement on, and no machine goes back to an older
one. Being cut off from other daemons excuses nobody.
"""

from collections.abc import Callable, Sequence
from functools import partial
from random import Random
from typing import Final, NamedTuple, TypeAlias, final

from briartack.core.dissemination.store_rules import StoreRules
from briartack.test.fake_holdings import StoreCopy
from briartack.test.faulty_fleet import FaultyFleet
from briartack.test.fleet import TICK_SECONDS
from briartack.test.test_store_duty import BOOT_SECONDS

KEY: Final = 'teams/a'
PLAY_SECONDS: Final = 20.0
# Ticks and messages are not exact to the millisecond.
SLACK_SECONDS: Final = 0.25
MAX_SKEW_SECONDS: Final = 5.0

Undo: TypeAlias = Callable[[], None]
Fault: TypeAlias = Callable[['FaultPlay'], None]


class Bounds(NamedTuple):
    """Hold the bounds of a platform."""

    apply_seconds: float
    stable_seconds: float


class Acked(NamedTuple):
    """Hold a version and the time of its acknowledgement."""

    version: int
    at: float


class Late(NamedTuple):
    """Hold a daemon that lacks a version when the platform expects it."""

    at: float
    name: str
    held: int
    expected: int
    acked_at: float


def platform_rules(bounds: Bounds) -> StoreRules:
    """Return the rules that the adapter derives from the bounds."""
    return StoreRules(
        start_jitter_seconds=0.1,
        duty_backoff_seconds=1.0,
        redial_seconds=1.0,
        orphan_seconds=1.3,
        overdue_seconds=0.8,
        watch_wait_seconds=bounds.apply_seconds * 0.3,
        watch_grace_seconds=bounds.apply_seconds * 0.25,
        is_duty_by_distance=True,
        reads_stale_list=True,
    )


@final
class FaultPlay:
    """Play random faults on a fleet and check the versions in force."""

    def __init__(self, seed: int, faults: Sequence[Fault]) -> None:
        self.random = Random(f'faults {seed}')
        random = self.random
        self.bounds = random.choice((Bounds(2.0, 3.0), Bounds(3.0, 4.0)))
        regions, centres, size = random.choice(
            (
                (2, 1, 3),
                (3, 1, 2),
                (2, 2, 2),
                (3, 2, 2),
                (2, 2, 2),
                (1, 2, 3),
                (3, 2, 3),
            )
        )
        if seed % 60 == 0:
            regions, centres, size = random.choice(((2, 2, 20), (3, 1, 40)))
        self.fleet = FaultyFleet(
            regions,
            centres,
            size,
            rules=platform_rules(self.bounds),
            random=random,
        )
        far = random.choice((0.004, 0.028))
        self.near = partial(_near_seconds, far)
        self.fleet.store_seconds = self.near
        self.version = 1
        self.acked: list[Acked] = []
        self.late: list[Late] = []
        self.unready: list[Late] = []
        self.went_back: list[str] = []
        self.history: list[str] = []
        self._disturbed_until: dict[str, float] = {}
        self._store_bad_at = 0.0
        self._store_hard_bad_at = 0.0
        self._disturbers: dict[int, set[str]] = {}
        self._store_troubles: dict[int, bool] = {}
        self._ends: list[tuple[float, int, Undo]] = []
        self._token = 0
        self._held: dict[str, tuple[str, int]] = {}
        self.copies: list[StoreCopy] = []
        self.joined = 0
        self.slow: list[tuple[frozenset[str], float]] = []
        self.fleet.added_seconds = self._added_seconds
        self._faults = random.choice((faults, random.sample(faults, 4)))
        self.fleet.start()
        self._run(BOOT_SECONDS)

    def play(self) -> None:
        """Play faults and changes, then a calm time."""
        random = self.random
        fault_rate = random.choice((0.3, 0.7, 1.5))
        change_rate = random.choice((0.25, 1, 3))
        until = self.fleet.now + PLAY_SECONDS
        while self.fleet.now < until:
            if random.random() < TICK_SECONDS * fault_rate:
                random.choice(self._faults)(self)
            if random.random() < TICK_SECONDS * change_rate:
                self.publish()
            self._run(TICK_SECONDS)
        while self._ends:
            self._run(TICK_SECONDS)
        for _ in range(4):
            self._run(self.bounds.stable_seconds * random.uniform(0, 1))
            self.publish()
        self._run(self.bounds.apply_seconds + 0.5)

    def publish(self) -> None:
        """Publish the next version if the store takes it."""
        if self.fleet.store.is_down:
            return
        self.version += self.random.randrange(1, 4)
        self.write()
        self.acked.append(Acked(self.version, self.fleet.now))

    def log(self, text: str) -> None:
        """Record what happens, for a failed seed."""
        self.history.append(f'{self.fleet.now:7.1f} {text}')

    def pick(self, most: int = 1) -> list[str]:
        """Return some running daemons, watchers and roots first."""
        fleet, random = self.fleet, self.random
        running = [
            name for name, node in fleet.nodes.items() if not node.is_frozen
        ]
        important = [name for name in fleet.list_watchers() if name in running]
        regions = {name[:2] for name in fleet.names}
        for region in sorted(regions):
            roots = fleet.rank_daemons(region)[:2]
            important.extend(name for name in roots if name in running)
        pool = random.choice((running, important or running))
        count = min(random.randrange(1, most + 1), len(set(pool)))
        return random.sample(sorted(set(pool)), count) if pool else []

    def pick_group(self) -> set[str]:
        """Return the daemons of a zone or region, or some of them."""
        random = self.random
        name = random.choice(self.fleet.names)
        kind = random.choice(('zone', 'region', 'some'))
        if kind == 'some':
            return set(self.pick(4))
        prefix = name[:4] if kind == 'zone' else name[:2]
        return {other for other in self.fleet.names if other.startswith(prefix)}

    def until(self, seconds: float, undo: Undo, names: set[str]) -> None:
        """End a fault that disturbs some daemons later."""
        self._token += 1
        self._disturbers[self._token] = names
        self._ends.append((self.fleet.now + seconds, self._token, undo))

    def store_until(
        self, seconds: float, undo: Undo, *, is_hard: bool = True
    ) -> None:
        """End a fault of the store later."""
        self._token += 1
        self._store_troubles[self._token] = is_hard
        self._ends.append((self.fleet.now + seconds, self._token, undo))

    def disturb_now(self, names: set[str]) -> None:
        """Record a disturbance that takes no time."""
        for name in names:
            self._disturbed_until[name] = self.fleet.now

    def edit(self, key: str, text: str | None) -> None:
        """Write to the store, or later if the store is down."""
        if self.fleet.store.is_down:
            self.store_until(0.3, partial(self.edit, key, text))
        elif text is None:
            self.fleet.edit_store(key, None)
        else:
            self.fleet.list_instance(key.removeprefix('instances/'))

    def write(self) -> None:
        """Write the newest version, as an operator does after a restore too."""
        self.fleet.edit_store(KEY, str(self.version), (self.version,))

    def _run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_SECONDS)):
            self.copies.append(self.fleet.store.copy())
            self._mark_disturbed()
            self.fleet.run(TICK_SECONDS)
            due = sorted(end for end in self._ends if end[0] <= self.fleet.now)
            self._ends = [end for end in self._ends if end not in due]
            for _at, token, undo in due:
                self._mark_disturbed()
                self._disturbers.pop(token, None)
                self._store_troubles.pop(token, None)
                undo()
            self._check()

    def _mark_disturbed(self) -> None:
        now = self.fleet.now
        for names in self._disturbers.values():
            self._disturbed_until.update(dict.fromkeys(names, now))
        if self._store_troubles:
            self._store_bad_at = now
        if any(self._store_troubles.values()):
            self._store_hard_bad_at = now

    def _check(self) -> None:
        due = self._find_due()
        for name, node in self.fleet.nodes.items():
            held = self._version_of(name)
            self._check_order(name, node.hello.incarnation, held)
            is_late = due is not None and held < due.version
            if due and is_late and self._is_undisturbed(name):
                # A daemon without a configuration refuses all requests.
                found = self.late if held else self.unready
                found.append(
                    Late(self.fleet.now, name, held, due.version, due.at)
                )

    def _find_due(self) -> Acked | None:
        """Return the newest version that machines in touch must hold."""
        now = self.fleet.now
        stable_since = now - self.bounds.stable_seconds
        if self._store_hard_bad_at >= stable_since:
            return None
        allowed = self.bounds.apply_seconds + SLACK_SECONDS
        if self._store_bad_at >= stable_since:
            allowed += MAX_SKEW_SECONDS
        due = [acked for acked in self.acked if now - acked.at > allowed]
        return due[-1] if due else None

    def _is_undisturbed(self, name: str) -> bool:
        stable_since = self.fleet.now - self.bounds.stable_seconds
        disturbed_at = self._disturbed_until.get(name, 0)
        return name in self.fleet.names and disturbed_at < stable_since

    def _check_order(self, name: str, incarnation: str, held: int) -> None:
        before = self._held.get(name)
        if before and before[0] == incarnation and held < before[1]:
            self.went_back.append(f'{name}: {before[1]} to {held}')
        self._held[name] = (incarnation, held)

    def _version_of(self, name: str) -> int:
        holdings = self.fleet.nodes[name].holdings
        held = holdings.configuration.get(KEY)
        return 0 if held is None else int(held.value or 0)

    def _added_seconds(self, left: str, right: str) -> float:
        return sum(
            added
            for names, added in self.slow
            if left in names or right in names
        )


def _near_seconds(far: float, name: str) -> float:
    return 0.004 if name[:2] == 'r0' else far
