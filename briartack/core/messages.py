"""Messages of the protocol between daemons, one class for each type.

Each message is encoded as a msgpack array whose first element is the tag.
"""

from typing import Annotated, Final, TypeAlias, final

import msgspec
from msgspec import Meta

from briartack.core.entries import Entry, HighestRevisions, KeyVersion
from briartack.core.units import (
    NO_INSTANCE,
    AttemptId,
    Digest,
    Incarnation,
    InstanceId,
    Revision,
)
from briartack.core.verdict import Verdict

PROTOCOL_VERSION: Final = 1
MAX_INTEGER: Final = 0x7FFFFFFFFFFFFFFF
MAX_CHUNK_BYTES: Final = 65536
# The largest answer, and the largest request unless operators allow more.
MAX_BODY_BYTES: Final = 1 << 24  # 16 MiB
# The largest request that operators can allow. A daemon with room for it has
# 128 MB of memory, and the queue of a peer takes three such bodies.
MAX_ALLOWED_BODY_BYTES: Final = 4 * MAX_BODY_BYTES  # 64 MiB
# The head of a request unless operators allow more, and what they can allow.
MAX_HEAD_BYTES: Final = 65_536
MAX_ALLOWED_HEAD_BYTES: Final = 1_048_576

Headers: TypeAlias = tuple[tuple[str, str], ...]
TokenCount: TypeAlias = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


class Message(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    array_like=True,
    tag=True,
):
    """Define the base of all peer messages."""


@final
class Hello(Message, frozen=True, kw_only=True, tag='hello'):
    """Introduce the sender; the first message in each direction."""

    protocol_version: int
    instance: InstanceId
    incarnation: Incarnation
    service: str
    data_centre: str
    region: str
    clock: float
    # True if the sender grants the large answers that wait for its room.
    grants_answers: bool = False
    # Bodies of attempts above this size wait for the grant of the sender;
    # `None` if no body does.
    ungranted_body_bytes: int | None = None
    # The largest body of an attempt that the sender of the hello takes.
    max_body_bytes: int = MAX_BODY_BYTES
    # True if the sender understands `CapRequest` and `CapGrant`.
    leases_caps: bool = False


@final
class CrashEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """State under which ends of upstreams a request was running.

    The ids name ends of upstream processes. Those in `cleared` count no longer,
    because the request has completed since or an operator cleared it.
    """

    fingerprint: bytes
    ends: tuple[bytes, ...]
    cleared: tuple[bytes, ...] = ()
    age_seconds: float = 0  # of the latest end


@final
class Summary(Message, frozen=True, kw_only=True, tag='summary'):
    """Announce the state of the sender; this is also the heartbeat."""

    incarnation: Incarnation
    highest: Revision
    configuration_digest: Digest
    instances_digest: Digest
    clock: float
    # True if the sender expects changes from the receiver.
    wants_answers: bool = False
    # True if the sender watches the store and the store answers.
    watches_store: bool = False
    # The shortest time in which the store answered the sender.
    store_latency_seconds: float | None = None
    # The highest revision of each kind of entries. A daemon of an earlier
    # release states only `highest`.
    configuration_highest: Revision | None = None
    instances_highest: Revision | None = None
    # The record id of the sender's upstream, if it has said that it leaves,
    # and the time of its start, if known.
    # A daemon that watches the store, the sender or another, if it knows one.
    watcher: InstanceId = NO_INSTANCE
    leaving_upstream: str = ''
    leaving_upstream_started_ms: int | None = None
    # Requests that were running when upstreams ended.
    crash_evidence: tuple[CrashEvidence, ...] = ()
    # How long ago the sender last knew that the store was away, if lately.
    store_away_seconds_ago: float | None = None

    @property
    def highest_revisions(self) -> HighestRevisions:
        """Return the highest revision of each kind of entries."""
        return HighestRevisions(
            configuration=_or_default(self.configuration_highest, self.highest),
            instances=_or_default(self.instances_highest, self.highest),
        )


@final
class Pull(Message, frozen=True, kw_only=True, tag='pull'):
    """Request all entries above a revision of each kind."""

    after: Revision  # of the configuration
    # A daemon of an earlier release states one revision for all entries.
    instances_after: Revision | None = None

    @property
    def after_revisions(self) -> HighestRevisions:
        """Return the revision of each kind above which entries are wanted."""
        return HighestRevisions(
            configuration=self.after,
            instances=_or_default(self.instances_after, self.after),
        )


@final
class Entries(Message, frozen=True, kw_only=True, tag='entries'):
    """Carry entries, all of them or a part of a larger answer.

    In the last part, `highest` is the highest revision that the sender holds.
    In any other part, `highest` is the revision of the last entry in the part.
    """

    highest: Revision
    entries: tuple[Entry, ...]


