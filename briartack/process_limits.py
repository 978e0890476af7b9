"""Derive what a daemon may hold from the limits of its process."""

import resource
from typing import final

import msgspec

from briartack.integration import PlatformIntegration
from briartack.memory_budget import (
    MEGABYTE,
    MemoryBudget,
    compute_budget_bytes,
)
from briartack.open_connections import (
    ConnectionLimits,
    compute_connection_limits,
)


@final
class ProcessLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the limits of the callers' connections and of all bodies.

    `memory_bytes` is the limit of the whole process.
    """

    memory_bytes: int
    connections: ConnectionLimits
    memory: MemoryBudget


def derive_process_limits(integration: PlatformIntegration) -> ProcessLimits:
    """Return the limits that follow from memory and descriptors."""
    memory_bytes = int(integration.memory_mb * MEGABYTE)
    connections = compute_connection_limits(
        max_descriptors=integration.max_descriptors,
        system_descriptors=_read_descriptor_limit(),
        memory_bytes=memory_bytes,
    )
    budget_bytes = compute_budget_bytes(memory_bytes)
    return ProcessLimits(
        memory_bytes=memory_bytes,
        connections=connections,
        memory=MemoryBudget(max_bytes=budget_bytes, memory_bytes=memory_bytes),
    )


def _read_descriptor_limit() -> int | None:
    """Return how many descriptors the system allows; None if unlimited."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft_limit == resource.RLIM_INFINITY else soft_limit
