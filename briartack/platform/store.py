"""Implement the platform's store dialect.

The dialect translates items of the store to the product's entries: the item of
the operators' configuration to a team's subtree, an evacuated zone to a key of
the platform settings, and a registered server to an instance record.
"""

import base64
import binascii
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, TypeVar, final
from urllib.parse import urlencode

import msgspec

from briartack.core.effects import ReadStore
from briartack.core.entries import (
    INSTANCE_PREFIX,
    PLATFORM_PREFIX,
    Entry,
    StatedOrder,
)
from briartack.core.json_decoding import MalformedJsonError, decode_json
from briartack.core.units import MILLISECONDS_PER_SECOND, Era, Revision
from briartack.dialects import (
    RefusedItem,
    StoreAnswerError,
    StoreNumber,
    StorePage,
    decode_era_header,
)
from briartack.http_response import CollectedResponse
from briartack.platform.configuration import (
    CONFIG_KEY,
    TEAM_KEY,
    translate_subtree,
)
from briartack.platform.names import STORE_ERA
from briartack.platform.registry import SERVER_PREFIX, RegistrationDecoder

_EVACUATION_PREFIX: Final = 'op/evacuate/'
# The prefix in the platform's store for each prefix that the product reads.
_STORE_PREFIXES: Final[Mapping[str, str]] = MappingProxyType(
    {'': '', INSTANCE_PREFIX: SERVER_PREFIX, 'platform': _EVACUATION_PREFIX},
)


_Decoded = TypeVar('_Decoded')
# The text of an entry, `None` for a deletion, and the order that it states.
_Value: TypeAlias = tuple[str | None, StatedOrder]
_DELETION: Final[_Value] = (None, ())


class _Item(msgspec.Struct, frozen=True, kw_only=True):
    """Represent one item; a truthy `tombstone` marks a deleted item."""

    key: str
    rev: StoreNumber
    value: str = ''  # base64
    tombstone: object = None


class _Range(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the response to a read of one page."""

    items: tuple[_Item, ...] = ()
    has_more: bool = False
    as_of: StoreNumber


class _Events(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the response to a watch."""

    events: tuple[_Item, ...] = ()
    as_of: StoreNumber


_RANGE_DECODER: Final = msgspec.json.Decoder(_Range)
_EVENTS_DECODER: Final = msgspec.json.Decoder(_Events)


@final
class PlatformStoreDialect:
    """Encode request targets and decode responses of the store."""

    __slots__ = ('_registry',)

    def __init__(self, *, registry: RegistrationDecoder) -> None:
        """Set the decoder of registered servers."""
        self._registry = registry

    def encode_read_target(self, effect: ReadStore, after: str) -> str:
        """Return the path and query that read one page of a prefix.

        `after` is the last key of the previous page; empty for the first page.
        """
        query = {'prefix': _STORE_PREFIXES[effect.prefix]}
        if effect.may_lag:
            query['serializable'] = '1'
        if after:
            query['after'] = after
        return f'/api/kv-range?{urlencode(query)}'

    def encode_watch_target(self, after: Revision, wait_seconds: float) -> str:
        """Return the path and query that watch for later revisions."""
        query = {
            'prefix': '',
            'after': str(after),
            'wait_ms': str(int(wait_seconds * MILLISECONDS_PER_SECOND)),
        }
        return f'/api/kv-watch?{urlencode(query)}'

    def decode_era(self, response: CollectedResponse) -> Era:
        """Return the era of the store; the first one if none is stated.

        Raises StoreAnswerError.
        """
        return decode_era_header(response, STORE_ERA)

    def decode_read_page(self, body: bytes) -> StorePage:
        """Decode the response to a read.

        Raises StoreAnswerError.
        """
        page = _decode(body, _RANGE_DECODER)
        last = page.items[-1].key if page.items and page.has_more else ''
        return self._translate_page(page.as_of, page.items, last)

    def decode_watch_page(self, body: bytes) -> StorePage:
        """Decode the response to a watch.

        Raises StoreAnswerError.
        """
        page = _decode(body, _EVENTS_DECODER)
        return self._translate_page(page.as_of, page.events, '')

    def _translate_page(
        self,
        revision: int,
        items: tuple[_Item, ...],
        next_after: str,
    ) -> StorePage:
        entries: list[Entry] = []
        refused: list[RefusedItem] = []
        unusable_keys: list[str] = []
        for item in items:
            key = _translate_key(item.key)
            try:
                text, stated = self._translate_item(item)
            except ValueError as error:
                refused.append(
                    RefusedItem(
                        key=item.key,
                        revision=Revision(item.rev),
                        reason=str(error),
                    ),
                )
                if not item.key.startswith(SERVER_PREFIX):
                    unusable_keys.append(key)
                    continue
                # Treat a malformed registration as deleted, since it names no
                # upstream.
                text, stated = _DELETION
            if key:
                entries.append(
                    Entry(
                        key=key,
                        revision=Revision(item.rev),
                        value=text,
                        stated=stated,
                    ),
                )
        return StorePage(
            revision=Revision(revision),
            entries=tuple(entries),
            refused=tuple(refused),
            unusable_keys=tuple(unusable_keys),
            next_after=next_after,
        )

    def _translate_item(self, item: _Item) -> _Value:
        """Translate the value of an item.

        Returns an empty text for an item that the product does not read.
        Raises ValueError.
        """
        if item.tombstone:
            return _DELETION
        if item.key.startswith(_EVACUATION_PREFIX):
            zone = item.key.removeprefix(_EVACUATION_PREFIX)
            out = {'data_centres_out': [zone]}
            return msgspec.json.encode(out).decode(), ()
        try:
            payload = base64.b64decode(item.value, validate=True)
        except binascii.Error as error:
            raise ValueError(f'value is not base64: {error}') from None
        if item.key == CONFIG_KEY:
            return translate_subtree(payload)
        if item.key.startswith(SERVER_PREFIX):
            return self._registry.translate_server(payload)
        return '', ()


def _translate_key(key: str) -> str:
    """Return the product's key of an item.

    Returns an empty text for an item that the product does not read.
    """
    if key == CONFIG_KEY:
        return TEAM_KEY
    if key.startswith(_EVACUATION_PREFIX):
        return PLATFORM_PREFIX + key.removeprefix(_EVACUATION_PREFIX)
    if key.startswith(SERVER_PREFIX):
        return INSTANCE_PREFIX + key.removeprefix(SERVER_PREFIX)
    return ''


def _decode(body: bytes, decoder: msgspec.json.Decoder[_Decoded]) -> _Decoded:
    try:
        return decode_json(body, decoder)
    except MalformedJsonError as error:
        raise StoreAnswerError(str(error)) from None
