"""Assemble a daemon from its parts and run it."""

import time
from collections.abc import Callable
from functools import partial
from typing import Final, Generic, TypeVar, final

import gevent
from gevent.baseserver import BaseServer
from gevent.event import AsyncResult

from briartack.bodies import BodyStore
from briartack.callers import CallerServer
from briartack.core import effects, events
from briartack.core.calls.call_logs import REQUEST_LOG_CODES
from briartack.core.identity import Identity
from briartack.error_texts import (
    DELIVERING,
    LISTENING,
    RELOAD_FAILED,
    RELOADED,
    STOPPED,
)
from briartack.event_loop import EventLoop, Handlers, Reduce
from briartack.exit_flush import ExitFlush
from briartack.greenlets import (
    install_error_handler,
    run_forever,
    run_guarded,
    run_until_done,
)
from briartack.integration import PlatformIntegration, SettingsFileWatcher
from briartack.line_writer import OutputWriters
from briartack.listening import start_metrics_server, start_servers
from briartack.logs import AuditTrail, RequestLogLimiter, write_log
from briartack.memory_report import build_memory_report
from briartack.metrics import MetricRegistry
from briartack.operator_port import OperatorPort, StateReports
from briartack.options import Options
from briartack.peers import Peers
from briartack.process_limits import derive_process_limits
from briartack.recorder import Recorder
from briartack.shell_interfaces import Attributes
from briartack.store_client import StoreClient
from briartack.upstream import DEFAULT_HEALTH_PATH, UpstreamClient

StateT = TypeVar('StateT')

_MAINTENANCE_INTERVAL_SECONDS: Final = 2.0


