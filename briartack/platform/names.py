"""Define names of the platform that several modules use."""

from typing import Final

# The team whose subtree holds the operators' configuration.
TEAM: Final = 'op'

ATTEMPT_ID: Final = 'X-Attempt-Id'  # identifies one attempt of a consumer
DEADLINE_MS: Final = 'X-Deadline-Ms'  # remaining time, not a time of day
EXPECT_INSTANCE: Final = 'X-Expect-Instance'  # id of an upstream, not a daemon
CALLER_SERVICE: Final = 'X-Caller-Service'
INSTANCE_ID: Final = 'X-Instance-Id'  # id of an upstream, not a daemon
SEAL: Final = 'X-Server-Seal'
NOT_EXECUTED: Final = 'X-Not-Executed'
LOAD: Final = 'X-Server-Load'  # running, waiting, slots
LIMIT: Final = 'Server-Limit'  # requests per second that an upstream takes
LEAVING: Final = 'Server-Leaving'  # an upstream that leaves says 1
STORE_ERA: Final = 'Store-Era'  # rises each time the store is restored
COLD_MS: Final = 'X-Cold-Ms'


def qualify_service(service: str) -> str:
    """Return the product's name of a service, with the team."""
    return f'{TEAM}/{service}'


def strip_team(service: str) -> str:
    """Return the platform's name of a service, without the team."""
    return service.removeprefix(f'{TEAM}/')
