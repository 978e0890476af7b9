"""Words of the platform that several of its messages share."""

from typing import Final

# The team to whose subtree the operators' configuration belongs.
TEAM: Final = 'op'

ATTEMPT_ID: Final = 'X-Attempt-Id'  # of one try of a consumer
DEADLINE_MS: Final = 'X-Deadline-Ms'  # what is left, not a time of day
EXPECT_INSTANCE: Final = 'X-Expect-Instance'  # the upstream's id, not ours
CALLER_SERVICE: Final = 'X-Caller-Service'
INSTANCE_ID: Final = 'X-Instance-Id'  # the upstream's id, not ours
SEAL: Final = 'X-Server-Seal'
NOT_EXECUTED: Final = 'X-Not-Executed'
LOAD: Final = 'X-Server-Load'  # running, waiting, slots
COLD_MS: Final = 'X-Cold-Ms'


def qualified(service: str) -> str:
    """Return the product's name of a service."""
    return f'{TEAM}/{service}'


def bare(service: str) -> str:
    """Return the platform's name of a service."""
    return service.removeprefix(f'{TEAM}/')