def boot_clock() -> float:
    """Return seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ShellObserver:
    """Forward counts and durations to the metrics, and lines to the log."""

    __slots__ = ('_metrics',)

    def __init__(self, metrics: MetricRegistry) -> None:
        self._metrics = metrics

    def count(self, name: str, **attributes: str) -> None:
        """Add one to a counter."""
        self._metrics.add(name, 1, tuple(attributes.items()))

    def add(self, name: str, amount: int, attributes: Attributes) -> None:
        """Add an amount to a counter."""
        self._metrics.add(name, amount, attributes)

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        self._metrics.observe(name, seconds)

    def log(self, level: effects.LogLevel, code: str, **fields: str) -> None:
        """Write one log line."""
        write_log(level, code, fields)


@final
class Daemon(Generic[StateT]):
    """Run one daemon until its reducer emits `Exit`.

    Owns the event loop, the servers, the clients and the background greenlets.
    """

    __slots__ = (
        '_options',
        '_settings_watcher',
        '_identity',
        '_metrics',
        '_observer',
        '_writers',
        '_audit',
        '_request_log_limiter',
        '_loop',
        '_bodies',
        '_callers',
        '_peers',
        '_store',
        '_upstream',
        '_operator_port',
        '_is_stopping',
        '_drain_seconds',
        '_exit_flush_seconds',
        '_exit_flush',
        '_drained_by',
        '_servers',
        '_background',
        '_exit_code',
        '_memory_report',
    )

    def __init__(
        self,
        *,
        options: Options,
        identity: Identity,
        state: StateT,
        reduce: Reduce[StateT],
        reports: StateReports[StateT],
        writers: OutputWriters,
        integration: PlatformIntegration,
        recorder: Recorder | None = None,
    ) -> None:
        """Create all parts without listening or connecting."""
        clock = boot_clock
        dialects = integration.dialects
        rules = integration.rules
        self._settings_watcher = SettingsFileWatcher(
            options=options, content=integration.settings_content
        )
        self._options = options
        self._identity = identity
        self._writers = writers
        self._audit = AuditTrail(writers.audit)
        self._request_log_limiter = RequestLogLimiter(clock)
        self._metrics = MetricRegistry()
        observer = ShellObserver(self._metrics)
        self._observer = observer
        self._loop: EventLoop[StateT] = EventLoop(
            state=state,
            reduce=reduce,
            clock=clock,
            recorder=recorder,
        )
        limits = derive_process_limits(integration)
        self._bodies = BodyStore(memory=limits.memory)
        self._callers = CallerServer(
            bodies=self._bodies,
            dialect=dialects.callers,
            deliver=self._loop.deliver,
            clock=clock,
            observer=observer,
            connection_limits=limits.connections,
        )
        self._peers = Peers(
            identity=identity,
            bodies=self._bodies,
            count_ahead=lambda attempt_id: self._callers.count_ahead(
                reports.find_call(state, attempt_id)
            ),
            deliver=self._loop.deliver,
            clock=clock,
            observer=observer,
            link_bytes_per_second=rules.link_bytes_per_second,
        )
        self._store = StoreClient(
            address=options.store_address,
            dialect=dialects.store,
            deliver=self._loop.deliver,
            clock=clock,
            observer=observer,
        )
        self._upstream = UpstreamClient(
            address=options.upstream_address,
            bodies=self._bodies,
            dialect=dialects.upstream,
            deliver=self._loop.deliver,
            clock=clock,
            observer=observer,
            probe_seconds=rules.probe_seconds,
            probe_path='' if rules.requires_identity else DEFAULT_HEALTH_PATH,
        )
        self._operator_port = OperatorPort(
            describe=lambda: {
                **reports.describe(self._loop.state),
                'limits': self._callers.limits_in_force,
            },
            is_ready=partial(reports.is_ready, self._loop.state),
            explain=partial(reports.explain, self._loop.state),
            clear_suspect=self.clear_suspect,
            metrics=self._metrics,
        )
        self._memory_report = build_memory_report(
            memory_bytes=limits.memory_bytes,
            metrics=self._metrics,
            observer=observer,
            callers=self._callers,
            peers=self._peers,
            upstream=self._upstream,
            count_calls=partial(reports.count_calls, state),
            count_attempts=partial(reports.count_attempts, state),
            count_attempt_ids=partial(reports.count_attempt_ids, state),
        )
        self._is_stopping = False
        self._drain_seconds = integration.drain_seconds
        self._exit_flush_seconds = integration.exit_flush_seconds
        self._exit_flush = ExitFlush(
            callers=self._callers, peers=self._peers, clock=clock
        )
        self._drained_by: float | None = None
        self._servers: list[BaseServer] = []
        self._background: list[gevent.Greenlet] = []
        self._exit_code: AsyncResult[int] = AsyncResult()
        self._loop.attach_handlers(
            self._build_effect_handlers(),
            after_event=self._peers.flush,
        )

    def start(self) -> None:
        """Listen on all addresses and start the background work.

        Waits for addresses that another process holds, such as the daemon of
        before that still serves its grace time. Raises OSError if an address
        other than that of the metrics cannot be bound.
        """
        install_error_handler(self._observer)
        options = self._options
        self._servers = [
            self._operator_port.create_server(options.operator_address),
            self._peers.create_server(options.peer_address),
            self._callers.create_server(options.caller_address),
        ]
        if not start_servers(
            self._servers,
            clock=boot_clock,
            is_stopping=lambda: self._is_stopping,
        ):
            self._exit_code.set(0)
            return
        write_log(effects.LogLevel.INFO, LISTENING, options.format_fields())
        self._loop.deliver(
            events.Started(
                now=boot_clock(),
                incarnation=self._identity.incarnation,
            ),
        )
        self._background = [
            gevent.spawn(run_forever, run, task=task, observer=self._observer)
            for task, run in (
                ('tick', self._loop.tick_forever),
                ('probe', self._upstream.probe_forever),
                ('maintenance', self._run_maintenance),
                ('memory report', self._memory_report.watch_forever),
            )
        ]
        if options.metrics_address is not None:
            server = self._operator_port.create_server(options.metrics_address)
            self._servers.append(server)
            self._background.append(gevent.spawn(start_metrics_server, server))

    def request_stop(self) -> None:
        """Ask the reducer for a graceful stop."""
        # The file may have changed without a signal since the last check, and
        # its grace time bounds this stop.
        self._try('reload', self.reload)
        self._background.append(
            gevent.spawn(
                run_forever,
                self._exit_flush.watch_forever,
                task='watch of receivers',
                observer=self._observer,
            )
        )
        # A stop is asked for only once.
        run_until_done(self._begin_stop, task='stop', observer=self._observer)

    def clear_suspect(self, fingerprint: bytes) -> None:
        """Discount the evidence that a request crashes its upstreams."""
        self._loop.deliver(
            events.SuspectClearRequested(
                now=boot_clock(), fingerprint=fingerprint
            )
        )

    def reload(self) -> None:
        """Apply the rules, stop times and service of a changed settings file.

        Logs an invalid file and keeps the previous settings. A stop that has
        begun keeps its times.
        """
        try:
            integration = self._settings_watcher.reload_if_changed()
        except ExceptionGroup as group:
            problems = '; '.join(str(error) for error in group.exceptions)
            fields = {'problems': problems}
            write_log(effects.LogLevel.ERROR, RELOAD_FAILED, fields)
            return
        if integration is None:
            return
        if not self._is_stopping:
            self._drain_seconds = integration.drain_seconds
            self._exit_flush_seconds = integration.exit_flush_seconds
        self._peers.replace_link_rate(integration.rules.link_bytes_per_second)
        self._replace_service(integration)
        self._loop.deliver(
            events.SettingsReloaded(
                now=boot_clock(),
                rules=integration.rules,
                drain_seconds=integration.drain_seconds,
                service=integration.service,
            )
        )
        write_log(effects.LogLevel.INFO, RELOADED, {})

    def wait(self) -> int:
        """Wait until the reducer emits `Exit`; return the exit code."""
        code: int = self._exit_code.get()
        self.stop()
        return code

    def stop(self) -> None:
        """Close all servers and streams once the last bytes have arrived.

        An error in one step leaves out none of the others.
        """
        self._try('end of the streams', self._peers.end_all_streams)
        self._try('last bytes', self._flush_last_bytes)
        for server in self._servers:
            self._try('end of a server', partial(server.stop, timeout=0))
        unfinished = len(self._callers.unsent_connections)
        # The process may take a while to end, and reads nothing meanwhile.
        self._try('end of the callers', self._callers.close_connections)
        gevent.killall(self._background)
        self._try('end of the trace', self._loop.close)
        fields = {'unfinished_callers': str(unfinished)}
        self._try(
            'last log line',
            partial(write_log, effects.LogLevel.INFO, STOPPED, fields),
        )

    def _replace_service(self, integration: PlatformIntegration) -> None:
        """Name the service of changed settings to upstreams and to peers."""
        self._callers.dialect = integration.dialects.callers
        self._identity = self._identity.with_service(integration.service)
        self._peers.replace_identity(self._identity)

    def _try(self, task: str, run: Callable[[], object]) -> None:
        run_guarded(run, task=task, observer=self._observer)

    def _begin_stop(self) -> None:
        self._is_stopping = True
        if self._drained_by is None:
            self._drained_by = boot_clock() + self._drain_seconds
        self._callers.stop_keep_alive()
        failed_events = self._loop.failed_events
        self._loop.deliver(events.StopRequested(now=boot_clock()))
        if self._loop.failed_events > failed_events:
            raise RuntimeError('the reducer did not begin the stop')

    def _flush_last_bytes(self) -> None:
        # The limit counts from the end of the drain time, however late the
        # last call has ended, since the grace time ends soon after it.
        drained_by = self._drained_by
        if drained_by is None:
            drained_by = boot_clock()
        until = drained_by + self._exit_flush_seconds
        fields = {
            'callers': str(len(self._callers.unsent_connections)),
            'peer_bytes': str(self._peers.unsent_bytes),
            'most_seconds': f'{until - boot_clock():.1f}',
        }
        write_log(effects.LogLevel.INFO, DELIVERING, fields)
        self._exit_flush.wait(until)

    def _run_maintenance(self) -> None:
        while True:
            gevent.sleep(_MAINTENANCE_INTERVAL_SECONDS)
            self._callers.close_idle_connections()
            self._loop.flush_trace()
            self._writers.report_dropped_lines(self._observer)
            self._request_log_limiter.report_dropped_lines(self._observer)
            self.reload()

    def _build_effect_handlers(self) -> Handlers:
        return {
            effects.ReadStore: self._store.read,
            effects.WatchStore: self._store.watch,
            effects.CancelWatch: self._store.cancel_watch,
            effects.Connect: self._peers.connect,
            effects.Disconnect: self._peers.disconnect,
            effects.SendMessage: self._peers.send_message,
            effects.SendAttempt: self._peers.send_attempt,
            effects.SendAnswer: self._peers.send_answer,
            effects.GrantBody: self._peers.grant_body,
            effects.ReadBody: self._callers.read_body,
            effects.AnswerCall: self._callers.answer,
            effects.LimitCallers: self._callers.limit,
            effects.Dispatch: self._upstream.dispatch,
            effects.AbortDispatch: self._upstream.abort,
            effects.ProbeUpstream: self._upstream.probe,
            effects.DropBody: self._drop_body,
            effects.WakeAt: self._wake_at,
            effects.WriteAudit: self._write_audit,
            effects.WriteLog: self._write_log,
            effects.Count: self._count,
            effects.Exit: self._exit,
        }

    def _drop_body(self, effect: effects.DropBody) -> None:
        self._bodies.drop(effect.body_id)

    def _wake_at(self, effect: effects.WakeAt) -> None:
        self._loop.wake_at(effect.at)

    def _write_audit(self, effect: effects.WriteAudit) -> None:
        self._audit.write(effect.record)

    def _write_log(self, effect: effects.WriteLog) -> None:
        write = write_log
        if effect.code in REQUEST_LOG_CODES:
            write = self._request_log_limiter.write
        write(effect.level, effect.code, dict(effect.fields))

    def _count(self, effect: effects.Count) -> None:
        self._metrics.add(effect.name, effect.amount, effect.attributes)

    def _exit(self, effect: effects.Exit) -> None:
        self._exit_code.set(effect.code)
