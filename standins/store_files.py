"""Watch the files of a settings tree for the stand-in configuration store."""

from pathlib import Path
from typing import Final, Protocol, TypeAlias, final

import gevent
import msgspec

POLL_SECONDS: Final = 0.2
FileStamp: TypeAlias = tuple[int, int, int]


class StoreWriter(Protocol):
    """Define the operations by which a store receives changed values."""

    def put(self, key: str, value: str | None) -> int:
        """Set or delete a key; return the revision."""

    def put_instance(self, key: str, value: str | None) -> None:
        """Set or delete an instance record."""


@final
class StoreFiles:
    """Copy changes of files into the store."""

    __slots__ = ('_tree', '_instances', '_store', '_stamps', '_known_instances')

    def __init__(
        self,
        *,
        tree: Path,
        instances: Path | None,
        store: StoreWriter,
    ) -> None:
        self._tree = tree
        self._instances = instances
        self._store = store
        self._stamps: dict[Path, FileStamp] = {}
        self._known_instances: dict[str, str] = {}

    def start(self) -> None:
        """Read all files and start a greenlet that polls for changes."""
        self.poll()
        gevent.spawn(self._poll_forever)

    def poll(self) -> None:
        """Copy files that changed since the last poll into the store."""
        present = self._read_stamps()
        for path in sorted(self._stamps.keys() - present.keys()):
            if path != self._instances:
                self._store.put(self._derive_key(path), None)
        for changed, stamp in sorted(present.items()):
            if self._stamps.get(changed) != stamp:
                self._copy_file(changed)
        self._stamps = present

    def _poll_forever(self) -> None:
        while True:
            gevent.sleep(POLL_SECONDS)
            self.poll()

    def _read_stamps(self) -> dict[Path, FileStamp]:
        paths = [*self._tree.glob('teams/*.json'), self._tree / 'platform.json']
        if self._instances is not None:
            paths.append(self._instances)
        stamps = {}
        for path in paths:
            try:
                found = path.stat()
            except FileNotFoundError:
                continue
            stamps[path] = (found.st_mtime_ns, found.st_size, found.st_ino)
        return stamps

    def _derive_key(self, path: Path) -> str:
        return str(path.relative_to(self._tree).with_suffix(''))

    def _copy_file(self, path: Path) -> None:
        # The store accepts any text; daemons are to refuse invalid values.
        text = path.read_text(encoding='utf-8', errors='replace')
        if path == self._instances:
            self._copy_instances(text)
        else:
            self._store.put(self._derive_key(path), text)

    def _copy_instances(self, text: str) -> None:
        records = msgspec.json.decode(text, type=dict[str, msgspec.Raw])
        listed = {name: bytes(raw).decode() for name, raw in records.items()}
        for gone in sorted(self._known_instances.keys() - listed.keys()):
            self._store.put_instance(f'instances/{gone}', None)
        for name, value in sorted(listed.items()):
            if self._known_instances.get(name) != value:
                self._store.put_instance(f'instances/{name}', value)
        self._known_instances = listed
