"""JSON lines: logs and the audit trail."""

import datetime
import logging
import time
from typing import Final, final

import msgspec

from briartack.core.effects import LogLevel
from briartack.core.identity import Identity
from briartack.core.trail import AuditRecord
from briartack.error_texts import LINES_LEFT_OUT, error_text
from briartack.line_writer import LineSink
from briartack.ports import Clock, Observer

_LOGGER: Final = logging.getLogger('briartack')
# A call writes about four lines; 54 calls a second are the load expected of a
# daemon in two years.
REQUEST_LINES_PER_SECOND: Final = 250.0
REQUEST_LINES_BURST: Final = 500
_COUNTER: Final = 'lines_left_out'
# What log calls add to a record, in the order of the line.
_EXTRA: Final = ('code', 'fields')


def utc_now() -> str:
    """Return the wall-clock time in UTC with milliseconds."""
    return _utc(time.time())


def _utc(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = moment.isoformat(timespec='milliseconds')
    return text.replace('+00:00', 'Z')


@final
class _Formatter(logging.Formatter):
    """Make one line of JSON of each record."""

    def __init__(self, *, identity: Identity) -> None:
        """Put the instance and its incarnation on every line."""
        super().__init__()
        self._static = {
            'instance': identity.instance,
            'incarnation': identity.incarnation,
        }
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, its time first."""
        line: dict[str, object] = {
            'time': _utc(record.created),
            'level': record.levelname,
            'message': record.getMessage(),
            **self._static,
        }
        for name in _EXTRA:
            if hasattr(record, name):
                line[name] = getattr(record, name)
        if record.exc_info:
            line['exc_info'] = self.formatException(record.exc_info)
        return self._encoder.encode(line).decode()


@final
class _Handler(logging.Handler):
    """Give each line to a sink, which writes it soon."""

    def __init__(self, sink: LineSink) -> None:
        super().__init__()
        self._sink = sink

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record."""
        self._sink.write(f'{self.format(record)}\n')


def set_up_logs(*, level: str, identity: Identity, stream: LineSink) -> None:
    """Send all log lines of the process to a stream as JSON."""
    handler = _Handler(stream)
    handler.setFormatter(_Formatter(identity=identity))
    # No line names the thread or the process.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.basicConfig(
        level=level.upper(),
        handlers=[handler],
        force=True,
    )


def write_log(level: LogLevel, code: str, fields: dict[str, str]) -> None:
    """Write a log line with the text of its code."""
    if not _LOGGER.isEnabledFor(level):
        return
    text = error_text(code).text or code
    # `Logger.log` would look up the caller's frame for each line.
    record = logging.LogRecord(_LOGGER.name, level, '', 0, text, (), None)
    record.code = code
    record.fields = fields
    _LOGGER.handle(record)


def write_exception(code: str, fields: dict[str, str]) -> None:
    """Write a log line with the traceback of the exception in flight."""
    _LOGGER.exception(
        error_text(code).text,
        extra={'code': code, 'fields': fields},
    )


@final
class RequestLines:
    """Bound the lines about single requests, and count what is left out."""

    __slots__ = ('_clock', '_tokens', '_filled_at', '_left_out')

    def __init__(self, clock: Clock) -> None:
        """Start with a full burst."""
        self._clock = clock
        self._tokens = float(REQUEST_LINES_BURST)
        self._filled_at = clock()
        self._left_out = 0

    def write(self, level: LogLevel, code: str, fields: dict[str, str]) -> None:
        """Write a line, or count it."""
        now = self._clock()
        gained = (now - self._filled_at) * REQUEST_LINES_PER_SECOND
        self._tokens = min(REQUEST_LINES_BURST, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            self._left_out += 1
            return
        self._tokens -= 1
        write_log(level, code, fields)

    def report(self, observer: Observer) -> None:
        """Say how many lines were left out since the last report."""
        left_out = self._left_out
        self._left_out = 0
        if left_out:
            observer.add(_COUNTER, left_out, ())
            observer.log(LogLevel.INFO, LINES_LEFT_OUT, lines=str(left_out))


@final
class AuditTrail:
    """Write each audit record as one flushed line."""

    __slots__ = ('_stream', '_encoder')

    def __init__(self, stream: LineSink) -> None:
        """Write to a sink of lines."""
        self._stream = stream
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def write(self, record: AuditRecord) -> None:
        """Write a record with the wall-clock time."""
        line: dict[str, object] = {
            'time': utc_now(),
            'instance': record.instance,
            'incarnation': record.incarnation,
            'sequence': record.sequence,
            'kind': record.kind,
        }
        line.update(
            (name, _plain(content)) for name, content in record.fields.items()
        )
        self._stream.write(f'{self._encoder.encode(line).decode()}\n')
        self._stream.flush()


def _plain(content: object) -> object:
    # Operators compare digests by eye, so bytes are written as hex.
    return content.hex() if isinstance(content, bytes) else content
