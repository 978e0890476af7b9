"""Version-controlled trees of configuration, read from a directory.

A tree has `teams/NAME.json` and, when anything is out of service,
`platform.json`. Its files hold the bytes of the store's values.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final, final

from briartack.core.configuration.problems import (
    Code,
    InvalidValueError,
    Problem,
    problem,
)
from briartack.core.configuration.settings import PlatformSettings
from briartack.core.configuration.shape import ROOT
from briartack.core.configuration.versions import (
    ResourceId,
    Version,
    decode_version,
)
from briartack.core.entries import PLATFORM_KEY, TEAM_PREFIX
from briartack.core.units import Revision

_NO_REVISION: Final = Revision(0)
_SUFFIX: Final = '.json'
_TEAMS: Final = TEAM_PREFIX.rstrip('/')


@final
@dataclass(slots=True, kw_only=True)
class Tree:
    """Hold the values of a tree that are well-formed, and what is not."""

    teams: dict[str, Version] = field(default_factory=dict)
    platform: PlatformSettings = field(default_factory=PlatformSettings)
    problems: list[Problem] = field(default_factory=list)

    def defines(self, resource_id: ResourceId) -> bool:
        """Tell whether the owner defines a resource."""
        owner = self.teams.get(resource_id.team)
        return owner is not None and owner.held(resource_id) is not None

    def may_define(self, resource_id: ResourceId) -> bool:
        """Tell the same, and true for an owner whose file has problems."""
        key = f'{TEAM_PREFIX}{resource_id.team}'
        is_broken = any(found.key == key for found in self.problems)
        return is_broken or self.defines(resource_id)


def read_tree(path: Path) -> Tree:
    """Read and decode all files of a tree; faults are listed in it."""
    tree = Tree()
    try:
        files = list(_files(path))
    except OSError as error:
        unreadable = problem(str(path), ROOT, Code.UNREADABLE, error)
        tree.problems.append(unreadable)
        return tree
    for key, file in files:
        _read_file(tree, key, file)
    return tree


def _files(path: Path) -> Iterator[tuple[str, Path]]:
    # `iterdir` raises OSError where `glob` and `exists` find nothing, which
    # would pass for an empty tree.
    names = {file.name for file in path.iterdir()}
    platform = f'{PLATFORM_KEY}{_SUFFIX}'
    if not names.intersection((platform, _TEAMS)):
        raise FileNotFoundError(f'neither {platform} nor {_TEAMS}')
    if platform in names:
        yield PLATFORM_KEY, path / platform
    if _TEAMS in names:
        for file in sorted((path / _TEAMS).iterdir()):
            if file.suffix == _SUFFIX:
                yield f'{TEAM_PREFIX}{file.stem}', file


def _read_file(tree: Tree, key: str, file: Path) -> None:
    try:
        # Bytes are decoded here, so that line ends stay as they are.
        text = file.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        tree.problems.append(problem(key, ROOT, Code.UNREADABLE, error))
        return
    try:
        version = decode_version(key, _NO_REVISION, text)
    except InvalidValueError as invalid:
        tree.problems.extend(invalid.problems)
        return
    if version.team:
        tree.teams[version.team] = version
    else:
        tree.platform = version.platform
