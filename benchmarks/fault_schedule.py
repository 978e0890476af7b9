"""Plans single and concurrent faults of a fault run from a seed."""

from dataclasses import dataclass
from random import Random
from typing import Final, final

# Fault kinds by group. Two faults never affect the same target at once. A
# repeated entry is chosen more often.
DAEMON_FAULTS: Final = ('kill', 'freeze', 'freeze', 'planned_stop')
UPSTREAM_FAULTS: Final = ('cold', 'cut', 'reset', 'truncate', 'down')
STORE_FAULTS: Final = ('refuse', '503', 'stale', 'cross', 'late', 'restore')
EDIT_FAULTS: Final = ('good', 'malformed', 'remove', 'put_back')
# Of the streams to one daemon: reset and refused, held up in both directions
# or in one, or silent for good while new streams work.
LINK_FAULTS: Final = ('cut', 'hang', 'one-way', 'silence')
DATA_CENTRE_FAULTS: Final = ('out', 'restart_all')
FAULT_GROUPS: Final = (
    'daemon',
    'daemon',
    'upstream',
    'store',
    'edit',
    'data_centre',
)
FIRST_FAULT_SECONDS: Final = 4.0
FAULT_INTERVAL_SECONDS: Final = (1.5, 5.0)
PAIR_PROBABILITY: Final = 0.4
MAX_FREEZE_SECONDS: Final = 40.0
MIN_FAULT_SECONDS: Final = 3.0
MAX_FAULT_SECONDS: Final = 15.0
# Pause between two faults on a target, so that the target runs again.
TARGET_RECOVERY_SECONDS: Final = 2.0


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """Describe one fault; times are in seconds from the start of the run."""

    at: float
    seconds: float
    group: str
    kind: str
    target: str

    @property
    def ends_at(self) -> float:
        """Return when the fault ends, in seconds from the start of the run."""
        return self.at + self.seconds


def plan_faults(
    random: Random,
    *,
    seconds: float,
    data_centres: dict[str, list[str]],
    intensity: float = 1,
) -> list[Fault]:
    """Plan the faults of a run, which all end within `seconds`.

    The intensity divides the intervals between the starts of faults.
    """
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - MIN_FAULT_SECONDS:
        count = 2 if random.random() < PAIR_PROBABILITY else 1
        for _ in range(count):
            fault = _choose_fault(random, at, seconds, data_centres)
            if not _has_conflict(fault, faults, data_centres):
                faults.append(fault)
        at += random.uniform(*FAULT_INTERVAL_SECONDS) / intensity
    return faults


def plan_link_faults(
    random: Random,
    *,
    seconds: float,
    instances: list[str],
    intensity: float = 1,
) -> list[Fault]:
    """Plan the faults of links, whose randomness is apart from the others.

    The other faults of a seed stay what they were before there were these.
    """
    faults: list[Fault] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - MIN_FAULT_SECONDS:
        longest = min(MAX_FAULT_SECONDS, seconds - at)
        fault = Fault(
            at=round(at, 2),
            seconds=round(random.uniform(MIN_FAULT_SECONDS, longest), 2),
            group='link',
            kind=random.choice(LINK_FAULTS),
            target=random.choice(instances),
        )
        if not _has_conflict(fault, faults, {}):
            faults.append(fault)
        at += random.uniform(*FAULT_INTERVAL_SECONDS) / intensity
    return faults


def _choose_fault(
    random: Random,
    at: float,
    seconds: float,
    data_centres: dict[str, list[str]],
) -> Fault:
    group = random.choice(FAULT_GROUPS)
    instances = [name for members in data_centres.values() for name in members]
    fault_kinds, targets = {
        'daemon': (DAEMON_FAULTS, instances),
        'upstream': (UPSTREAM_FAULTS, instances),
        'store': (STORE_FAULTS, ['store']),
        'edit': (EDIT_FAULTS, ['tree']),
        'data_centre': (DATA_CENTRE_FAULTS, list(data_centres)),
    }[group]
    kind = random.choice(fault_kinds)
    max_seconds = MAX_FREEZE_SECONDS if kind == 'freeze' else MAX_FAULT_SECONDS
    return Fault(
        at=round(at, 2),
        seconds=round(
            min(random.uniform(MIN_FAULT_SECONDS, max_seconds), seconds - at),
            2,
        ),
        group=group,
        kind=kind,
        target=random.choice(targets),
    )


def _has_conflict(
    fault: Fault,
    faults: list[Fault],
    data_centres: dict[str, list[str]],
) -> bool:
    targets = _list_affected_targets(fault, data_centres)
    return any(
        other.ends_at + TARGET_RECOVERY_SECONDS > fault.at
        and targets & _list_affected_targets(other, data_centres)
        for other in faults
    )


def _list_affected_targets(
    fault: Fault, data_centres: dict[str, list[str]]
) -> set[str]:
    if fault.kind == 'restart_all':
        return {f'daemon {name}' for name in data_centres[fault.target]}
    return {f'{fault.group} {fault.target}'}
