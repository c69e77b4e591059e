"""JSON answers of what the system reads: the platform's services and endpoints."""

from typing import Any

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError

UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)
"""What decoding raises for bytes that are not what was expected; the last one for deep nesting."""


def decode_answer(body: bytes, kind: Any) -> Any:
    """Return the ``kind`` in a JSON answer.

    Raises:
        PlatformError: PLATFORM_MALFORMED where it cannot be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except UNREADABLE as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, str(exc)) from exc
