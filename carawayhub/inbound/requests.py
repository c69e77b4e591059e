"""Refusal of a request whose application has begun to read its body."""

from collections.abc import Awaitable, Callable
from typing import Any

from carawayhub.errors import RequestError
from carawayhub.inbound.refusals import Refusal

EXTENSION = "carawayhub.inbound"
"""ASGI extension under which an application finds the state of its request."""


class InboundRequest:
    """State of one request, shared by its connection and its application.

    Attributes:
        refusal: Why the rest of the request will not be received, None while it will.
    """

    __slots__ = ("refusal",)

    def __init__(self) -> None:
        self.refusal: Refusal | None = None


async def receive_part(
    scope: dict[str, Any], receive: Callable[[], Awaitable[dict[str, Any]]]
) -> dict[str, Any]:
    """Return the next ASGI message of a request.

    Raises:
        RequestError: The connection refuses the rest of the request.
    """
    message = await receive()
    request = scope.get("extensions", {}).get(EXTENSION)
    if request is not None and request.refusal is not None:
        refusal: Refusal = request.refusal
        raise RequestError(refusal.code, retry_after=refusal.retry_after)
    return message
