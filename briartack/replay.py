"""Replay a trace of events through the reducer and check the outcomes.

Serves `briartack replay`. A recorded trace is checked by the invariant monitor
alone. A trace written for a test also has lines that state outcomes: `Expect`
and `Never` are checked against the effects since the previous group of such
lines, `Holds` against the configuration in force. A `Note` describes the
failure that the trace guards against.
"""

from collections.abc import Iterator, Sequence
from pathlib import Path
from random import Random
from typing import Final, final

import msgspec

from briartack.core.effects import Effect, Effects
from briartack.core.invariant_monitor import InvariantMonitor
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.recorder import (
    TraceLine,
    decode_data,
    decode_event,
    read_header,
    read_trace_lines,
)

_BINDING_PREFIX: Final = '$'


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Require an effect with given fields.

    `count` requires an exact number of such effects; None accepts any.
    `bind` maps names to the field paths whose values later lines refer to.
    """

    effect: str
    fields: dict[str, object] = {}
    count: int | None = None
    bind: dict[str, str] = {}


class Never(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Forbid an effect with given fields."""

    effect: str
    fields: dict[str, object] = {}


class Holds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Require the versions in force; None requires that there are none."""

    versions: dict[str, int] | None


class Note(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a remark for the reader of the trace; nothing is checked."""

    text: str


@final
class ReplayResult:
    """Count the events and outcomes of a replay and collect the failures."""

    __slots__ = ('_event_count', '_failures', '_path', '_outcome_count')

    def __init__(self, *, path: Path) -> None:
        self._path = path
        self._event_count = 0
        self._outcome_count = 0
        self._failures: list[str] = []

    @property
    def is_ok(self) -> bool:
        """Return whether events were replayed and no check failed."""
        return bool(self._event_count) and not self._failures

    @property
    def failures(self) -> tuple[str, ...]:
        """Return the failure texts, each with its path and line number."""
        return tuple(self._failures)

    def count_event(self) -> None:
        """Count one replayed event."""
        self._event_count += 1

    def count_outcome(self) -> None:
        """Count one checked outcome."""
        self._outcome_count += 1

    def add_failure(self, place: str, text: str) -> None:
        """Add a failure at a line of the trace."""
        self._failures.append(f'{place}: {text}')

    def to_dict(self) -> dict[str, object]:
        """Return the result as an object for JSON output."""
        return {
            'trace': str(self._path),
            'events': self._event_count,
            'outcomes': self._outcome_count,
            'failures': self._failures,
        }

    def format_lines(self) -> Iterator[str]:
        """Yield the result as lines of text for a terminal."""
        yield (
            f'{self._path}: {self._event_count} events, '
            f'{self._outcome_count} stated outcomes, '
            f'{len(self._failures)} failures'
        )
        yield from self._failures


def replay_trace(path: Path) -> ReplayResult:
    """Replay a trace from its start and return the result.

    Raises TraceError and OSError.
    """
    header = read_header(path)
    state = State(
        identity=header.identity,
        random=Random(header.seed),
        drain_seconds=header.drain_seconds,
    )
    run = _TraceReplay(state=state, result=ReplayResult(path=path))
    for line in read_trace_lines(path):
        run.process_line(line)
    return run.result


@final
class _TraceReplay:
    """Replay one trace and check the outcomes that its lines state."""

    __slots__ = (
        '_bindings',
        '_effects',
        '_is_checking',
        '_monitor',
        '_state',
        'result',
    )

    def __init__(self, *, state: State, result: ReplayResult) -> None:
        self._state = state
        self._monitor = InvariantMonitor()
        self._effects: Effects = []
        self._bindings: dict[str, str] = {}
        self._is_checking = False
        self.result = result

    def process_line(self, line: TraceLine) -> None:
        """Apply the event or check the stated outcome of a line."""
        bound = _substitute_bindings(line, self._bindings)
        match line.type:
            case 'Expect':
                self._check_outcome(line.place, decode_data(bound, Expect))
            case 'Never':
                self._check_outcome(line.place, decode_data(bound, Never))
            case 'Holds':
                self._check_outcome(line.place, decode_data(bound, Holds))
            case 'Note':
                decode_data(bound, Note)
            case _:
                self._apply_event(bound)

    def _apply_event(self, line: TraceLine) -> None:
        if self._is_checking:
            self._effects = []
            self._is_checking = False
        event = decode_event(line)
        effects = reduce(self._state, event)
        self._effects.extend(effects)
        self.result.count_event()
        for violation in self._monitor.observe(self._state, event, effects):
            self.result.add_failure(line.place, str(violation))

    def _check_outcome(
        self, place: str, outcome: Expect | Never | Holds
    ) -> None:
        self._is_checking = True
        self.result.count_outcome()
        match outcome:
            case Expect():
                problem = self._check_expect(outcome)
            case Never():
                found = self._find_effects(outcome.effect, outcome.fields)
                problem = f'{outcome.effect} occurred' if found else ''
            case Holds():
                problem = self._check_holds(outcome)
        if problem:
            self.result.add_failure(place, problem)

    def _check_expect(self, outcome: Expect) -> str:
        found = self._find_effects(outcome.effect, outcome.fields)
        if not found:
            seen = sorted({type(effect).__name__ for effect in self._effects})
            return f'no {outcome.effect} with {outcome.fields}; saw {seen}'
        if outcome.count is not None and len(found) != outcome.count:
            return f'{len(found)} of {outcome.effect}, not {outcome.count}'
        for name, path in outcome.bind.items():
            self._bindings[name] = str(_get_field(found[0], path))
        return ''

    def _check_holds(self, outcome: Holds) -> str:
        snapshot = self._state.configuration.snapshot
        held = None if snapshot is None else dict(snapshot.versions)
        if held == outcome.versions:
            return ''
        return f'holds {held}, not {outcome.versions}'

    def _find_effects(
        self,
        name: str,
        fields: dict[str, object],
    ) -> list[dict[str, object]]:
        described = (
            _convert_to_dict(effect)
            for effect in self._effects
            if type(effect).__name__ == name
        )
        return [
            effect
            for effect in described
            if all(
                _get_field(effect, path) == wanted
                for path, wanted in fields.items()
            )
        ]


def _convert_to_dict(effect: Effect) -> dict[str, object]:
    """Convert an effect to JSON types.

    A tuple of the effect would not equal the list in a trace.
    """
    encoded = msgspec.json.encode(effect)
    return msgspec.json.decode(encoded, type=dict[str, object])


def _get_field(value: object, path: str) -> object:
    """Return the value at a dotted path of an effect, or None if absent."""
    for name in path.split('.'):
        if isinstance(value, list | tuple):
            value = _get_item(value, name)
        elif isinstance(value, dict):
            value = value.get(name)
        else:
            return None
    return value


def _get_item(items: Sequence[object], index: str) -> object:
    """Return the item at an index of a path, or None if there is none."""
    is_present = index.isdecimal() and int(index) < len(items)
    return items[int(index)] if is_present else None


def _substitute_bindings(
    line: TraceLine, bindings: dict[str, str]
) -> TraceLine:
    data = bytes(line.data)
    for name, value in bindings.items():
        data = data.replace(
            f'"{_BINDING_PREFIX}{name}"'.encode(),
            msgspec.json.encode(value),
        )
    return msgspec.structs.replace(line, data=msgspec.Raw(data))
