"""Identifier types shared by the whole core.

Durations are floats whose names end in a unit; `now` is always in seconds of
a monotonic clock.
"""

from typing import Final, NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', str)
Revision = NewType('Revision', int)
# Counts the histories of the store: a store that was restored from a copy gives
# revisions out again, in a new era.
Era = NewType('Era', int)
CallId = NewType('CallId', str)
AttemptId = NewType('AttemptId', str)
BodyId = NewType('BodyId', str)
Digest = NewType('Digest', bytes)

# The era of a store that states none.
FIRST_ERA: Final = Era(0)
NO_INSTANCE: Final = InstanceId('')
MILLISECONDS_PER_SECOND: Final = 1000