@final
class Inventory(Message, frozen=True, kw_only=True, tag='inventory'):
    """Carry one digest per bucket of keys, to find differences."""

    buckets: tuple[Digest, ...]


@final
class InventoryReply(Message, frozen=True, kw_only=True, tag='inventory_reply'):
    """List the versions held by the sender in the differing buckets.

    Without buckets, the message requests the listed keys, each with the version
    that the sender holds.
    """

    buckets: tuple[int, ...]
    versions: tuple[tuple[str, KeyVersion], ...]


@final
class Attempt(Message, frozen=True, kw_only=True, tag='attempt'):
    """Ask the owner of an upstream to run a request.

    A body of several chunks follows in Chunk messages.
    """

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
    body: bytes = b''  # the whole body if it fits into one chunk
    request_id: str = ''  # as known to callers and upstreams
    rank: int = 0  # within the priority; 0 is served first
    target_ms: float | None = None  # time left to the latency target
    is_awaited_by_run: bool = False  # an upstream's run waits for this call
    # No other owner can take the attempt. A stopping owner then starts it even
    # if its time ends after that of the stop.
    is_last_resort: bool = False
    # The body follows in chunks once the receiver has sent a grant.
    awaits_grant: bool = False
    # The latency target has passed before the attempt was sent.
    is_late: bool = False
    # An earlier attempt of the same call has reached an upstream.
    is_repeat: bool = False
    # Name of the route, by which the owner keeps the work of a run.
    route: str = ''


@final
class Chunk(Message, frozen=True, kw_only=True, tag='chunk'):
    """Carry a part of the body of an attempt or of an answer."""

    attempt_id: AttemptId
    is_answer: bool
    offset: int
    payload: bytes


@final
class Answer(Message, frozen=True, kw_only=True, tag='answer'):
    """Return the outcome of an attempt to its sender."""

    attempt_id: AttemptId
    verdict: Verdict
    status: int
    reason: str  # error code of a refusal, empty when the upstream answered
    headers: Headers
    body_bytes: int
    body_digest: Digest
    load: float  # used share of the owner's current concurrency limit
    owner_clock: float
    body: bytes = b''
    run_seconds: float = 0  # upstream's recent mean run time, 0 if unknown
    # The chunks follow once the receiver has sent a grant.
    awaits_grant: bool = False
    # Factor by which work takes longer at present on the upstream's machine,
    # where 1 is usual; 0 if the upstream does not state it.
    slowdown: float = 0
    # Expected wait of a new attempt for a slot.
    wait_seconds: float = 0
    # Expected wait until the body of a new attempt is granted.
    body_wait_seconds: float = 0


@final
class Grant(Message, frozen=True, kw_only=True, tag='grant'):
    """Ask for the body of an answer or of an attempt.

    A daemon of an earlier release ends the stream on this message, so it is
    sent only for bodies that await it.
    """

    attempt_id: AttemptId


@final
class Cancel(Message, frozen=True, kw_only=True, tag='cancel'):
    """Cancel an attempt whose caller no longer waits."""

    attempt_id: AttemptId


@final
class Goodbye(Message, frozen=True, kw_only=True, tag='goodbye'):
    """Announce that the sender accepts no new attempts and will stop."""

    incarnation: Incarnation


@final
class CapRequest(Message, frozen=True, kw_only=True, tag='cap_request'):
    """Ask the holder of a tenant's cap for tokens, or return some.

    A daemon of an earlier release ends the stream on this message, so it is
    sent only to peers that say in their hello that they understand it.
    """

    tenant: str  # TEAM/NAME
    number: int  # names the request in its answer
    needed: TokenCount  # by calls that wait; 0 with `ahead` 0 asks for none
    ahead: TokenCount = 0
    returned: TokenCount = 0  # expired unused


@final
class CapGrant(Message, frozen=True, kw_only=True, tag='cap_grant'):
    """Answer a request for tokens."""

    tenant: str
    number: int
    tokens: TokenCount
    # Above 0 if not all needed tokens were granted: ask again after this time.
    wait_seconds: float = 0
    # False if the sender is not the holder by the list that it has.
    is_holder: bool = True


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
    | Grant
    | Cancel
    | Goodbye
    | CapRequest
    | CapGrant
)


def request_entries_after(revisions: HighestRevisions) -> Pull:
    """Return a request for the entries above a revision of each kind."""
    return Pull(
        after=revisions.configuration, instances_after=revisions.instances
    )


def _or_default(stated: Revision | None, default: Revision) -> Revision:
    return default if stated is None else stated
