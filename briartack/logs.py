"""JSON lines: logs on stderr and the audit trail on stdout."""

import datetime
import logging
from typing import Final, final

import msgspec
from pythonjsonlogger.json import JsonFormatter

from briartack.core.effects import LogLevel
from briartack.core.identity import Identity
from briartack.core.trail import AuditRecord
from briartack.error_texts import error_text
from briartack.line_writer import LineSink

_LOGGER: Final = logging.getLogger('briartack')


def utc_now() -> str:
    """Return the wall-clock time in UTC with milliseconds."""
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec='milliseconds').replace('+00:00', 'Z')


@final
class _Formatter(JsonFormatter):
    """Put the time in UTC first on every line."""

    def formatTime(  # noqa: N802 (the name is that of the logging module)
        self,
        record: logging.LogRecord,
        datefmt: str | None = None,
    ) -> str:
        """Return the time of a record."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        text = moment.isoformat(timespec='milliseconds')
        return text.replace('+00:00', 'Z')


def set_up_logs(*, level: str, identity: Identity, stream: LineSink) -> None:
    """Send all log lines of the process to a stream as JSON."""
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        _Formatter(
            '%(asctime)s %(levelname)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={
                'instance': identity.instance,
                'incarnation': identity.incarnation,
            },
        ),
    )
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
    _LOGGER.log(level, text, extra={'code': code, 'fields': fields})


def write_exception(code: str, fields: dict[str, str]) -> None:
    """Write a log line with the traceback of the exception in flight."""
    _LOGGER.exception(
        error_text(code).text,
        extra={'code': code, 'fields': fields},
    )


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
