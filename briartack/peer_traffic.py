"""Bytes on one peer stream, counted by direction, kind and region.

Traffic between regions is paid, and the control traffic of a daemon has a
limit, so both are told apart from the bytes of calls.
"""

from typing import Final, TypeAlias, final

from briartack.core.messages import (
    Answer,
    Attempt,
    Cancel,
    Chunk,
    PeerMessage,
)
from briartack.ports import Attributes, Observer

_COUNTER: Final = 'peers.bytes'
_OWN: Final = 'own'
_OTHER: Final = 'other'
_CALL_CLASSES: Final = (Attempt, Answer, Chunk, Cancel)
# Attributes of control messages and of calls, in the order of `is_call`.
_ByKind: TypeAlias = tuple[Attributes, Attributes]


def is_call(message: PeerMessage) -> bool:
    """Tell whether a message belongs to a call."""
    return isinstance(message, _CALL_CLASSES)


@final
class PeerTraffic:
    """Count the bytes of one stream."""

    __slots__ = ('_observer', '_sent', '_received')

    def __init__(self, observer: Observer) -> None:
        """Count in `observer`, as within a region until told otherwise."""
        self._observer = observer
        # Made once, since these counters lie on the path of calls.
        self._sent = _by_kind('sent', _OWN)
        self._received = _by_kind('received', _OWN)

    def hello_received(
        self,
        *,
        is_remote: bool,
        sent_bytes: int,
        received_bytes: int,
    ) -> None:
        """Set the region of the peer and count both hellos."""
        region = _OTHER if is_remote else _OWN
        self._sent = _by_kind('sent', region)
        self._received = _by_kind('received', region)
        self._observer.add(_COUNTER, sent_bytes, self._sent[False])
        self._observer.add(_COUNTER, received_bytes, self._received[False])

    def sent(self, size_bytes: int, *, of_call: bool) -> None:
        """Count what was queued for the peer."""
        self._observer.add(_COUNTER, size_bytes, self._sent[of_call])

    def received(self, size_bytes: int, message: PeerMessage) -> None:
        """Count a message of the peer."""
        attributes = self._received[is_call(message)]
        self._observer.add(_COUNTER, size_bytes, attributes)


def _by_kind(direction: str, region: str) -> _ByKind:
    return (
        _attributes(direction, 'control', region),
        _attributes(direction, 'call', region),
    )


def _attributes(direction: str, kind: str, region: str) -> Attributes:
    return (('direction', direction), ('kind', kind), ('region', region))
