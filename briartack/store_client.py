"""Reads and the waiting watch of the platform's store, over HTTP."""

from typing import Annotated, Final, final
from urllib.parse import quote

import gevent
import msgspec
from gevent.greenlet import Greenlet
from msgspec import Meta

from briartack.addresses import Address, format_address
from briartack.core.effects import CancelWatch, ReadStore, WatchStore
from briartack.core.entries import Entry
from briartack.core.events import (
    StoreFailed,
    StoreOperation,
    StoreRead,
    StoreWatched,
)
from briartack.core.units import Revision
from briartack.http_exchange import (
    Connections,
    ExchangeError,
    HttpAnswer,
    exchange,
)
from briartack.ports import Clock, Deliver, Observer

# The whole tree of 210 services stays far below this; a larger answer would
# threaten the 256 MB that a daemon may use.
MAX_ANSWER_BYTES: Final = 64_000_000
_READ_TIMEOUT_SECONDS: Final = 10.0
_WATCH_GRACE_SECONDS: Final = 5.0
_STATUS_OK: Final = 200
_STATUS_TOO_MANY: Final = 429
_MAX_RETRY_AFTER_SECONDS: Final = 3600.0
_POOL_SIZE: Final = 4

_StoreRevision = Annotated[int, Meta(ge=0)]


class _StoreEntry(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    revision: _StoreRevision
    value: str | None


class _StoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    revision: _StoreRevision
    entries: tuple[_StoreEntry, ...]


class _StoreError(Exception):
    """Report a call without a usable answer."""

    def __init__(
        self,
        reason: str,
        *,
        retry_after_seconds: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds


@final
class StoreClient:
    """Call the store without blocking the reducer."""

    __slots__ = (
        '_pool',
        '_host_header',
        '_deliver',
        '_clock',
        '_observer',
        '_watch',
    )

    def __init__(
        self,
        *,
        address: Address,
        deliver: Deliver,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Prepare a pool of connections; nothing is dialled yet."""
        self._pool = Connections(address, size=_POOL_SIZE)
        self._host_header = format_address(address)
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._watch: Greenlet | None = None

    def read(self, effect: ReadStore) -> None:
        """Start to read a prefix."""
        gevent.spawn(self._read, effect.prefix)

    def watch(self, effect: WatchStore) -> None:
        """Start the watch in place of any that waits."""
        self._end_watch()
        self._watch = gevent.spawn(self._run_watch, effect)

    def cancel_watch(self, effect: CancelWatch) -> None:
        """Close the connection of the watch; no event follows."""
        self._end_watch()

    def _end_watch(self) -> None:
        watch = self._watch
        self._watch = None
        if watch is not None:
            watch.kill(block=False)

    def _read(self, prefix: str) -> None:
        operation = StoreOperation.READ
        target = f'/v1/entries?prefix={quote(prefix, safe="")}'
        try:
            answer = self._call(operation, target, _READ_TIMEOUT_SECONDS)
        except _StoreError as error:
            self._deliver(self._failed(operation, prefix, error))
            return
        self._deliver(
            StoreRead(
                now=self._clock(),
                prefix=prefix,
                revision=Revision(answer.revision),
                entries=_entries(answer),
            ),
        )

    def _run_watch(self, effect: WatchStore) -> None:
        operation = StoreOperation.WATCH
        wait = effect.wait_seconds
        target = f'/v1/watch?after={effect.after}&wait={wait:g}'
        try:
            answer = self._call(operation, target, wait + _WATCH_GRACE_SECONDS)
        except _StoreError as error:
            self._watch = None
            self._deliver(self._failed(operation, '', error))
            return
        # The reducer may start the next watch while it handles the event.
        self._watch = None
        self._deliver(
            StoreWatched(
                now=self._clock(),
                revision=Revision(answer.revision),
                entries=_entries(answer),
            ),
        )

    def _call(
        self,
        operation: StoreOperation,
        target: str,
        timeout_seconds: float,
    ) -> _StoreAnswer:
        self._observer.count('store.calls', operation=operation.value)
        request = f'GET {target} HTTP/1.1\r\nHost: {self._host_header}\r\n\r\n'
        try:
            answer = exchange(
                self._pool,
                method='GET',
                request=request.encode(),
                max_body_bytes=MAX_ANSWER_BYTES,
                timeout_seconds=timeout_seconds,
            )
        except ExchangeError as error:
            raise _StoreError(str(error)) from None
        return _decode(answer)

    def _failed(
        self,
        operation: StoreOperation,
        prefix: str,
        error: _StoreError,
    ) -> StoreFailed:
        self._observer.count('store.failures', operation=operation.value)
        return StoreFailed(
            now=self._clock(),
            operation=operation,
            prefix=prefix,
            reason=str(error),
            retry_after_seconds=error.retry_after_seconds,
        )


def _decode(answer: HttpAnswer) -> _StoreAnswer:
    status = answer.get_code()
    if status == _STATUS_TOO_MANY:
        raise _StoreError(
            'too many calls',
            retry_after_seconds=_retry_after(answer),
        )
    if status != _STATUS_OK:
        raise _StoreError(f'status {status}')
    try:
        decoded = msgspec.json.decode(answer.body, type=_StoreAnswer)
    except msgspec.MsgspecError as error:
        raise _StoreError(f'malformed answer: {error}') from None
    for entry in decoded.entries:
        if entry.revision > decoded.revision:
            raise _StoreError(
                f'malformed answer: {entry.key} has revision '
                f'{entry.revision} above {decoded.revision}',
            )
    return decoded


def _retry_after(answer: HttpAnswer) -> float | None:
    text = answer.get('retry-after')
    try:
        seconds = float(str(text))
    except ValueError:
        # A date as Retry-After is not used by the store.
        return None
    return seconds if 0 <= seconds <= _MAX_RETRY_AFTER_SECONDS else None


def _entries(answer: _StoreAnswer) -> tuple[Entry, ...]:
    return tuple(
        Entry(
            key=entry.key,
            revision=Revision(entry.revision),
            value=entry.value,
        )
        for entry in answer.entries
    )
