"""Records of the audit trail and their sequence numbers."""

from dataclasses import dataclass
from typing import TypeAlias, final

from briartack.core.units import Incarnation, InstanceId

AuditFields: TypeAlias = dict[str, object]


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class AuditRecord:
    """Hold one audit record; the shell adds the wall-clock time."""

    instance: InstanceId
    incarnation: Incarnation
    sequence: int
    kind: str
    fields: AuditFields


@final
class AuditRecorder:
    """Number the audit records of one incarnation without gaps."""

    __slots__ = ('_instance', '_incarnation', '_sequence')

    def __init__(
        self,
        *,
        instance: InstanceId,
        incarnation: Incarnation,
    ) -> None:
        """Start the sequence; the first record gets number 1."""
        self._instance = instance
        self._incarnation = incarnation
        self._sequence = 0

    def record(self, kind: str, fields: AuditFields) -> AuditRecord:
        """Create the next record."""
        self._sequence += 1
        return AuditRecord(
            instance=self._instance,
            incarnation=self._incarnation,
            sequence=self._sequence,
            kind=kind,
            fields=fields,
        )
