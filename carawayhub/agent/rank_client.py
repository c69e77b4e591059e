"""The ranks of an engine over HTTP: ``RankPort`` with ``httpcore``.

Orders go to ``POST /ranks/RANK/orders/KIND`` as JSON; ``GET /ranks/RANK/maps/NUMBER/DIGEST`` gives
the content of a map.
"""

from typing import TypeVar

import anyio
import httpcore
import msgspec

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, MapId
from carawayhub.groups.orders import (
    Abort,
    Arm,
    Commit,
    Fetch,
    Form,
    Order,
    Prepare,
    Read,
    Reply,
    Withdraw,
)

ORDER_KINDS: dict[str, type[Order]] = {
    "read": Read,
    "prepare": Prepare,
    "fetch": Fetch,
    "form": Form,
    "arm": Arm,
    "withdraw": Withdraw,
    "abort": Abort,
    "commit": Commit,
}
_NAMES = {kind: name for name, kind in ORDER_KINDS.items()}

T = TypeVar("T")

ANSWER_TIMEOUT = 5.0
POOL_SIZE = 4


class HttpRank:
    """One rank of an engine.

    A connection on which an answer was cut or did not come in time is closed and never used again,
    so a late answer cannot be taken for that of the next order.

    Args:
        url: Base of the engine's address, for example ``http://10.0.0.1:8000``.
        rank: Position of the rank in its group.
        headers: Sent with each order, for an engine that checks who gives it.
        source: IP number to connect from, empty for any.
    """

    __slots__ = ("_headers", "_pool", "_rank", "_url")

    def __init__(
        self, url: str, rank: int, headers: dict[str, str] | None = None, source: str = ""
    ) -> None:
        self._url = f"{url.rstrip('/')}/ranks/{rank}"
        self._rank = rank
        named = dict(headers or {}, **{"content-type": "application/json"})
        self._headers = [(name.encode(), text.encode()) for name, text in named.items()]
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=POOL_SIZE, keepalive_expiry=60, local_address=source or None
        )

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._rank

    async def order(self, order: Order) -> Reply:
        """Give an order and return the rank's answer.

        Raises:
            GroupError: RANK_UNREACHABLE where the order may or may not have been obeyed,
                RANK_MALFORMED where the answer cannot be read.
        """
        body = msgspec.json.encode(order)
        answer = await self._call("POST", f"/orders/{_NAMES[type(order)]}", body)
        return _decode(answer, Reply)

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map that the rank holds or stages."""
        answer = await self._call("GET", f"/maps/{wanted.number}/{wanted.digest}", None)
        return _decode(answer, ExpertMap)

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _call(self, method: str, path: str, body: bytes | None) -> bytes:
        try:
            with anyio.fail_after(ANSWER_TIMEOUT):
                response = await self._pool.request(
                    method, self._url + path, headers=self._headers, content=body
                )
        except Exception as exc:
            # A connection that breaks in the middle of a call also shows as an AttributeError or a
            # RuntimeError of the libraries below. It must not end the decider: it is a lost call.
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self._rank}: {exc!r}") from exc
        if response.status == 404:
            raise GroupError(Code.ORDER_REFUSED, f"rank {self._rank}: {path} not found")
        if response.status != 200:
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self._rank}: {response.status}")
        return response.content


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise GroupError(Code.RANK_MALFORMED, str(exc)) from exc
