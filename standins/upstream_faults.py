"""Inject faults and false health reports into a stand-in upstream."""

from typing import final

import msgspec


@final
class HealthOverride(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Override fields of the health report; None keeps the actual value."""

    load: float | None = None
    status: str | None = None
    identity: str | None = None
    lag_seconds: float = 0
    delay_seconds: float = 0


@final
class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Describe a fault that affects the next `count` requests under a path.

    Kinds: `cut` and `reset` end the connection after the request has run,
    `cut-before` ends the connection before the request runs, `late` answers
    after `seconds`, `truncate` sends half of the answer, `error` answers 500.
    """

    kind: str = ''
    count: int = 1
    seconds: float = 0
    path: str = ''


FAULT_KINDS = frozenset(
    ('cut', 'reset', 'cut-before', 'late', 'truncate', 'error')
)


@final
class UpstreamFaults:
    """Hold the pending faults and the override of the health report."""

    __slots__ = ('health', '_pending')

    def __init__(self) -> None:
        self.health = HealthOverride()
        self._pending: list[Fault] = []

    def add(self, fault: Fault) -> None:
        """Add a pending fault; raise ValueError if its kind is unknown."""
        if fault.kind not in FAULT_KINDS:
            raise ValueError(
                f'fault {fault.kind!r} is not one of {sorted(FAULT_KINDS)}'
            )
        self._pending.append(fault)

    def clear(self) -> None:
        """Discard all pending faults."""
        self._pending.clear()

    def take_next(self, path: str) -> Fault:
        """Return and count the next fault for a path; its kind may be empty."""
        for fault in self._pending:
            if path.startswith(fault.path):
                fault.count -= 1
                if fault.count <= 0:
                    self._pending.remove(fault)
                return fault
        return Fault()
