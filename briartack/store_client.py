"""Read and watch the configuration store over HTTP.

Executes the store effects of the core; each result returns as an event.
"""

from collections.abc import Callable
from typing import Final, final

import gevent
import msgspec
from gevent.greenlet import Greenlet

from briartack.addresses import Address, format_address
from briartack.core.effects import (
    CancelWatch,
    LogLevel,
    ReadStore,
    WatchStore,
)
from briartack.core.entries import Entry
from briartack.core.events import (
    StoreFailed,
    StoreOperation,
    StoreRead,
    StoreWatched,
)
from briartack.dialects import (
    RefusedItem,
    StoreAnswerError,
    StoreDialect,
    StorePage,
)
from briartack.error_texts import ITEM_REFUSED
from briartack.framing import check_entry
from briartack.greenlets import UNEXPECTED, report_failed_task
from briartack.http_exchange import (
    ExchangeError,
    KeepAlivePool,
    exchange,
)
from briartack.http_response import CollectedResponse
from briartack.shell_interfaces import Clock, DeliverEvent, Observer

# The whole tree of 210 services is far smaller. A larger response could exceed
# the 256 MB of memory that a daemon may use.
MAX_RESPONSE_BYTES: Final = 64_000_000
_READ_TIMEOUT_SECONDS: Final = 3.0
_WATCH_GRACE_SECONDS: Final = 5.0
_STATUS_OK: Final = 200
_STATUS_GONE: Final = 410
_STATUS_TOO_MANY: Final = 429
_MAX_RETRY_AFTER_SECONDS: Final = 3600.0
_POOL_SIZE: Final = 4


class _StoreError(Exception):
    """Report a request to the store without a usable response."""

    def __init__(
        self,
        reason: str,
        *,
        retry_after_seconds: float | None = None,
        is_history_gone: bool = False,
    ) -> None:
        super().__init__(reason)
        self.retry_after_seconds = retry_after_seconds
        self.is_history_gone = is_history_gone


