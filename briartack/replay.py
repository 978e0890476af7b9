"""Replays a trace of events through the reducer and judges the outcome.

A recorded trace is judged by the monitors alone. A trace written for a test
also has lines that state outcomes: `Expect` and `Never` look at the effects
since the last such lines, `Holds` at the configuration in force. A `Note`
says which failure the trace guards against.
"""

from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Final, final

import msgspec

from briartack.core.effects import Effect, Effects
from briartack.core.monitors import Monitors
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.recorder import (
    TraceLine,
    decode_data,
    decode_event,
    read_header,
    read_lines,
)

_BINDING: Final = '$'


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Require an effect; `bind` keeps values of it under a name."""

    effect: str
    fields: dict[str, object] = {}
    count: int | None = None
    bind: dict[str, str] = {}


class Never(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Forbid an effect."""

    effect: str
    fields: dict[str, object] = {}


class Holds(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """State the versions in force; None states that nothing is held."""

    versions: dict[str, int] | None


class Note(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Explain the trace to its reader; nothing is judged."""

    text: str


@final
class ReplayResult:
    """Collect what a replay found."""

    __slots__ = ('_events', '_failures', '_path', '_statements')

    def __init__(self, *, path: Path) -> None:
        """Start without findings."""
        self._path = path
        self._events = 0
        self._statements = 0
        self._failures: list[str] = []

    @property
    def is_ok(self) -> bool:
        """Tell whether nothing failed and anything was replayed."""
        return bool(self._events) and not self._failures

    @property
    def failures(self) -> tuple[str, ...]:
        """Return what failed, with its line."""
        return tuple(self._failures)

    def count_event(self) -> None:
        """Count one replayed event."""
        self._events += 1

    def count_statement(self) -> None:
        """Count one judged outcome."""
        self._statements += 1

    def fail(self, place: str, text: str) -> None:
        """Add a failure at a line of the trace."""
        self._failures.append(f'{place}: {text}')

    def to_dict(self) -> dict[str, object]:
        """Describe the result for JSON."""
        return {
            'trace': str(self._path),
            'events': self._events,
            'outcomes': self._statements,
            'failures': self._failures,
        }

    def lines(self) -> Iterator[str]:
        """Yield the result for people."""
        yield (
            f'{self._path}: {self._events} events, '
            f'{self._statements} stated outcomes, '
            f'{len(self._failures)} failures'
        )
        yield from self._failures


def replay_trace(path: Path) -> ReplayResult:
    """Run a trace from its start.

    Raises TraceError and OSError.
    """
    header = read_header(path)
    state = State(
        identity=header.identity,
        random=Random(header.seed),
        drain_seconds=header.drain_seconds,
    )
    run = _Replay(state=state, result=ReplayResult(path=path))
    for line in read_lines(path):
        run.take(line)
    return run.result


@final
class _Replay:
    __slots__ = (
        '_bindings',
        '_effects',
        '_judging',
        '_monitors',
        '_state',
        'result',
    )

    def __init__(self, *, state: State, result: ReplayResult) -> None:
        self._state = state
        self._monitors = Monitors()
        self._effects: Effects = []
        self._bindings: dict[str, str] = {}
        self._judging = False
        self.result = result

    def take(self, line: TraceLine) -> None:
        """Apply an event or judge a stated outcome."""
        bound = _substitute(line, self._bindings)
        match line.type:
            case 'Expect':
                self._judge(line.place, decode_data(bound, Expect))
            case 'Never':
                self._judge(line.place, decode_data(bound, Never))
            case 'Holds':
                self._judge(line.place, decode_data(bound, Holds))
            case 'Note':
                decode_data(bound, Note)
            case _:
                self._apply(bound)

    def _apply(self, line: TraceLine) -> None:
        if self._judging:
            self._effects = []
            self._judging = False
        event = decode_event(line)
        effects = reduce(self._state, event)
        self._effects.extend(effects)
        self.result.count_event()
        for violation in self._monitors.observe(self._state, event, effects):
            self.result.fail(line.place, str(violation))

    def _judge(self, place: str, outcome: Expect | Never | Holds) -> None:
        self._judging = True
        self.result.count_statement()
        match outcome:
            case Expect():
                problem = self._expect(outcome)
            case Never():
                found = self._matching(outcome.effect, outcome.fields)
                problem = f'{outcome.effect} occurred' if found else ''
            case Holds():
                problem = self._holds(outcome)
        if problem:
            self.result.fail(place, problem)

    def _expect(self, outcome: Expect) -> str:
        found = self._matching(outcome.effect, outcome.fields)
        if not found:
            seen = sorted({type(effect).__name__ for effect in self._effects})
            return f'no {outcome.effect} with {outcome.fields}; saw {seen}'
        if outcome.count is not None and len(found) != outcome.count:
            return f'{len(found)} of {outcome.effect}, not {outcome.count}'
        for name, path in outcome.bind.items():
            self._bindings[name] = str(_lookup(found[0], path))
        return ''

    def _holds(self, outcome: Holds) -> str:
        snapshot = self._state.snapshots.snapshot
        held = None if snapshot is None else dict(snapshot.versions)
        if held == outcome.versions:
            return ''
        return f'holds {held}, not {outcome.versions}'

    def _matching(
        self,
        name: str,
        fields: dict[str, object],
    ) -> list[dict[str, object]]:
        described = (
            _describe(effect)
            for effect in self._effects
            if type(effect).__name__ == name
        )
        return [
            effect
            for effect in described
            if all(
                _lookup(effect, path) == wanted
                for path, wanted in fields.items()
            )
        ]


def _describe(effect: Effect) -> dict[str, object]:
    """Give an effect as JSON has it: a tuple never equals a trace's list."""
    encoded = msgspec.json.encode(effect)
    return msgspec.json.decode(encoded, type=dict[str, object])


def _lookup(value: object, path: str) -> object:
    """Follow a dotted path through the fields of an effect."""
    for name in path.split('.'):
        if isinstance(value, list | tuple):
            value = value[int(name)]
        elif isinstance(value, dict):
            value = value.get(name)
        else:
            return None
    return value


def _substitute(line: TraceLine, bindings: dict[str, str]) -> TraceLine:
    data = bytes(line.data)
    for name, value in bindings.items():
        data = data.replace(
            f'"{_BINDING}{name}"'.encode(),
            msgspec.json.encode(value),
        )
    return msgspec.structs.replace(line, data=msgspec.Raw(data))
