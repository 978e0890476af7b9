"""Simulate the platform's configuration store.

The stand-in serves the read-only protocol of docs/design.md, section 5. Under
`/control/` it also serves a control interface that only tests use.
"""

import signal
import sys
import time
from collections import Counter
from http import HTTPStatus
from pathlib import Path
from typing import Final, final

import defopt
import gevent
import msgspec
from gevent.event import Event

from standins.http_server import (
    BrokenResponse,
    HttpServer,
    Request,
    Response,
    json_response,
)
from standins.store_control import StoreControl
from standins.store_faults import StoreFaults
from standins.store_files import StoreFiles
from standins.store_state import CallWindow, StoreState

DEFAULT_LIMIT_PER_SECOND: Final = 2000
MAX_WAIT_SECONDS: Final = 60.0
RETRY_AFTER_SECONDS: Final = 1


class _LostRevisionError(Exception):
    """Report a watch after a revision that a restored store lacks."""


@final
class Store:
    """Answer reads and watches up to a rate limit, with faults on request."""

    __slots__ = (
        'faults',
        '_state',
        '_limit',
        '_accepted_calls',
        '_arrived_calls',
        '_counts',
        '_changed',
        '_waiting_watches',
        '_encoded_changes',
        '_server',
        '_control',
    )

    def __init__(
        self, *, address: str, limit: int = DEFAULT_LIMIT_PER_SECOND
    ) -> None:
        self._state = StoreState()
        self.faults = StoreFaults()
        self._limit = limit
        self._accepted_calls = CallWindow()
        self._arrived_calls = CallWindow()
        self._counts: Counter[str] = Counter()
        self._changed = Event()
        self._waiting_watches = 0
        self._encoded_changes: tuple[object, bytes] = (None, b'')
        self._server = HttpServer(address=address, application=self.answer)
        self._control = StoreControl(store=self)

    @property
    def server(self) -> HttpServer:
        """Return the HTTP server of the store's protocol."""
        return self._server

    @property
    def control(self) -> StoreControl:
        """Return the control interface."""
        return self._control

    def put(self, key: str, value: str | None) -> int:
        """Set or delete a key and wake all watches; return the revision."""
        before = self._state.revision
        revision = self._state.put(key, value)
        if revision != before:
            self.wake_watches()
        return revision

    def wake_watches(self) -> None:
        """Make every waiting watch check for changes."""
        changed = self._changed
        self._changed = Event()
        changed.set()

    def restore(self, revision: int, rewrite_seconds: float) -> None:
        """Lose what came after a revision; its last values are put again."""
        lost = self._state.restore(revision)
        self.wake_watches()
        for key, value in lost.items():
            gevent.spawn_later(rewrite_seconds, self.put, key, value)

    def stats(self) -> dict[str, int]:
        """Return the revision, and counts and peaks since the last reset."""
        return {
            'calls_refused': 0,
            'bytes_out': 0,
            **self._counts,
            'revision': self._state.revision,
            'waiting': self._waiting_watches,
            'peak_calls_per_second': self._arrived_calls.peak,
            'peak_accepted_per_second': self._accepted_calls.peak,
        }

    def reset_stats(self) -> None:
        """Reset all counts and peaks."""
        self._counts.clear()
        self._accepted_calls = CallWindow()
        self._arrived_calls = CallWindow()

    def put_instance(self, key: str, value: str | None) -> None:
        """Set or delete an instance record after the configured lag."""
        lag_seconds = self.faults.instance_lag_seconds
        if lag_seconds:
            gevent.spawn_later(lag_seconds, self.put, key, value)
        else:
            self.put(key, value)

    def answer(self, request: Request) -> Response | BrokenResponse:
        """Answer a request of the protocol or of the control interface."""
        if request.path.startswith('/control/'):
            return self._control.answer(request)
        now = time.monotonic()
        kind = request.path.removeprefix('/v1/')
        self._counts[f'calls_{kind}'] += 1
        self._arrived_calls.add(now)
        if self.faults.outage:
            return self._answer_outage()
        if self._accepted_calls.count(now) >= self._limit:
            return self._answer_over_limit()
        self._accepted_calls.add(now)
        return self._answer_call(kind, request.query)

    def _answer_outage(self) -> Response:
        self._counts['calls_in_outage'] += 1
        return json_response(
            {'error': 'outage'},
            status=HTTPStatus.SERVICE_UNAVAILABLE,
        )

    def _answer_over_limit(self) -> Response:
        self._counts['calls_refused'] += 1
        return Response(
            status=HTTPStatus.TOO_MANY_REQUESTS,
            headers=(('Retry-After', str(RETRY_AFTER_SECONDS)),),
        )

    def _answer_call(self, kind: str, query: dict[str, str]) -> Response:
        try:
            if kind == 'entries':
                return self._create_response(kind, self._read(query))
            if kind == 'watch':
                return self._create_response(kind, self._watch(query))
        except _LostRevisionError:
            return Response(status=HTTPStatus.GONE, headers=self._era_headers)
        except ValueError as error:
            return json_response(
                {'error': str(error)},
                status=HTTPStatus.BAD_REQUEST,
            )
        return json_response(
            {'error': 'no such path'},
            status=HTTPStatus.NOT_FOUND,
        )

    def _visible_revision(self) -> int:
        stale = self.faults.stale_revision
        return self._state.revision if stale is None else stale

    def _read(self, query: dict[str, str]) -> bytes:
        as_of = self._visible_revision()
        prefix = query.get('prefix', '')
        if self.faults.late_seconds:
            gevent.sleep(self.faults.late_seconds)
        entries = self._state.read(prefix, as_of=as_of)
        return msgspec.json.encode({'revision': as_of, 'entries': entries})

    def _watch(self, query: dict[str, str]) -> bytes:
        after = int(query['after']) if 'after' in query else 0
        if after > self._state.revision:
            raise _LostRevisionError
        wait_seconds = min(float(query.get('wait', 0)), MAX_WAIT_SECONDS)
        self._waiting_watches += 1
        try:
            self._wait_for_change(after, time.monotonic() + wait_seconds)
        finally:
            self._waiting_watches -= 1
        as_of = self._visible_revision()
        encoded = self._encode_changes(after, as_of)
        if after < as_of:
            self.faults.delay_answer(as_of)
            gevent.spawn_later(0.05, self.faults.release_older_answers, as_of)
        return encoded

    def _wait_for_change(self, after: int, until: float) -> None:
        while self._visible_revision() <= after:
            remaining = until - time.monotonic()
            if remaining <= 0 or self.faults.outage:
                return
            if after > self._state.revision:
                raise _LostRevisionError
            self._changed.wait(remaining)

    def _encode_changes(self, after: int, as_of: int) -> bytes:
        # A change wakes all watches at once. Most of them get the same answer,
        # which is encoded once.
        request = (self._state.era, after, as_of)
        if self._encoded_changes[0] != request:
            entries = self._state.list_changes(after, as_of=as_of)
            answer = {'revision': as_of, 'entries': entries}
            self._encoded_changes = (request, msgspec.json.encode(answer))
        return self._encoded_changes[1]

    @property
    def _era_headers(self) -> tuple[tuple[str, str], ...]:
        return (('X-Store-Era', str(self._state.era)),)

    def _create_response(self, kind: str, body: bytes) -> Response:
        if self.faults.outage:
            return self._answer_outage()
        self._counts['bytes_out'] += len(body)
        self._counts[f'bytes_out_{kind}'] += len(body)
        return Response(
            body=body,
            headers=(('Content-Type', 'application/json'), *self._era_headers),
        )


def run(
    *,
    address: str,
    tree: Path,
    instances: Path | None = None,
    limit: int = DEFAULT_LIMIT_PER_SECOND,
    control_address: str = '',
) -> None:
    """Serve a tree of settings until SIGTERM.

    :param address: IP:PORT of the protocol and of `/control/`
    :param tree: directory with teams/NAME.json and platform.json
    :param instances: JSON file with the platform's list of instances
    :param limit: calls per second accepted in total from all readers
    :param control_address: IP:PORT that serves only `/control/` and stays up
        during an outage that refuses connections
    """
    store = Store(address=address, limit=limit)
    StoreFiles(tree=tree, instances=instances, store=store).start()
    servers = [store.server]
    if control_address:
        control = store.control.answer
        servers.append(
            HttpServer(address=control_address, application=control),
        )
    stopped = Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    for server in servers:
        server.start()
    sys.stderr.write(f'store listens at {address}, tree {tree}\n')
    stopped.wait()
    for running in servers:
        running.stop()


if __name__ == '__main__':
    defopt.run(run)
