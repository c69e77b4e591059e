"""What applications have to do with the bounds of their connections."""

from collections.abc import Awaitable, Callable
from typing import Any

from carawayhub.errors import RequestError
from carawayhub.inbound.refusals import Refusal

EXTENSION = "carawayhub.inbound"
"""ASGI extension under which an application finds the state of its request."""


class ReleasingApp:
    """Gives the memory of each request back when its application has handled it.

    Args:
        app: The ASGI application.
    """

    __slots__ = ("_app",)

    def __init__(self, app: Any) -> None:
        self._app = app

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Handle one request."""
        try:
            await self._app(scope, receive, send)
        finally:
            scope["extensions"][EXTENSION].release()


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
