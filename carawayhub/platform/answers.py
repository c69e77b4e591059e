"""JSON answers of what the system reads: the platform's services and endpoints."""

from typing import Any

import msgspec

from carawayhub.codes import Code
from carawayhub.errors import PlatformError


def decode_answer(body: bytes, kind: Any) -> Any:
    """Return the ``kind`` in a JSON answer.

    Raises:
        PlatformError: PLATFORM_MALFORMED where it cannot be read.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        raise PlatformError(Code.PLATFORM_MALFORMED, str(exc)) from exc
