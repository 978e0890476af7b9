"""Write logs and the audit trail as JSON lines."""

import datetime
import json
import logging
import time
from typing import Final, final

import msgspec

from briartack.core.audit_trail import AuditRecord
from briartack.core.effects import LogLevel
from briartack.core.identity import Identity
from briartack.core.token_bucket import TokenBucket
from briartack.error_texts import LINES_LEFT_OUT, get_error_text
from briartack.line_writer import LineSink
from briartack.shell_interfaces import Clock, Observer

_LOGGER: Final = logging.getLogger('briartack')
# A call writes about four lines, and the load expected in two years is 54 calls
# per second on each daemon.
REQUEST_LINES_PER_SECOND: Final = 250.0
REQUEST_LINES_BURST: Final = 500
# One cause may raise an exception for each request.
EXCEPTION_LINES_PER_SECOND: Final = 1.0
EXCEPTION_LINES_BURST: Final = 20
# Failures above the limit that are named without a traceback.
MAX_NAMED_FAILURES: Final = 50
_LEFT_OUT_COUNTER: Final = 'lines_left_out'
# Attributes that log calls add to a record, in the order of the JSON line.
_EXTRA_ATTRIBUTES: Final = ('code', 'fields')


def format_utc_now() -> str:
    """Return the wall-clock time as ISO 8601 text in UTC with milliseconds."""
    return _format_utc(time.time())


def _format_utc(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    text = moment.isoformat(timespec='milliseconds')
    return text.replace('+00:00', 'Z')


@final
class _Formatter(logging.Formatter):
    """Format each record as one JSON line."""

    def __init__(self, *, identity: Identity) -> None:
        """Add the instance and its incarnation to every line."""
        super().__init__()
        self._identity_fields = {
            'instance': identity.instance,
            'incarnation': identity.incarnation,
        }
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def format(self, record: logging.LogRecord) -> str:
        """Return the JSON line of a record, which starts with the time."""
        line: dict[str, object] = {
            'time': _format_utc(record.created),
            'level': record.levelname,
            'message': record.getMessage(),
            **self._identity_fields,
        }
        for name in _EXTRA_ATTRIBUTES:
            if hasattr(record, name):
                line[name] = getattr(record, name)
        if record.exc_info:
            line['exc_info'] = self.formatException(record.exc_info)
        try:
            return self._encoder.encode(line).decode()
        except UnicodeEncodeError:
            # Escapes what is no UTF-8, such as bytes of a path.
            return json.dumps(line, default=str)


@final
class _Handler(logging.Handler):
    """Pass each log line to a line sink; limit the rate of tracebacks."""

    def __init__(self, sink: LineSink) -> None:
        super().__init__()
        self._sink = sink
        self._clock = time.monotonic
        self._bucket = TokenBucket(
            rate_per_second=EXCEPTION_LINES_PER_SECOND,
            burst=EXCEPTION_LINES_BURST,
        )
        self._left_out_lines = 0
        self._named: set[str] = set()

    def emit(self, record: logging.LogRecord) -> None:
        """Pass the line of a record to the sink.

        Above the limit of tracebacks, a line without one names each failure
        that differs from those named since the last traceback. The next
        traceback names the number of lines that were left out.
        """
        if record.exc_info and not self._may_write(record):
            self._left_out_lines += 1
            return
        try:
            self._sink.write(f'{self.format(record)}\n')
        except Exception:
            # An operation must not fail since its log line can't be written.
            self._left_out_lines += 1

    def _may_write(self, record: logging.LogRecord) -> bool:
        """Return whether to write a failure; drop tracebacks over the limit."""
        code = getattr(record, 'code', '')
        fields = getattr(record, 'fields', {})
        failure = f'{code} {fields}'
        if self._bucket.take(self._clock()):
            self._named = {failure}
            self._add_left_out(record, fields)
            return True
        if failure in self._named or len(self._named) >= MAX_NAMED_FAILURES:
            return False
        self._named.add(failure)
        record.exc_info = None
        return True

    def _add_left_out(
        self, record: logging.LogRecord, fields: dict[str, str]
    ) -> None:
        if self._left_out_lines:
            left_out = str(self._left_out_lines)
            record.fields = {**fields, 'left_out': left_out}
            self._left_out_lines = 0


def configure_logging(
    *, level: str, identity: Identity, stream: LineSink
) -> None:
    """Send all log records of the process to a stream as JSON lines."""
    handler = _Handler(stream)
    handler.setFormatter(_Formatter(identity=identity))
    # Lines do not name the thread or the process, so skip their look-up.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    logging.basicConfig(
        level=level.upper(),
        handlers=[handler],
        force=True,
    )


def write_log(level: LogLevel, code: str, fields: dict[str, str]) -> None:
    """Write a log line whose message is the text of the code."""
    if not _LOGGER.isEnabledFor(level):
        return
    text = get_error_text(code).text or code
    # `Logger.log` would look up the frame of the caller for each line.
    record = logging.LogRecord(_LOGGER.name, level, '', 0, text, (), None)
    record.code = code
    record.fields = fields
    _LOGGER.handle(record)


def write_exception(
    code: str, fields: dict[str, str], error: BaseException | None = None
) -> None:
    """Write a log line with a traceback, by default of the one in handling."""
    _LOGGER.error(
        get_error_text(code).text,
        exc_info=error or True,
        extra={'code': code, 'fields': fields},
    )


@final
class RequestLogLimiter:
    """Limit the rate of log lines about single requests by a token bucket.

    Lines over the limit are left out and counted.
    """

    __slots__ = ('_clock', '_bucket', '_left_out_lines')

    def __init__(self, clock: Clock) -> None:
        """Start with a full bucket."""
        self._clock = clock
        self._bucket = TokenBucket(
            rate_per_second=REQUEST_LINES_PER_SECOND,
            burst=REQUEST_LINES_BURST,
        )
        self._left_out_lines = 0

    def write(self, level: LogLevel, code: str, fields: dict[str, str]) -> None:
        """Write a line, or count the line as left out if over the limit."""
        if self._bucket.take(self._clock()):
            write_log(level, code, fields)
        else:
            self._left_out_lines += 1

    def report_dropped_lines(self, observer: Observer) -> None:
        """Count and log the lines left out since the last report."""
        left_out = self._left_out_lines
        self._left_out_lines = 0
        if left_out:
            observer.add(_LEFT_OUT_COUNTER, left_out, ())
            observer.log(LogLevel.INFO, LINES_LEFT_OUT, lines=str(left_out))


@final
class AuditTrail:
    """Write each audit record as one flushed line."""

    __slots__ = ('_stream', '_encoder')

    def __init__(self, stream: LineSink) -> None:
        self._stream = stream
        self._encoder = msgspec.json.Encoder(enc_hook=str)

    def write(self, record: AuditRecord) -> None:
        """Write a record with the current wall-clock time."""
        line: dict[str, object] = {
            'time': format_utc_now(),
            'instance': record.instance,
            'incarnation': record.incarnation,
            'sequence': record.sequence,
            'kind': record.kind,
        }
        line.update(
            (name, _encode_bytes_as_hex(content))
            for name, content in record.fields.items()
        )
        self._stream.write(f'{self._encoder.encode(line).decode()}\n')
        self._stream.flush()


def _encode_bytes_as_hex(content: object) -> object:
    # Operators compare digests visually, so bytes are written as hex digits.
    return content.hex() if isinstance(content, bytes) else content
