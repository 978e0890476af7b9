"""Serve the control interface of the stand-in configuration store."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, Protocol, TypeAlias, final

import gevent
import msgspec

from standins.http_server import (
    HttpServer,
    Request,
    Response,
    json_response,
)
from standins.store_faults import StoreFaults

MAX_VALUE_BYTES: Final = 1_000_000
INSTANCE_PREFIX: Final = 'instances/'
# Delay of a stop, so that the answer to the stop request is sent before it.
STOP_DELAY_SECONDS: Final = 0.01


class ControlledStore(Protocol):
    """Define the operations that the control interface needs of a store."""

    faults: StoreFaults

    @property
    def server(self) -> HttpServer:
        """Return the HTTP server of the store's protocol."""

    def put(self, key: str, value: str | None) -> int:
        """Set or delete a key; return the revision."""

    def put_instance(self, key: str, value: str | None) -> None:
        """Set or delete an instance record after the configured lag."""

    def wake_watches(self) -> None:
        """Make every waiting watch check for changes."""

    def restore(self, revision: int, rewrite_seconds: float) -> None:
        """Lose what came after a revision; its last values are put again."""

    def stats(self) -> dict[str, int]:
        """Return the revision, and counts and peaks since the last reset."""

    def reset_stats(self) -> None:
        """Reset all counts and peaks."""


@final
class ControlRequest(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the fields of any request to the control interface."""

    key: str = ''
    value: str | None = None
    mode: str = ''
    revision: int | None = None
    count: int = 1
    seconds: float = 0


Command: TypeAlias = Callable[[ControlRequest], object]


@final
class StoreControl:
    """Run the commands that change a store and its faults."""

    __slots__ = ('_store', '_commands')

    def __init__(self, *, store: ControlledStore) -> None:
        self._store = store
        self._commands: dict[str, Command] = {
            'put': self._put,
            'delete': self._delete,
            'outage': self._set_outage,
            'stale': self._set_stale,
            'cross': self._set_cross,
            'late': self._set_late,
            'instance-lag': self._set_instance_lag,
            'restore': self._restore,
            'stats': self._stats,
            'reset-stats': self._reset_stats,
        }

    def answer(self, request: Request) -> Response:
        """Answer a request to the control interface."""
        command = self._commands.get(request.path.removeprefix('/control/'))
        if command is None:
            return json_response(
                {'error': 'unknown command', 'known': sorted(self._commands)},
                status=HTTPStatus.NOT_FOUND,
            )
        try:
            request_fields = msgspec.json.decode(
                request.body() or b'{}', type=ControlRequest
            )
            return json_response(command(request_fields))
        except (msgspec.MsgspecError, ValueError) as error:
            return json_response(
                {'error': str(error)},
                status=HTTPStatus.BAD_REQUEST,
            )

    def _put(self, request_fields: ControlRequest) -> object:
        if not request_fields.key or request_fields.value is None:
            raise ValueError('put needs a key and a value')
        if len(request_fields.value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f'the value of {request_fields.key} exceeds 1 MB')
        return self._change(request_fields.key, request_fields.value)

    def _delete(self, request_fields: ControlRequest) -> object:
        return self._change(request_fields.key, None)

    def _change(self, key: str, value: str | None) -> object:
        if key.startswith(INSTANCE_PREFIX):
            self._store.put_instance(key, value)
            return {}
        return {'revision': self._store.put(key, value)}

    def _set_outage(self, request_fields: ControlRequest) -> object:
        if request_fields.mode not in {'', '503', 'refuse'}:
            raise ValueError('mode must be empty, 503 or refuse')
        self._store.faults.outage = request_fields.mode
        self._store.wake_watches()
        if request_fields.mode == 'refuse':
            gevent.spawn_later(STOP_DELAY_SECONDS, self._store.server.stop)
        else:
            self._store.server.start()
        return {'outage': request_fields.mode}

    def _set_stale(self, request_fields: ControlRequest) -> object:
        self._store.faults.stale_revision = request_fields.revision
        self._store.wake_watches()
        return {'revision': request_fields.revision}

    def _set_cross(self, request_fields: ControlRequest) -> object:
        self._store.faults.cross_answers(request_fields.count)
        return {'count': request_fields.count}

    def _set_late(self, request_fields: ControlRequest) -> object:
        self._store.faults.late_seconds = request_fields.seconds
        return {'seconds': request_fields.seconds}

    def _set_instance_lag(self, request_fields: ControlRequest) -> object:
        self._store.faults.instance_lag_seconds = request_fields.seconds
        return {'seconds': request_fields.seconds}

    def _restore(self, request_fields: ControlRequest) -> object:
        if request_fields.revision is None:
            raise ValueError('restore needs a revision')
        self._store.restore(request_fields.revision, request_fields.seconds)
        return {'revision': request_fields.revision}

    def _stats(self, _control: ControlRequest) -> object:
        return self._store.stats()

    def _reset_stats(self, _control: ControlRequest) -> object:
        self._store.reset_stats()
        return {}
