"""Decodes JSON answers of the platform's services and of endpoints."""

from typing import Any

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError

UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
"""Exceptions that decoding raises for malformed bytes; RecursionError for deep nesting."""


def decode_answer(body: bytes, kind: Any) -> Any:
    """Decode a JSON answer to the type ``kind``.

    Raises:
        PlatformError: PLATFORM_MALFORMED if it cannot be decoded.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except UNREADABLE as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, str(exc)) from exc
