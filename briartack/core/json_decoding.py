"""Decode JSON that another process has written."""

from typing import TypeVar, final

import msgspec

_Decoded = TypeVar('_Decoded')


@final
class MalformedJsonError(ValueError):
    """Report why a text is not the JSON of the expected type."""


def decode_json(
    payload: bytes | str, decoder: msgspec.json.Decoder[_Decoded]
) -> _Decoded:
    """Decode a JSON text of any content.

    Raises MalformedJsonError and nothing else.
    """
    try:
        return decoder.decode(payload)
    except RecursionError:
        # msgspec recurses into each level, also in fields that it skips.
        raise MalformedJsonError('the JSON is nested too deeply') from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedJsonError(str(error)) from None
