"""Write and read event traces: each event of a daemon as one JSON line.

`briartack replay` feeds a trace to the reducer, so the first line holds the
other inputs of the reducer: the identity, the seed and the drain time.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import BinaryIO, Final, TypeVar, final, get_args

import msgspec

from briartack.core import events
from briartack.core.identity import Identity

# The type of a line is the class name of its event.
_EVENT_CLASSES: Final[Mapping[str, type[events.Event]]] = MappingProxyType(
    {
        event_class.__name__: event_class
        for event_class in get_args(events.Event)
    },
)
_HEADER_TYPE: Final = 'TraceHeader'
_RecordT = TypeVar('_RecordT')


@final
class TraceError(Exception):
    """Report a trace line that cannot be decoded, with its path and number."""


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class TraceHeader:
    """Hold the inputs of the reducer other than the events."""

    identity: Identity
    seed: int
    drain_seconds: float


@final
class TraceLine(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the type and the encoded data of one line of a trace.

    `place` is the path and line number for error texts.
    """

    type: str
    data: msgspec.Raw
    place: str = ''  # PATH:LINE


@final
class Recorder:
    """Write events to a trace file."""

    __slots__ = ('_file', '_encoder')

    def __init__(self, *, trace: BinaryIO, header: TraceHeader) -> None:
        """Write the header of the trace.

        Raises OSError.
        """
        self._file = trace
        self._encoder = msgspec.json.Encoder()
        self._write(_HEADER_TYPE, header)

    def write(self, event: events.Event) -> None:
        """Append one event.

        Raises OSError.
        """
        self._write(type(event).__name__, event)

    def close(self) -> None:
        """Write the buffered events out and close the file."""
        self._file.close()

    def flush(self) -> None:
        """Write the buffered events out, to lose few events if killed."""
        self._file.flush()

    def _write(self, type_name: str, record: object) -> None:
        encoded = self._encoder.encode(record)
        self._file.write(
            b'{"type":"%b","data":%b}\n'
            % (
                type_name.encode(),
                encoded,
            )
        )


def read_header(path: Path) -> TraceHeader:
    """Return the header, which is the first line of a trace.

    Raises TraceError and OSError.
    """
    with path.open('rb') as trace:
        line = _decode_line(f'{path}:1', trace.readline())
    if line.type != _HEADER_TYPE:
        raise TraceError(f'{path}:1: the trace does not start with a header')
    return decode_data(line, TraceHeader)


def read_trace_lines(path: Path) -> Iterator[TraceLine]:
    """Yield all lines of a trace except the header.

    Raises TraceError and OSError.
    """
    with path.open('rb') as trace:
        for number, text in enumerate(trace, start=1):
            line = _decode_line(f'{path}:{number}', text)
            if line.type != _HEADER_TYPE:
                yield line


def read_events(path: Path) -> Iterator[events.Event]:
    """Yield the events of a trace in order.

    Raises TraceError and OSError.
    """
    return map(decode_event, read_trace_lines(path))


def decode_event(line: TraceLine) -> events.Event:
    """Decode the event of a line.

    Raises TraceError.
    """
    event_class = _EVENT_CLASSES.get(line.type)
    if event_class is None:
        raise TraceError(f'{line.place}: unknown event class {line.type!r}')
    return decode_data(line, event_class)


def decode_data(line: TraceLine, record_class: type[_RecordT]) -> _RecordT:
    """Decode the data of a line as a given class.

    Raises TraceError.
    """
    try:
        return msgspec.json.decode(line.data, type=record_class)
    except msgspec.MsgspecError as error:
        raise TraceError(f'{line.place}: {line.type}: {error}') from None


def _decode_line(place: str, text: bytes) -> TraceLine:
    try:
        line = msgspec.json.decode(text, type=TraceLine)
    except msgspec.MsgspecError as error:
        raise TraceError(f'{place}: {error}') from None
    return msgspec.structs.replace(line, place=place)
