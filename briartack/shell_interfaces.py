"""Define the interfaces of the I/O modules to the reducer, logs and metrics.

The I/O modules (the shell) execute the effects of the reducer and deliver
events to the reducer.
"""

from collections.abc import Callable
from typing import Final, Protocol, TypeAlias

from briartack.core.effects import LogLevel
from briartack.core.events import Event

DeliverEvent: TypeAlias = Callable[[Event], None]
Clock: TypeAlias = Callable[[], float]  # returns seconds
Attributes: TypeAlias = tuple[tuple[str, str], ...]

LISTEN_BACKLOG: Final = 1024  # connections that wait to be accepted


class Observer(Protocol):
    """Record metrics and log lines of the I/O modules."""

    def count(self, name: str, **attributes: str) -> None:
        """Add one to a counter."""

    def add(self, name: str, amount: int, attributes: Attributes) -> None:
        """Add an amount to a counter."""

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""

    def log(self, level: LogLevel, code: str, **fields: str) -> None:
        """Write one log line."""
