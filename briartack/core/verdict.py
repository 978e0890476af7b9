"""Verdicts on whether an upstream may have run a request."""

import enum
from typing import final


@final
@enum.unique
class Verdict(enum.Enum):
    """State whether an upstream has run a request, if that is known."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


def may_repeat(verdict: Verdict, *, repeatable: bool) -> bool:
    """Return whether a request may be attempted again.

    A request may be attempted again if no upstream ran the request, or if the
    verdict is unknown and the request is repeatable.
    """
    if verdict is Verdict.NOT_RUN:
        return True
    return repeatable and verdict is Verdict.UNKNOWN
