"""Codes and texts of everything that can be wrong with a value of the store.

Validation, the snapshot and the operators' checks take them from here, so
that a daemon and the command line say the same about the same fault.
"""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final


@final
@enum.unique
class Code(enum.Enum):
    """Name a kind of fault; logs and metrics count by it."""

    TOO_LARGE = 'too-large'
    NOT_UNICODE = 'not-unicode'
    SYNTAX = 'syntax'
    UNKNOWN_KEY = 'unknown-key'
    KEY_NAME = 'key-name'
    UNKNOWN_FIELD = 'unknown-field'
    MISSING_FIELD = 'missing-field'
    BAD_NAME = 'bad-name'
    BAD_VALUE = 'bad-value'
    DUPLICATE_ROUTE = 'duplicate-route'
    DUPLICATE_ITEM = 'duplicate-item'
    EMPTY_ITEM = 'empty-item'
    METHOD = 'method'
    TENANT = 'tenant'
    PATH_PREFIX = 'path-prefix'
    NO_WEIGHT = 'no-weight'
    ADDRESS = 'address'
    OWN_REFERENCE = 'own-reference'
    DEFINITION = 'definition'
    REVISION_REUSED = 'revision-reused'
    FOREIGN_REFERENCE = 'foreign-reference'
    REMOVED_IN_USE = 'removed-in-use'
    EQUAL_PREFIX = 'equal-prefix'
    UNREADABLE = 'unreadable'


@final
@dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Say what is wrong, where, and how to fix it."""

    key: str  # key of the value in the store
    path: str  # place in the value, `$` is the whole of it
    code: Code
    text: str
    fix: str

    def __str__(self) -> str:
        """Give one line for logs and terminals."""
        return f'{self.key}: {self.path}: {self.text} {self.fix}'


# Each code has a text and a fix; `{detail}` is filled by whoever found it.
_TEXTS: Final = MappingProxyType(
    {
        Code.TOO_LARGE: (
            'The value has {detail} bytes; the store allows 1048576.',
            'Move some of the resources to another team.',
        ),
        Code.NOT_UNICODE: (
            'The value cannot be encoded as UTF-8 ({detail}).',
            'Save the file as UTF-8 without lone surrogates.',
        ),
        Code.SYNTAX: (
            'The value is not JSON: {detail}.',
            'Correct the JSON syntax at the place named.',
        ),
        Code.UNKNOWN_KEY: (
            'The key is none that briartack reads.',
            'Use teams/NAME, platform or instances/ID.',
        ),
        Code.KEY_NAME: (
            'The name {detail!r} in the key is not allowed.',
            'Use 1 to 63 of a-z, 0-9 and hyphens, and begin with a letter.',
        ),
        Code.UNKNOWN_FIELD: (
            '{detail}.',
            'Remove the field or correct its spelling.',
        ),
        Code.MISSING_FIELD: ('{detail}.', 'Add the field.'),
        Code.BAD_NAME: (
            'The name {detail!r} is not allowed.',
            'Use 1 to 63 of a-z, 0-9 and hyphens, and begin with a letter.',
        ),
        Code.BAD_VALUE: (
            '{detail}.',
            'Write a value of the type and within the bounds named.',
        ),
        Code.DUPLICATE_ROUTE: (
            'Two routes have the name {detail!r}.',
            'Give each route of the team a name of its own.',
        ),
        Code.DUPLICATE_ITEM: (
            'The list names {detail!r} twice.',
            'Remove one of the two.',
        ),
        Code.EMPTY_ITEM: (
            'The list has an empty string or blanks around {detail!r}.',
            'Write the bare name or remove the item.',
        ),
        Code.METHOD: (
            '{detail!r} is no HTTP method in capital letters.',
            'Write methods such as GET or POST, or none to allow all.',
        ),
        Code.TENANT: (
            'No header X-Tenant can name the tenant {detail!r}.',
            'Use visible ASCII characters.',
        ),
        Code.PATH_PREFIX: (
            'The path prefix {detail!r} can match no path of a request.',
            'Write a path of ASCII characters without query, fragment, blanks, '
            'escapes or dot segments.',
        ),
        Code.NO_WEIGHT: (
            'All shares of the split weigh nothing.',
            'Give one share at least a weight above 0.',
        ),
        Code.ADDRESS: (
            'The address {detail!r} is not IP:PORT.',
            'Write an address such as 127.0.0.1:7001.',
        ),
        Code.OWN_REFERENCE: (
            'The team itself does not define {detail}.',
            'Define the resource in this value or correct the reference.',
        ),
        Code.DEFINITION: (
            'A peer sent an unusable definition of {detail}.',
            'Run the same release of briartackd on all instances.',
        ),
        Code.REVISION_REUSED: (
            'Revision {detail} is already held with another value.',
            'Edit the key again, so that it gets a new revision.',
        ),
        Code.FOREIGN_REFERENCE: (
            'No team defines {detail}.',
            'Ask the owning team to define it first or correct the reference.',
        ),
        Code.REMOVED_IN_USE: (
            'The resource is removed, but {detail} still refers to it.',
            'Remove the references first, and then the resource.',
        ),
        Code.EQUAL_PREFIX: (
            'The path prefix is also that of {detail}.',
            'Change one of them; the lower team name wins meanwhile.',
        ),
        Code.UNREADABLE: (
            'The file cannot be used: {detail}.',
            'Provide teams/NAME.json and platform.json as readable files.',
        ),
    }
)


def problem(
    key: str,
    path: str,
    code: Code,
    detail: object = '',
) -> Problem:
    """Make a problem with the texts of its code."""
    text, fix = _TEXTS[code]
    return Problem(
        key=key,
        path=path,
        code=code,
        text=text.format(detail=detail),
        fix=fix,
    )


@final
class InvalidValueError(Exception):
    """Refuse one value as a whole, with every problem found in it."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Keep the problems, in the order of their place in the value."""
        super().__init__('; '.join(str(found) for found in problems))
        self.problems = problems
