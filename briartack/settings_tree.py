"""Read version-controlled settings trees from a directory.

A tree has `teams/NAME.json` and, if anything is out of service,
`platform.json`. Each file holds the exact bytes of a value in the store.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, final

from briartack.core.configuration.problems import (
    Code,
    InvalidValueError,
    Problem,
    make_problem,
)
from briartack.core.configuration.schema_problems import ROOT
from briartack.core.configuration.settings import PlatformSettings
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    decode_version,
)
from briartack.core.entries import PLATFORM_KEY, TEAM_PREFIX
from briartack.core.units import NO_REVISION

_FILE_SUFFIX: Final = '.json'
_TEAMS_DIRECTORY: Final = TEAM_PREFIX.rstrip('/')


@final
@dataclass(slots=True, kw_only=True)
class SettingsTree:
    """Hold the valid values of a settings tree and the problems of the rest."""

    teams: dict[str, Version] = field(default_factory=dict)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    problems: list[Problem] = field(default_factory=list)

    def defines(self, resource_id: ResourceId) -> bool:
        """Return whether the owning team defines a resource."""
        owner = self.teams.get(resource_id.team)
        return (
            owner is not None and owner.find_definition(resource_id) is not None
        )

    def may_define(self, resource_id: ResourceId) -> bool:
        """Return whether the owner defines a resource or may do so.

        An owner whose file has problems may define any resource.
        """
        key = f'{TEAM_PREFIX}{resource_id.team}'
        is_broken = any(found.key == key for found in self.problems)
        return is_broken or self.defines(resource_id)


def read_tree(path: Path) -> SettingsTree:
    """Read and decode all files of a settings tree and collect the problems."""
    tree = SettingsTree()
    try:
        files = list(_iterate_files(path))
    except OSError as error:
        unreadable = make_problem(str(path), ROOT, Code.UNREADABLE, error)
        tree.problems.append(unreadable)
        return tree
    for key, file in files:
        _read_file(tree, key, file)
    return tree


def _iterate_files(path: Path) -> Iterator[tuple[str, Path]]:
    # `iterdir` raises OSError for an unreadable directory. `glob` and `exists`
    # would find nothing, as in an empty tree.
    names = {file.name for file in path.iterdir()}
    platform = f'{PLATFORM_KEY}{_FILE_SUFFIX}'
    if not names.intersection((platform, _TEAMS_DIRECTORY)):
        raise FileNotFoundError(f'neither {platform} nor {_TEAMS_DIRECTORY}')
    if platform in names:
        yield PLATFORM_KEY, path / platform
    if _TEAMS_DIRECTORY in names:
        for file in sorted((path / _TEAMS_DIRECTORY).iterdir()):
            if file.suffix == _FILE_SUFFIX:
                yield f'{TEAM_PREFIX}{file.stem}', file


def _read_file(tree: SettingsTree, key: str, file: Path) -> None:
    try:
        # Text mode would convert line endings, so decode the bytes instead.
        text = file.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        tree.problems.append(make_problem(key, ROOT, Code.UNREADABLE, error))
        return
    try:
        version = decode_version(key, NO_REVISION, text)
    except InvalidValueError as invalid:
        tree.problems.extend(invalid.problems)
        return
    if version.team:
        tree.teams[version.team] = version
    else:
        tree.platform = version.platform
