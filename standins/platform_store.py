"""Simulate the platform's metadata store: keys, paged reads and watches.

Tests and the demo call `put` and `delete` in place of operators and servers.
"""

import base64
import time
from collections import Counter, deque
from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import Any, Final, final

import msgspec
from gevent.event import Event

from standins.http_server import (
    BrokenResponse,
    HttpServer,
    Request,
    Response,
    json_response,
)

PAGE_ITEMS: Final = 500
MAX_WAIT_MS: Final = 30_000
MS_PER_SECOND: Final = 1000.0
HISTORY_ITEMS: Final = 1000


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """Hold what the store held at a revision."""

    revision: int
    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]


@final
class PlatformStore:
    """Answer reads and watches, with simulated outages on request."""

    __slots__ = (
        'outage',
        'counts',
        '_era',
        '_items',
        '_history',
        '_oldest_revision',
        '_revision',
        '_changed',
        '_server',
    )

    def __init__(self, *, address: str) -> None:
        self.outage = ''  # busy (503), many (429) or reset; empty for none
        self.counts: Counter[str] = Counter()
        self._era = 1
        self._items: dict[str, dict[str, Any]] = {}
        self._history: deque[dict[str, Any]] = deque(maxlen=HISTORY_ITEMS)
        self._oldest_revision = 0
        self._revision = 1
        self._changed = Event()
        self._server = HttpServer(address=address, application=self.answer)

    @property
    def server(self) -> HttpServer:
        """Return the HTTP server of the store's protocol."""
        return self._server

    def put(self, key: str, value: object) -> int:
        """Set a key to raw bytes or to a JSON value; return the revision."""
        payload = value if isinstance(value, bytes) else _encode_json(value)
        self._revision += 1
        before = self._items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(payload).decode(),
            'rev': self._revision,
            'created': before['created'] if before else self._revision,
            'lease': 0,
        }
        self._items[key] = item
        self._append_event(item)
        return self._revision

    def delete(self, key: str) -> int:
        """Delete a key; return the revision."""
        self._items.pop(key, None)
        self._revision += 1
        self._append_event(
            {'key': key, 'rev': self._revision, 'tombstone': True}
        )
        return self._revision

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can be restored."""
        return StoreCopy(
            revision=self._revision,
            items=dict(self._items),
            history=tuple(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Lose what was written after a copy; a new era begins."""
        self._era += 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._history = deque(copy.history, maxlen=HISTORY_ITEMS)
        self._wake_watches()

    def drop_history(self) -> None:
        """Drop the history, so that watches after an older revision get 410."""
        self._oldest_revision = self._revision
        self._history.clear()
        self._wake_watches()

    def answer(self, request: Request) -> Response | BrokenResponse:
        """Answer one request of the store's protocol."""
        answer = self._answer_call(request)
        if isinstance(answer, BrokenResponse):
            return answer
        era = ('Store-Era', str(self._era))
        return replace(answer, headers=(*answer.headers, era))

    def _answer_call(self, request: Request) -> Response | BrokenResponse:
        self.counts[request.path] += 1
        failure = self._simulate_outage()
        if failure is not None:
            return failure
        if request.path == '/api/kv-range':
            return self._read_page(request.query)
        if request.path == '/api/kv-watch':
            return self._watch(request.query)
        return json_response({'error': 'path'}, status=HTTPStatus.NOT_FOUND)

    def _simulate_outage(self) -> Response | BrokenResponse | None:
        if self.outage == 'reset':
            return BrokenResponse(is_reset=True)
        if self.outage == 'many':
            return Response(status=HTTPStatus.TOO_MANY_REQUESTS)
        if self.outage:
            return Response(status=HTTPStatus.SERVICE_UNAVAILABLE)
        return None

    def _read_page(self, query: dict[str, str]) -> Response:
        prefix = query.get('prefix', '')
        after = query.get('after', '')
        found = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        return json_response(
            {
                'items': found[:PAGE_ITEMS],
                'has_more': len(found) > PAGE_ITEMS,
                'as_of': self._revision,
            },
        )

    def _watch(self, query: dict[str, str]) -> Response | BrokenResponse:
        after = int(query['after'])
        wait_ms = min(int(query.get('wait_ms', '0')), MAX_WAIT_MS)
        until = time.monotonic() + wait_ms / MS_PER_SECOND
        while True:
            failure = self._simulate_outage()
            if failure is not None:
                return failure
            if not self._oldest_revision <= after <= self._revision:
                return json_response({}, status=HTTPStatus.GONE)
            events = [one for one in self._history if one['rev'] > after]
            left_seconds = until - time.monotonic()
            if events or left_seconds <= 0:
                answer = {'events': events, 'as_of': self._revision}
                return json_response(answer)
            self._changed.wait(left_seconds)

    def _append_event(self, item: dict[str, Any]) -> None:
        self._history.append(item)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed = self._changed
        self._changed = Event()
        changed.set()


def _encode_json(value: object) -> bytes:
    return msgspec.json.encode(value)
