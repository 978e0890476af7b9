"""Identifier types that the whole core shares.

Times are floats whose names end in a unit; `now` is always monotonic seconds.
"""

from typing import NewType

InstanceId = NewType('InstanceId', str)
Incarnation = NewType('Incarnation', str)
Revision = NewType('Revision', int)
CallId = NewType('CallId', str)
AttemptId = NewType('AttemptId', str)
BodyId = NewType('BodyId', str)
Digest = NewType('Digest', bytes)
