"""Decide how many requests are read from callers ahead of their responses.

Only what a connection holds counts. A request that is not read can be neither
refused nor stopped, and its caller waits for it beyond its deadline; one that
is read without room in the memory is refused at once.
"""

from typing import Final

# Maximum number of unanswered requests on one connection. At this number, the
# handler reads the next request only after a response.
MAX_PIPELINED_REQUESTS: Final = 32
# A connection with more bytes of responses than this has no further request
# read: its responses would only wait behind these. A reader takes this much in
# the time of one small request.
MAX_HELD_BYTES: Final = 262_144


def may_read_ahead(*, unanswered: int, held_bytes: int) -> bool:
    """Return whether a request may be read behind those of a connection.

    `unanswered` is the number of its requests without a response, and
    `held_bytes` the size of its responses that its caller has yet to take.
    """
    return unanswered < MAX_PIPELINED_REQUESTS and held_bytes <= MAX_HELD_BYTES
