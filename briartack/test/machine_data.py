"""Define the fleet and settings for the state-machine test of the reducer."""

import json
from typing import Final

from briartack.core.entries import Entry
from briartack.core.identity import Identity
from briartack.core.units import Digest, Incarnation, InstanceId, Revision

OWN: Final = Identity(
    instance=InstanceId('a-1'),
    incarnation=Incarnation('own'),
    service='a/main',
    data_centre='north-1',
    region='north',
)
# Instance, data centre and region; all but the last run the service of `OWN`.
PEERS: Final = (
    ('a-2', 'north-2', 'north'),
    ('a-3', 'south-1', 'south'),
    ('b-1', 'south-1', 'south'),
)
EMPTY: Final = Digest(b'')
TEAMS: Final = ('a', 'b', 'c')
SETTLE_SECONDS: Final = 120


def subtree(team: str, others: tuple[str, ...], has_service: bool) -> str:
    """Encode the settings of a team, with a route to each of the other teams.

    Without a service of its own, the team leaves routes of others unresolved.
    """
    services = {'main': {'slots': 4, 'connections': 8, 'ramp_seconds': 0}}
    return json.dumps(
        {
            'services': services if has_service else {},
            'policies': {'p': {'timeout_ms': 5000, 'repeatable': team == 'b'}},
            'workspaces': {'w': {'tenants': ['t'], 'home_regions': ['north']}},
            'routes': [
                {
                    'name': f'to-{other}',
                    'path_prefix': f'/{team}/{other}',
                    'service': f'{other}/main',
                    'policy': 'p',
                }
                for other in others
            ],
        },
    )


def instance_entry(number: int) -> Entry:
    """Return the entry of one instance; number 0 is `OWN`, then `PEERS`."""
    name, data_centre, region = ((OWN.instance, 'north-1', 'north'), *PEERS)[
        number
    ]
    return Entry(
        key=f'instances/{name}',
        revision=Revision(number + 1),
        value=json.dumps(
            {
                'service': f'{name[0]}/main',
                'data_centre': data_centre,
                'region': region,
                'peer_address': f'127.0.0.1:{7001 + number}',
            },
        ),
    )
