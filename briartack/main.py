"""Run the program briartackd: read the options, then run the daemon."""

import contextlib
import gc
import os
import secrets
import signal
import sys
import time
from random import Random
from typing import Final, TextIO, cast

import gevent

from briartack.core.effects import LogLevel
from briartack.core.explanation import explain
from briartack.core.identity import Identity
from briartack.core.reducer import reduce
from briartack.core.state import State
from briartack.core.status import (
    count_attempt_ids,
    count_attempts,
    count_calls,
    describe,
    find_call,
    is_ready,
)
from briartack.core.units import Incarnation, InstanceId
from briartack.daemon import Daemon
from briartack.error_texts import (
    BAD_OPTION,
    CANNOT_LISTEN,
    SETTINGS_AWAITED,
    STOP_REPEATED,
    get_error_text,
)
from briartack.integration import PlatformIntegration, load_integration
from briartack.line_writer import LineWriter, OutputWriters
from briartack.logs import configure_logging, write_log
from briartack.memory_budget import return_freed_blocks
from briartack.operator_port import StateReports
from briartack.options import Options, read_options
from briartack.recorder import Recorder, TraceHeader

EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
_INCARNATION_BYTES: Final = 8
_SEED_BITS: Final = 63
# The platform writes the settings file at each start and at each change, and a
# daemon may start between the two.
_SETTINGS_WAIT_SECONDS: Final = 10.0
_SETTINGS_POLL_SECONDS: Final = 0.05
# With the default of 700 allocations, a collection of the youngest generation
# would run during most calls.
_GC_THRESHOLDS: Final = (20_000, 20, 50)


def main() -> None:
    """Run a daemon and exit with its exit code."""
    code = run(sys.argv[1:])
    # The interpreter restores the default actions of signals while it ends,
    # and those would replace the exit code.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    for stream in (sys.stdout, sys.stderr):
        if stream is not None:
            with contextlib.suppress(OSError):
                stream.flush()
    # The end of the interpreter takes 0.1 s on an idle machine and a second on
    # a slow one, and the end of the grace time may be near.
    os._exit(code)


def run(arguments: list[str]) -> int:
    """Run a daemon until the daemon stops, and return its exit code."""
    try:
        options = read_options(arguments, os.environ)
        integration = _await_integration(options)
    except ExceptionGroup as group:
        _print_errors(group)
        return EXIT_USAGE
    identity = Identity(
        instance=InstanceId(options.instance_id),
        incarnation=Incarnation(secrets.token_hex(_INCARNATION_BYTES)),
        service=integration.service,
        data_centre=options.data_centre,
        region=integration.region,
    )
    output = LineWriter(_get_descriptor(sys.stdout))
    logs = output
    if options.log_stream == 'stderr':
        logs = LineWriter(_get_descriptor(sys.stderr))
    writers = OutputWriters(audit=output, logs=logs)
    configure_logging(
        level=options.log_level, identity=identity, stream=writers.logs
    )
    # gevent writes tracebacks of greenlets to sys.stderr.
    with contextlib.redirect_stderr(cast(TextIO, writers.logs)):
        try:
            return _run_daemon(options, identity, writers, integration)
        except OSError as error:
            write_log(LogLevel.ERROR, CANNOT_LISTEN, {'error': str(error)})
            return EXIT_FAILED
        finally:
            # The exit code is known, and an error would replace it.
            with contextlib.suppress(Exception):
                writers.drain()


def _await_integration(options: Options) -> PlatformIntegration:
    """Return what the options select, once the settings file is usable.

    Raises ExceptionGroup of OptionError.
    """
    try:
        return load_integration(options)
    except ExceptionGroup as group:
        if options.boot is None:
            raise
        _print_errors(group, SETTINGS_AWAITED)
    until = time.monotonic() + _SETTINGS_WAIT_SECONDS
    while time.monotonic() < until:
        time.sleep(_SETTINGS_POLL_SECONDS)
        with contextlib.suppress(ExceptionGroup):
            return load_integration(options)
    return load_integration(options)


def _get_descriptor(stream: TextIO | None) -> int | None:
    # `sys.stdout` and `sys.stderr` are None if closed before the start.
    return None if stream is None else stream.fileno()


def _run_daemon(
    options: Options,
    identity: Identity,
    writers: OutputWriters,
    integration: PlatformIntegration,
) -> int:
    seed = secrets.randbits(_SEED_BITS)
    state = State(
        identity=identity,
        random=Random(seed),
        drain_seconds=integration.drain_seconds,
        rules=integration.rules,
        store_rules=integration.store_rules,
    )
    daemon = Daemon(
        options=options,
        identity=identity,
        state=state,
        reduce=reduce,
        reports=StateReports(
            describe=describe,
            is_ready=is_ready,
            explain=explain,
            count_calls=count_calls,
            count_attempts=count_attempts,
            count_attempt_ids=count_attempt_ids,
            find_call=find_call,
        ),
        writers=writers,
        integration=integration,
        recorder=_open_recorder(
            options, identity, seed, integration.drain_seconds
        ),
    )
    signals = _SignalHandler(daemon)
    gevent.signal_handler(signal.SIGTERM, signals.handle_stop)
    gevent.signal_handler(signal.SIGINT, signals.handle_interrupt)
    gevent.signal_handler(signal.SIGHUP, signals.handle_reload)
    return_freed_blocks()
    # All objects created so far live as long as the process, so exclude them
    # from collections.
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)
    daemon.start()
    return daemon.wait()


class _SignalHandler:
    """Handle signals: drain at a stop signal, exit at an interrupt after it."""

    __slots__ = ('_daemon', '_is_stopping')

    def __init__(self, daemon: Daemon[State]) -> None:
        self._daemon = daemon
        self._is_stopping = False

    def handle_stop(self) -> None:
        if self._is_stopping:
            # The stop has its time limit; ending now would cut requests.
            write_log(LogLevel.INFO, STOP_REPEATED, {})
            return
        self._is_stopping = True
        self._daemon.request_stop()

    def handle_interrupt(self) -> None:
        if self._is_stopping:
            os._exit(EXIT_FAILED)
        self.handle_stop()

    def handle_reload(self) -> None:
        self._daemon.reload()


def _open_recorder(
    options: Options,
    identity: Identity,
    seed: int,
    drain_seconds: float,
) -> Recorder | None:
    if options.record is None:
        return None
    header = TraceHeader(
        identity=identity,
        seed=seed,
        drain_seconds=drain_seconds,
    )
    return Recorder(trace=options.record.open('wb'), header=header)


def _print_errors(
    group: ExceptionGroup[Exception], code: str = BAD_OPTION
) -> None:
    error_text = get_error_text(code)
    lines = [f'briartackd: {error_text.text} {error_text.fix}']
    lines.extend(f'  {error}' for error in group.exceptions)
    if sys.stderr is None:
        return  # closed before the start
    # A reader of the output that is gone must not change the exit code.
    with contextlib.suppress(OSError):
        sys.stderr.write('\n'.join((*lines, '')))


if __name__ == '__main__':
    main()
