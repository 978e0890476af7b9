"""Count the bytes of one peer stream by direction, kind and region.

Traffic between regions is charged, and the control traffic of a daemon is
limited, so the two are counted separately from the traffic of calls.
"""

from typing import Final, TypeAlias, final

from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    Chunk,
    Grant,
    PeerMessage,
)
from briartack.shell_interfaces import Attributes, Observer

_BYTES_COUNTER: Final = 'peers.bytes'
_OWN_REGION: Final = 'own'
_OTHER_REGION: Final = 'other'
_CALL_MESSAGE_CLASSES: Final = (Attempt, Answer, Chunk, Grant, Cancel)
# Attributes of control messages and of call messages, indexed by the bool that
# says whether a message belongs to a call.
_AttributesByKind: TypeAlias = tuple[Attributes, Attributes]


def is_call_message(message: PeerMessage) -> bool:
    """Return whether a message belongs to a call."""
    return isinstance(message, _CALL_MESSAGE_CLASSES)


@final
class PeerTraffic:
    """Count the bytes of one stream in the counter `peers.bytes`."""

    __slots__ = ('_observer', '_sent_attributes', '_received_attributes')

    def __init__(self, observer: Observer) -> None:
        """Count as traffic of the own region until the hello is received."""
        self._observer = observer
        # Built once, since the counters are updated for each call.
        self._sent_attributes = _build_attributes_by_kind('sent', _OWN_REGION)
        self._received_attributes = _build_attributes_by_kind(
            'received', _OWN_REGION
        )

    def count_hellos(
        self,
        *,
        is_remote: bool,
        sent_bytes: int,
        received_bytes: int,
    ) -> None:
        """Set the region of the peer and count the hellos of both sides."""
        region = _OTHER_REGION if is_remote else _OWN_REGION
        self._sent_attributes = _build_attributes_by_kind('sent', region)
        self._received_attributes = _build_attributes_by_kind(
            'received', region
        )
        self._observer.add(
            _BYTES_COUNTER, sent_bytes, self._sent_attributes[False]
        )
        self._observer.add(
            _BYTES_COUNTER, received_bytes, self._received_attributes[False]
        )

    def count_sent(self, size_bytes: int, *, is_call_traffic: bool) -> None:
        """Count bytes that were queued for the peer."""
        self._observer.add(
            _BYTES_COUNTER, size_bytes, self._sent_attributes[is_call_traffic]
        )

    def count_received(self, size_bytes: int, message: PeerMessage) -> None:
        """Count the bytes of a message received from the peer."""
        attributes = self._received_attributes[is_call_message(message)]
        self._observer.add(_BYTES_COUNTER, size_bytes, attributes)


def _build_attributes_by_kind(direction: str, region: str) -> _AttributesByKind:
    return (
        _build_attributes(direction, 'control', region),
        _build_attributes(direction, 'call', region),
    )


def _build_attributes(direction: str, kind: str, region: str) -> Attributes:
    return (('direction', direction), ('kind', kind), ('region', region))
