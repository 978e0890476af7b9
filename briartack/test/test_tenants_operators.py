"""Tests of what operators see of tenants: check, status and metrics."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any, Final

from nose2.tools import params

from briartack.check import check_tree
from briartack.core.configuration.settings import Tenant
from briartack.core.effects import Count
from briartack.core.status import describe
from briartack.core.tenants.tenant_counters import (
    NAMING_SECONDS,
    OTHERS,
    TenantCounters,
)
from briartack.core.tenants.tenant_table import (
    ResolvedTenant,
    build_tenant_table,
)
from briartack.diff import diff_trees
from briartack.test.tenant_fleet import TenantFleet, tenant

DIGEST: Final = 'A' * 43
OTHER_DIGEST: Final = 'B' * 43


def write_tree(directory: Path, teams: dict[str, Any]) -> Path:
    """Write the files of a settings tree."""
    (directory / 'teams').mkdir(parents=True)
    for team, settings in teams.items():
        path = directory / 'teams' / f'{team}.json'
        path.write_text(json.dumps(settings))
    return directory


def find_errors(teams: dict[str, Any]) -> list[tuple[str, str, str]]:
    """Return key, path and text of each error in a tree."""
    with tempfile.TemporaryDirectory() as name:
        report = check_tree(write_tree(Path(name) / 'tree', teams))
    return [(one.key, one.path, one.text) for one in report.errors]


class CheckTest(unittest.TestCase):
    @params(
        (
            {
                'a': {
                    'tenants': {
                        't': {'keys': [DIGEST]},
                        'u': {'keys': [DIGEST]},
                    }
                }
            },
            '$.tenants.u.keys',
            "'t' and 'u'",
        ),
        (
            {
                'a': {'tenants': {'t': {'keys': [DIGEST]}}},
                'b': {'tenants': {'u': {'keys': [DIGEST]}}},
            },
            '$.tenants.u.keys',
            'a/t and b/u',
        ),
        (
            {'a': {'tenants': {'t': {'calls_per_second': -5}}}},
            '$.tenants.t.calls_per_second',
            '>= 0',
        ),
        (
            {
                'a': {
                    'tenants': {'t': {'keys': [DIGEST]}},
                    'workspaces': {
                        'w': {'tenants': ['t', 'x'], 'home_regions': ['r']}
                    },
                }
            },
            '$.workspaces.w.tenants',
            "'x'",
        ),
    )
    def test_check_names_what_is_wrong(
        self, teams: dict[str, Any], path: str, text: str
    ) -> None:
        """Guard against a tree that is published with a wrong tenant."""
        errors = find_errors(teams)
        self.assertEqual([one[1] for one in errors], [path])
        self.assertIn(text, errors[0][2])
        self.assertNotIn(DIGEST, str(errors))

    @params(
        {'a': {'workspaces': {'w': {'tenants': ['x'], 'home_regions': ['r']}}}},
        {
            'a': {'tenants': {'t': {'keys': [DIGEST, OTHER_DIGEST]}}},
            'b': {'tenants': {'t': {'keys': []}}},
        },
    )
    def test_valid_tree_has_no_errors(self, teams: dict[str, Any]) -> None:
        """Guard against errors about trees that daemons accept."""
        self.assertEqual(find_errors(teams), [])

    def test_withdrawn_key_is_a_difference(self) -> None:
        """Guard against a diff that hides which tenant changes."""
        trees = [
            {'a': {'tenants': {'t': {'keys': keys}}}}
            for keys in ([DIGEST, OTHER_DIGEST], [DIGEST])
        ]
        with tempfile.TemporaryDirectory() as name:
            old, new = (
                write_tree(Path(name) / str(number), tree)
                for number, tree in enumerate(trees)
            )
            found = diff_trees(old, new).differences
        self.assertEqual(
            [(one.kind, one.name) for one in found], [('tenants', 'a/t')]
        )

    def test_key_of_two_teams_has_one_tenant(self) -> None:
        """Guard against daemons that differ in the tenant of a key."""
        table = build_tenant_table(
            (team, {'t': Tenant(keys=(DIGEST,))}) for team in ('a', 'b')
        )
        self.assertEqual(table.by_key_digest[DIGEST].name, 'a/t')


def count_calls(counters: TenantCounters, name: str, number: int) -> set[Any]:
    """Count the calls of a tenant; return the labels of the metric."""
    resolved = ResolvedTenant(
        name=f'op/{name}',
        title=name,
        header=name,
        rank=0,
        calls_per_second=0,
        burst=0,
        home_regions=None,
    )
    return {
        counters.count_requested(resolved).attributes[0][1]
        for _ in range(number)
    }


class CountersTest(unittest.TestCase):
    def test_five_largest_tenants_are_named(self) -> None:
        """Guard against a metric for each of thousands of tenants."""
        counters = TenantCounters()
        for number in range(9):
            count_calls(counters, f't{number}', number + 1)
        described = counters.describe()
        self.assertEqual(
            list(described), ['t8', 't7', 't6', 't5', 't4', OTHERS]
        )
        self.assertEqual(described[OTHERS]['requested'], 1 + 2 + 3 + 4)
        self.assertEqual(count_calls(counters, 't8', 1), {OTHERS})
        counters.name_largest(NAMING_SECONDS)
        self.assertEqual(count_calls(counters, 't8', 1), {'t8'})
        self.assertEqual(count_calls(counters, 't0', 1), {OTHERS})

    def test_status_counts_requests_answers_and_refusals(self) -> None:
        """Guard against a status without what a tenant got."""
        fleet = TenantFleet(
            resources=(tenant('Ó', 'k', rate_per_s=1, burst=2),)
        )
        fleet.run_until(fleet.now + 3)
        for number in range(5):
            fleet.call('m0', f'c{number}', key='k')
        fleet.run_until(fleet.now + 0.1)
        described = describe(fleet.states['m0'])
        self.assertEqual(
            described['tenants'],
            {'Ó': {'requested': 5, 'served': 2, 'refused_by_cap': 3}},
        )
        self.assertEqual(
            described['caps'], {'tenants': 1, 'held_here': 1, 'beyond': []}
        )

    def test_status_without_tenants_is_as_before(self) -> None:
        """Guard against new fields in a deployment without tenants."""
        described = describe(TenantFleet(resources=()).states['m0'])
        self.assertNotIn('tenants', described)

    def test_counts_are_metrics_by_tenant(self) -> None:
        """Guard against a metric that hides which tenant is refused."""
        self.assertEqual(
            TenantCounters().count_refused(
                build_tenant_table((('op', {'t': Tenant()}),)).by_name['op/t']
            ),
            Count(name='tenants.refused_by_cap', attributes=(('tenant', 't'),)),
        )