@final
class StoreClient:
    """Send each request to the store from its own greenlet.

    The reducer never waits for the store. At most one watch is open.
    """

    __slots__ = (
        '_pool',
        '_host_header',
        '_dialect',
        '_deliver',
        '_clock',
        '_observer',
        '_watch',
    )

    def __init__(
        self,
        *,
        address: Address,
        dialect: StoreDialect,
        deliver: DeliverEvent,
        clock: Clock,
        observer: Observer,
    ) -> None:
        """Create a connection pool without connecting."""
        self._pool = KeepAlivePool(address, size=_POOL_SIZE)
        self._host_header = format_address(address)
        self._dialect = dialect
        self._deliver = deliver
        self._clock = clock
        self._observer = observer
        self._watch: Greenlet | None = None

    def read(self, effect: ReadStore) -> None:
        """Start a read of a prefix; `StoreRead` or `StoreFailed` follows."""
        gevent.spawn(self._run_read, effect)

    def watch(self, effect: WatchStore) -> None:
        """Start a watch, after closing the open watch if there is one."""
        self._stop_watch()
        self._watch = gevent.spawn(self._run_watch, effect)

    def cancel_watch(self, effect: CancelWatch) -> None:
        """Close the connection of the watch; no event follows.

        Idle connections are closed too: the reducer cancels a watch that is
        not answered, and all connections to the store may have gone silent.
        """
        self._stop_watch()
        self._pool.close_idle()

    def _stop_watch(self) -> None:
        watch = self._watch
        self._watch = None
        if watch is not None:
            watch.kill(block=False)

    def _run_read(self, effect: ReadStore) -> None:
        prefix = effect.prefix
        started_at = self._clock()
        try:
            page = self._read_pages(effect)
        except UNEXPECTED as error:
            self._deliver(
                self._record_failure(StoreOperation.READ, prefix, error)
            )
            return
        self._deliver(
            StoreRead(
                now=self._clock(),
                prefix=prefix,
                revision=page.revision,
                entries=page.entries,
                unusable_keys=page.unusable_keys,
                elapsed_seconds=self._clock() - started_at,
                era=page.era,
            ),
        )

    def _read_pages(self, effect: ReadStore) -> StorePage:
        """Read all pages and return their entries as one page.

        The result has the revision of the first page; the watch reports
        changes made during the read. Raises _StoreError if the pages come from
        two eras of the store.
        """
        dialect = self._dialect
        entries: list[Entry] = []
        unusable_keys: list[str] = []
        first: StorePage | None = None
        after = ''
        while first is None or after:
            response = self._send_request(
                StoreOperation.READ,
                dialect.encode_read_target(effect, after),
                _READ_TIMEOUT_SECONDS,
            )
            page = self._decode_page(dialect.decode_read_page, response)
            first = first or page
            if page.era != first.era:
                raise _StoreError('the store was restored during the read')
            entries.extend(page.entries)
            unusable_keys.extend(page.unusable_keys)
            after = page.next_after
        return StorePage(
            revision=first.revision,
            entries=tuple(entries),
            unusable_keys=tuple(unusable_keys),
            era=first.era,
        )

    def _run_watch(self, effect: WatchStore) -> None:
        wait = effect.wait_seconds
        target = self._dialect.encode_watch_target(effect.after, wait)
        timeout_seconds = wait + _WATCH_GRACE_SECONDS
        try:
            page = self._decode_page(
                self._dialect.decode_watch_page,
                self._send_request(
                    StoreOperation.WATCH, target, timeout_seconds
                ),
            )
        except UNEXPECTED as error:
            self._watch = None
            self._deliver(self._record_failure(StoreOperation.WATCH, '', error))
            return
        outcome = 'changes' if page.entries else 'empty'
        self._observer.count('store.watches', outcome=outcome)
        # The reducer may start the next watch while it handles this event.
        self._watch = None
        self._deliver(
            StoreWatched(
                now=self._clock(),
                revision=page.revision,
                entries=page.entries,
                era=page.era,
            ),
        )

    def _decode_page(
        self,
        decode: Callable[[bytes], StorePage],
        response: CollectedResponse,
    ) -> StorePage:
        try:
            page = msgspec.structs.replace(
                decode(response.body), era=self._dialect.decode_era(response)
            )
        except StoreAnswerError as error:
            raise _StoreError(f'malformed answer: {error}') from None
        sendable, unsendable = _split_entries(page.entries)
        for refused in (*page.refused, *unsendable):
            self._observer.count('store.items_refused')
            self._observer.log(
                LogLevel.WARNING,
                ITEM_REFUSED,
                key=refused.key,
                revision=str(refused.revision),
                problem=refused.reason,
            )
        return msgspec.structs.replace(
            page,
            entries=sendable,
            unusable_keys=(
                *page.unusable_keys,
                *(unsent.key for unsent in unsendable),
            ),
        )

    def _send_request(
        self,
        operation: StoreOperation,
        target: str,
        timeout_seconds: float,
    ) -> CollectedResponse:
        self._observer.count('store.calls', operation=operation.value)
        request = f'GET {target} HTTP/1.1\r\nHost: {self._host_header}\r\n\r\n'
        try:
            response = exchange(
                self._pool,
                method='GET',
                request=request.encode(),
                max_body_bytes=MAX_RESPONSE_BYTES,
                timeout_seconds=timeout_seconds,
            )
        except ExchangeError as error:
            if error.is_timeout:
                self._pool.close_idle()
            raise _StoreError(str(error)) from None
        _raise_for_status(response)
        return response

    def _record_failure(
        self,
        operation: StoreOperation,
        prefix: str,
        error: BaseException,
    ) -> StoreFailed:
        self._observer.count('store.failures', operation=operation.value)
        if not isinstance(error, _StoreError):
            # Without an event, the reducer would wait for this call forever.
            report_failed_task(self._observer, f'store {operation.value}')
            error = _StoreError(f'unexpected error: {error!r}')
        return StoreFailed(
            now=self._clock(),
            operation=operation,
            prefix=prefix,
            reason=str(error),
            retry_after_seconds=error.retry_after_seconds,
            is_history_gone=error.is_history_gone,
        )


def _split_entries(
    entries: tuple[Entry, ...],
) -> tuple[tuple[Entry, ...], tuple[RefusedItem, ...]]:
    """Separate the entries that peers would refuse."""
    sendable: list[Entry] = []
    refused: list[RefusedItem] = []
    for entry in entries:
        reason = check_entry(entry)
        if reason:
            refused.append(
                RefusedItem(
                    key=entry.key, revision=entry.revision, reason=reason
                )
            )
        else:
            sendable.append(entry)
    return tuple(sendable), tuple(refused)


def _raise_for_status(response: CollectedResponse) -> None:
    """Raise _StoreError unless the store answered the call."""
    status = response.get_code()
    if status == _STATUS_TOO_MANY:
        raise _StoreError(
            'too many calls',
            retry_after_seconds=_parse_retry_after(response),
        )
    if status != _STATUS_OK:
        raise _StoreError(
            f'status {status}',
            is_history_gone=status == _STATUS_GONE,
        )


def _parse_retry_after(response: CollectedResponse) -> float | None:
    text = response.get('retry-after')
    try:
        seconds = float(str(text))
    except ValueError:
        # The store does not send Retry-After as a date.
        return None
    return seconds if 0 <= seconds <= _MAX_RETRY_AFTER_SECONDS else None
