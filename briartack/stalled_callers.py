"""Give up callers that read nothing while the memory is full."""

from collections.abc import Iterable
from operator import itemgetter
from typing import Final, Protocol

from briartack.core.effects import LogLevel
from briartack.error_texts import CALLER_GIVEN_UP
from briartack.memory_budget import MemoryBudget
from briartack.shell_interfaces import Observer

# A caller that has taken no byte for so long may lose its responses to others
# when the memory is full. The kernel of a slow reader tells of its progress in
# steps, which take some tenths of a second.
GIVE_UP_SECONDS: Final = 1.0


class CallerConnection(Protocol):
    """Represent a connection with responses that its caller has yet to take."""

    @property
    def held_bytes(self) -> int:
        """Return the size of the responses that are held."""

    def measure_stall(self) -> float:
        """Return for how many seconds the caller has taken no byte."""

    def give_up(self) -> None:
        """Drop all responses and shut the connection down."""


def give_up_stalled_caller(
    connections: Iterable[CallerConnection],
    *,
    memory: MemoryBudget,
    observer: Observer,
) -> bool:
    """Close the connection that holds most of those that have stalled.

    Returns False if no caller has stalled for GIVE_UP_SECONDS.
    """
    stalled = [
        (connection.held_bytes, stall_seconds, connection)
        for connection in connections
        if connection.held_bytes
        and (stall_seconds := connection.measure_stall()) >= GIVE_UP_SECONDS
    ]
    if not stalled:
        return False
    held_bytes, stall_seconds, connection = max(stalled, key=itemgetter(0, 1))
    observer.count('callers.given_up')
    observer.log(
        LogLevel.WARNING,
        CALLER_GIVEN_UP,
        held_bytes=str(held_bytes),
        stalled_seconds=f'{stall_seconds:.1f}',
        memory_held_bytes=str(memory.held_bytes),
        memory_max_bytes=str(memory.max_bytes),
    )
    connection.give_up()
    return True
