"""Codes and texts of the problems that a value of the store can have.

Validation, activation and the checks of the command line share these texts,
so that a daemon and the command line report the same problem in the same way.
"""

import enum
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final, final


@final
@enum.unique
class Code(enum.Enum):
    """Identify a kind of problem in machine-readable reports."""

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
    DUPLICATE_KEY = 'duplicate-key'
    UNKNOWN_TENANT = 'unknown-tenant'
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
    """Describe what is wrong in a value, where, and how to fix it."""

    key: str  # store key of the value
    path: str  # path within the value; `$` is the whole value
    code: Code
    text: str
    fix: str

    def __str__(self) -> str:
        """Format the problem as one line for logs and terminals."""
        return f'{self.key}: {self.path}: {self.text} {self.fix}'


# Text and fix of each code. `{detail}` is replaced by a detail of the case.
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
            'Correct the JSON syntax at the reported position.',
        ),
        Code.UNKNOWN_KEY: (
            'briartack does not read this key.',
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
            'Write a value of the required type and within its bounds.',
        ),
        Code.DUPLICATE_ROUTE: (
            'Two routes have the name {detail!r}.',
            'Give each route of the team a name of its own.',
        ),
        Code.DUPLICATE_ITEM: (
            'The list names {detail!r} twice.',
            'Remove the repeated item.',
        ),
        Code.EMPTY_ITEM: (
            'The list has an empty item or whitespace around {detail!r}.',
            'Write the name without whitespace or remove the item.',
        ),
        Code.METHOD: (
            '{detail!r} is not an HTTP method in capital letters.',
            'Write methods such as GET or POST, or an empty list for all.',
        ),
        Code.TENANT: (
            'The tenant {detail!r} cannot be sent in an X-Tenant header.',
            'Use visible ASCII characters.',
        ),
        Code.DUPLICATE_KEY: (
            'The tenants {detail} have the same API key.',
            'Remove the key from all but one of them, or issue a new one.',
        ),
        Code.UNKNOWN_TENANT: (
            'No team defines the tenant {detail!r}.',
            'Correct the name, or define the tenant first.',
        ),
        Code.PATH_PREFIX: (
            'The path prefix {detail!r} cannot match any request path.',
            'Write a path of ASCII characters without query, fragment, spaces, '
            'escapes or dot segments.',
        ),
        Code.NO_WEIGHT: (
            'All shares of the split have weight 0.',
            'Give at least one share a weight above 0.',
        ),
        Code.ADDRESS: (
            'The address {detail!r} is not IP:PORT.',
            'Write an address such as 127.0.0.1:7001.',
        ),
        Code.OWN_REFERENCE: (
            'The team does not define {detail} itself.',
            'Define the resource in this value or correct the reference.',
        ),
        Code.DEFINITION: (
            'A peer sent an unusable definition of {detail}.',
            'Run the same release of briartackd on all instances.',
        ),
        Code.REVISION_REUSED: (
            'Revision {detail} is already held with another value.',
            'Write the key again, so that the value gets a new revision.',
        ),
        Code.FOREIGN_REFERENCE: (
            'No team defines {detail}.',
            'Ask the owning team to define it first or correct the reference.',
        ),
        Code.REMOVED_IN_USE: (
            'The resource is removed, but {detail} still refers to it.',
            'Remove the references first, then the resource.',
        ),
        Code.EQUAL_PREFIX: (
            'The path prefix is the same as that of {detail}.',
            'Change one of them; until then the lower team name wins.',
        ),
        Code.UNREADABLE: (
            'The file cannot be used: {detail}.',
            'Provide teams/NAME.json and platform.json as readable files.',
        ),
    }
)


def make_problem(
    key: str,
    path: str,
    code: Code,
    detail: object = '',
) -> Problem:
    """Create a problem with the text and fix of its code."""
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
    """Report an invalid value, with every problem found in it."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Store the problems and join their lines as the message."""
        super().__init__('; '.join(str(found) for found in problems))
        self.problems = problems
