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

    def wake(self) -> None:
        """Make every waiting watch check for changes."""

    def stats(self) -> dict[str, int]:
        """Return the revision, and counts and peaks since the last reset."""

    def reset_stats(self) -> None:
        """Reset all counts and peaks."""


@final
class Control(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Hold the fields of any request to the control interface."""

    key: str = ''
    value: str | None = None
    mode: str = ''
    revision: int | None = None
    count: int = 1
    seconds: float = 0


Command: TypeAlias = Callable[[Control], object]


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
            control = msgspec.json.decode(request.body() or b'{}', type=Control)
            return json_response(command(control))
        except (msgspec.MsgspecError, ValueError) as error:
            return json_response(
                {'error': str(error)},
                status=HTTPStatus.BAD_REQUEST,
            )

    def _put(self, control: Control) -> object:
        if not control.key or control.value is None:
            raise ValueError('put needs a key and a value')
        if len(control.value.encode()) > MAX_VALUE_BYTES:
            raise ValueError(f'the value of {control.key} exceeds 1 MB')
        return self._change(control.key, control.value)

    def _delete(self, control: Control) -> object:
        return self._change(control.key, None)

    def _change(self, key: str, value: str | None) -> object:
        if key.startswith(INSTANCE_PREFIX):
            self._store.put_instance(key, value)
            return {}
        return {'revision': self._store.put(key, value)}

    def _set_outage(self, control: Control) -> object:
        if control.mode not in {'', '503', 'refuse'}:
            raise ValueError('mode must be empty, 503 or refuse')
        self._store.faults.outage = control.mode
        self._store.wake()
        if control.mode == 'refuse':
            gevent.spawn_later(STOP_DELAY_SECONDS, self._store.server.stop)
        else:
            self._store.server.start()
        return {'outage': control.mode}

    def _set_stale(self, control: Control) -> object:
        self._store.faults.stale_revision = control.revision
        self._store.wake()
        return {'revision': control.revision}

    def _set_cross(self, control: Control) -> object:
        self._store.faults.cross(control.count)
        return {'count': control.count}

    def _set_late(self, control: Control) -> object:
        self._store.faults.late_seconds = control.seconds
        return {'seconds': control.seconds}

    def _set_instance_lag(self, control: Control) -> object:
        self._store.faults.instance_lag_seconds = control.seconds
        return {'seconds': control.seconds}

    def _stats(self, _control: Control) -> object:
        return self._store.stats()

    def _reset_stats(self, _control: Control) -> object:
        self._store.reset_stats()
        return {}
