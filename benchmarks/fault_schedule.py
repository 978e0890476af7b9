"""A seeded plan of faults, alone and two at once."""

from dataclasses import dataclass
from random import Random
from typing import Final, final

# Kinds by what they act on; two faults never act on one thing at once.
DAEMON_FAULTS: Final = ('kill', 'freeze', 'freeze', 'planned_stop')
UPSTREAM_FAULTS: Final = ('cold', 'cut', 'reset', 'truncate', 'down')
STORE_FAULTS: Final = ('refuse', '503', 'stale', 'cross', 'late')
EDITS: Final = ('good', 'malformed', 'remove', 'put_back')
DATA_CENTRE_FAULTS: Final = ('out', 'restart_all')
GROUPS: Final = ('daemon', 'daemon', 'upstream', 'store', 'edit', 'data_centre')
FIRST_SECONDS: Final = 4.0
GAP_SECONDS: Final = (1.5, 5.0)
PAIR_SHARE: Final = 0.4
MAX_FREEZE_SECONDS: Final = 40.0
MIN_SECONDS: Final = 3.0
MAX_SECONDS: Final = 15.0
# A target is left alone for a while, so that the next fault meets it running.
REST_SECONDS: Final = 2.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Describe one fault, in seconds from the start of the run."""

    at: float
    seconds: float
    group: str
    kind: str
    target: str

    @property
    def until(self) -> float:
        """Return when the fault ends."""
        return self.at + self.seconds


def plan_faults(
    random: Random,
    *,
    seconds: float,
    data_centres: dict[str, list[str]],
    intensity: float = 1,
) -> list[Fault]:
    """Plan the faults of a run; all of them end before it does.

    Intensity divides the times between the beginnings of faults.
    """
    faults: list[Fault] = []
    at = FIRST_SECONDS
    while at < seconds - MIN_SECONDS:
        count = 2 if random.random() < PAIR_SHARE else 1
        for _ in range(count):
            fault = _draw(random, at, seconds, data_centres)
            if not _is_taken(fault, faults, data_centres):
                faults.append(fault)
        at += random.uniform(*GAP_SECONDS) / intensity
    return faults


def _draw(
    random: Random,
    at: float,
    seconds: float,
    data_centres: dict[str, list[str]],
) -> Fault:
    group = random.choice(GROUPS)
    names = [name for own in data_centres.values() for name in own]
    kinds, targets = {
        'daemon': (DAEMON_FAULTS, names),
        'upstream': (UPSTREAM_FAULTS, names),
        'store': (STORE_FAULTS, ['store']),
        'edit': (EDITS, ['tree']),
        'data_centre': (DATA_CENTRE_FAULTS, list(data_centres)),
    }[group]
    kind = random.choice(kinds)
    longest = MAX_FREEZE_SECONDS if kind == 'freeze' else MAX_SECONDS
    return Fault(
        at=round(at, 2),
        seconds=round(
            min(random.uniform(MIN_SECONDS, longest), seconds - at),
            2,
        ),
        group=group,
        kind=kind,
        target=random.choice(targets),
    )


def _is_taken(
    fault: Fault,
    faults: list[Fault],
    data_centres: dict[str, list[str]],
) -> bool:
    own = _touched(fault, data_centres)
    return any(
        other.until + REST_SECONDS > fault.at
        and own & _touched(other, data_centres)
        for other in faults
    )


def _touched(fault: Fault, data_centres: dict[str, list[str]]) -> set[str]:
    if fault.kind == 'restart_all':
        return {f'daemon {name}' for name in data_centres[fault.target]}
    return {f'{fault.group} {fault.target}'}
