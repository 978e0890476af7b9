"""Messages between daemons, one type for each.

They travel as msgpack arrays whose first element is the tag.
"""

from typing import Final, TypeAlias, final

import msgspec

from briartack.core.entries import Entry, KeyVersion
from briartack.core.units import (
    AttemptId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict

PROTOCOL_VERSION: Final = 1
MAX_CHUNK_BYTES: Final = 65536
MAX_BODY_BYTES: Final = 1 << 24  # 16 MiB

Headers: TypeAlias = tuple[tuple[str, str], ...]


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag=True,
):
    """Base of all peer messages."""


@final
class Hello(Message, frozen=True, kw_only=True, tag='hello'):
    """Introduce a daemon as the first message in each direction."""

    protocol_version: int
    instance: InstanceId
    incarnation: Incarnation
    service: str
    data_centre: str
    region: str
    clock: float


@final
class Summary(Message, frozen=True, kw_only=True, tag='summary'):
    """Announce what the sender holds; it is the heartbeat too."""

    incarnation: Incarnation
    highest: Revision
    configuration_digest: Digest
    instances_digest: Digest
    clock: float
    wants_answers: bool = False  # the receiver is a parent of the sender
    watches_store: bool = False  # and the store answers
    store_seconds: float | None = None  # the shortest answer of the store


@final
class Pull(Message, frozen=True, kw_only=True, tag='pull'):
    """Ask for all entries above a revision."""

    after: Revision


@final
class Entries(Message, frozen=True, kw_only=True, tag='entries'):
    """Carry entries; `highest` is the sender's highest revision."""

    highest: Revision
    entries: tuple[Entry, ...]


@final
class Inventory(Message, frozen=True, kw_only=True, tag='inventory'):
    """Offer one digest for each bucket of keys, to find differences."""

    buckets: tuple[Digest, ...]


@final
class InventoryReply(Message, frozen=True, kw_only=True, tag='inventory_reply'):
    """List the versions that the sender holds in the buckets that differ."""

    buckets: tuple[int, ...]
    versions: tuple[tuple[str, KeyVersion], ...]


@final
class Attempt(Message, frozen=True, kw_only=True, tag='attempt'):
    """Ask the owner of an upstream to run a request; a body follows."""

    attempt_id: AttemptId
    owner_incarnation: Incarnation
    owner_clock: float
    remaining_ms: float
    service: str
    method: str
    target: str
    headers: Headers
    body_bytes: int
    body_digest: Digest
    interactive: bool
    home_regions: tuple[str, ...] = ()
    idempotency_key: str = ''
    body: bytes = b''  # the whole body, when it fits into one chunk
    request_id: str = ''  # that callers and upstreams know
    rank: int = 0  # among calls of one priority, 0 first
    target_ms: float | None = None  # left until an answer is worth less
    is_of_run: bool = False  # a run waits for it


@final
class Chunk(Message, frozen=True, kw_only=True, tag='chunk'):
    """Carry a part of the body of an attempt or an answer."""

    attempt_id: AttemptId
    of_answer: bool
    offset: int
    payload: bytes


@final
class Answer(Message, frozen=True, kw_only=True, tag='answer'):
    """Carry the outcome of an attempt back to its sender."""

    attempt_id: AttemptId
    verdict: Verdict
    status: int
    reason: str  # error code of a refusal, empty when the upstream answered
    headers: Headers
    body_bytes: int
    body_digest: Digest
    load: float  # share of the owner's present limit that is taken
    owner_clock: float
    body: bytes = b''
    run_seconds: float = 0  # the upstream's lately, 0 if unknown


@final
class Cancel(Message, frozen=True, kw_only=True, tag='cancel'):
    """Withdraw an attempt whose caller no longer waits."""

    attempt_id: AttemptId


@final
class Goodbye(Message, frozen=True, kw_only=True, tag='goodbye'):
    """Announce that the sender takes no new attempts and will stop."""

    incarnation: Incarnation


PeerMessage: TypeAlias = (
    Hello
    | Summary
    | Pull
    | Entries
    | Inventory
    | InventoryReply
    | Attempt
    | Chunk
    | Answer
    | Cancel
    | Goodbye
)
