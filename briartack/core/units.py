"""Identifier types shared by the whole core.

Durations are floats whose names end in a unit; `now` is always in seconds of
a monotonic clock.
"""

from typing import Final, NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', str)
# Orders the changes of the store across its eras, see `place_in_era`.
Revision = NewType('Revision', int)
# Counts the histories of the store: a store that was restored from a copy gives
# revisions out again, in a new era.
Era = NewType('Era', int)
CallId = NewType('CallId', str)
AttemptId = NewType('AttemptId', str)
BodyId = NewType('BodyId', str)
Digest = NewType('Digest', bytes)

# The first era, and that of a store that states none.
FIRST_ERA: Final = Era(1)
_NUMBER_BITS: Final = 40
# Highest number that the store may give to a change.
MAX_STORE_NUMBER: Final = (1 << _NUMBER_BITS) - 1
NO_INSTANCE: Final = InstanceId('')
NO_REVISION: Final = Revision(0)  # revisions of the store start at 1
MILLISECONDS_PER_SECOND: Final = 1000


def place_in_era(era: Era, number: int) -> Revision:
    """Return the revision of a change that the store numbered in an era.

    Any revision of an era is above all revisions of the eras before. Those of
    the first era equal the numbers of the store.
    """
    return Revision((max(era - FIRST_ERA, 0) << _NUMBER_BITS) + number)


def era_of(revision: Revision) -> Era:
    """Return the era of a revision."""
    return Era(FIRST_ERA + (revision >> _NUMBER_BITS))


def number_of(revision: Revision) -> int:
    """Return the number that the store gave to a revision."""
    return revision & MAX_STORE_NUMBER


def format_revision(revision: Revision) -> str:
    """Return a revision as NUMBER or, after the first era, as ERA:NUMBER."""
    era = era_of(revision)
    number = number_of(revision)
    return str(number) if era == FIRST_ERA else f'{era}:{number}'
