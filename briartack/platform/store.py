"""The calls of the platform's store, and its items as the product's entries.

An item of the operators' configuration becomes a team's subtree, a zone that
is taken out becomes a key of the platform, and a registered server becomes
the record of an instance.
"""

import base64
import binascii
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, TypeVar, final
from urllib.parse import urlencode

import msgspec

from briartack.core.effects import ReadStore
from briartack.core.entries import INSTANCE_PREFIX, PLATFORM_PREFIX, Entry
from briartack.core.units import Revision
from briartack.dialects import RefusedItem, StoreAnswerError, StorePage
from briartack.platform.configuration import CONFIG_KEY, TEAM_KEY, subtree_of
from briartack.platform.registry import SERVERS, Registry

_EVACUATE: Final = 'op/evacuate/'
_MILLISECONDS: Final = 1000
# The prefixes that the product reads, and what holds them at the platform.
_PREFIXES: Final[Mapping[str, str]] = MappingProxyType(
    {'': '', INSTANCE_PREFIX: SERVERS, 'platform': _EVACUATE},
)


_Decoded = TypeVar('_Decoded')


class _Item(msgspec.Struct, frozen=True, kw_only=True):
    key: str
    rev: int
    value: str = ''  # base64
    tombstone: object = None


class _Range(msgspec.Struct, frozen=True, kw_only=True):
    items: tuple[_Item, ...] = ()
    has_more: bool = False
    as_of: int


class _Events(msgspec.Struct, frozen=True, kw_only=True):
    events: tuple[_Item, ...] = ()
    as_of: int


@final
class PlatformStoreDialect:
    """Encode calls and decode answers."""

    __slots__ = ('_registry',)

    def __init__(self, *, registry: Registry) -> None:
        """Decode servers with `registry`."""
        self._registry = registry

    def read_target(self, effect: ReadStore, after: str) -> str:
        """Return path and query of a read of one page."""
        query = {'prefix': _PREFIXES[effect.prefix]}
        if effect.may_lag:
            query['serializable'] = '1'
        if after:
            query['after'] = after
        return f'/api/kv-range?{urlencode(query)}'

    def watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return path and query of a watch."""
        query = {
            'prefix': '',
            'after': str(after),
            'wait_ms': str(int(wait_seconds * _MILLISECONDS)),
        }
        return f'/api/kv-watch?{urlencode(query)}'

    def read_page(self, body: bytes) -> StorePage:
        """Decode the answer to a read; raise StoreAnswerError."""
        page = _decode(body, _Range)
        last = page.items[-1].key if page.items and page.has_more else ''
        return self._page(page.as_of, page.items, last)

    def watch_page(self, body: bytes) -> StorePage:
        """Decode the answer to a watch; raise StoreAnswerError."""
        page = _decode(body, _Events)
        return self._page(page.as_of, page.events, '')

    def _page(
        self,
        revision: int,
        items: tuple[_Item, ...],
        next_after: str,
    ) -> StorePage:
        entries: list[Entry] = []
        refused: list[RefusedItem] = []
        for item in items:
            key = _product_key(item.key)
            try:
                text = None if item.tombstone else self._text(item)
            except ValueError as error:
                refused.append(
                    RefusedItem(
                        key=item.key,
                        revision=Revision(item.rev),
                        reason=str(error),
                    ),
                )
                if not item.key.startswith(SERVERS):
                    continue
                # What another writer put there names no upstream.
                text = None
            if key:
                entries.append(
                    Entry(key=key, revision=Revision(item.rev), value=text),
                )
        return StorePage(
            revision=Revision(revision),
            entries=tuple(entries),
            refused=tuple(refused),
            next_after=next_after,
        )

    def _text(self, item: _Item) -> str:
        """Translate a value; raise ValueError."""
        if item.key.startswith(_EVACUATE):
            zone = item.key.removeprefix(_EVACUATE)
            return msgspec.json.encode({'data_centres_out': [zone]}).decode()
        try:
            payload = base64.b64decode(item.value, validate=True)
        except binascii.Error as error:
            raise ValueError(f'not base64: {error}') from None
        if item.key == CONFIG_KEY:
            return subtree_of(payload)
        if item.key.startswith(SERVERS):
            return self._registry.record_of(payload)
        return ''


def _product_key(key: str) -> str:
    """Return the product's key of an item; empty if it reads none such."""
    if key == CONFIG_KEY:
        return TEAM_KEY
    if key.startswith(_EVACUATE):
        return PLATFORM_PREFIX + key.removeprefix(_EVACUATE)
    if key.startswith(SERVERS):
        return INSTANCE_PREFIX + key.removeprefix(SERVERS)
    return ''


def _decode(body: bytes, kind: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise StoreAnswerError(str(error)) from None
