"""The verdict on a request: whether an upstream may have run it."""

import enum
from typing import final


@final
@enum.unique
class Verdict(enum.Enum):
    """Say whether the upstream's handler may have seen a request."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def may_repeat(verdict: Verdict, *, repeatable: bool) -> bool:
    """Tell whether another attempt can not run a request for a second time."""
    if verdict is Verdict.NOT_RUN:
        return True
    return repeatable and verdict is Verdict.UNKNOWN
