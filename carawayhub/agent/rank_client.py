"""The ranks of an engine over HTTP: ``RankPort`` with ``httpcore``.

Orders go to ``POST /ranks/RANK/orders/KIND`` as JSON; ``GET /ranks/RANK/maps/NUMBER/DIGEST`` gives
the content of a map.
"""

from typing import TypeVar

import anyio
import httpcore
import msgspec
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.endpoints.checkedwrites import CheckedNetwork, MaySend, WithheldError
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
KEEPALIVE_SECONDS = 60


class HttpRank:
    """One rank of an engine.

    A connection on which an answer was cut or did not come in time is closed and never used again,
    so a late answer cannot be taken for that of the next order.

    Guards against orders of an agent that was suspended with an order decided on and not yet
    written. They reached the ranks as it woke, beside those of the agent that had replaced it: a
    rank that ignores fencing numbers obeys both. So each write of an order asks once more, with
    nothing between the question and the write.

    Args:
        url: Base of the engine's address, for example ``http://10.0.0.1:8000``.
        rank: Position of the rank in its group.
        headers: Sent with each order, for an engine that checks who gives it.
        source: IP number to connect from, empty for any.
        may_send: Asked right before each write of an order.
        clock: Source of time.
    """

    __slots__ = ("_headers", "_maps", "_orders", "_rank", "_url")

    def __init__(
        self,
        url: str,
        rank: int,
        headers: dict[str, str] | None = None,
        source: str = "",
        may_send: MaySend = lambda: True,
        clock: Clock | None = None,
    ) -> None:
        self._url = f"{url.rstrip('/')}/ranks/{rank}"
        self._rank = rank
        named = dict(headers or {}, **{"content-type": "application/json"})
        self._headers = [(name.encode(), text.encode()) for name, text in named.items()]
        self._orders = _pool(source, CheckedNetwork(may_send, clock))
        # Reading a map changes nothing, and a woken agent may go on with it.
        self._maps = _pool(source)

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._rank

    async def order(self, order: Order) -> Reply:
        """Give an order and return the rank's answer.

        Raises:
            GroupError: RANK_UNREACHABLE where the order may or may not have been obeyed or was not
                sent whole,
                RANK_MALFORMED where the answer cannot be read.
        """
        kind = _NAMES[type(order)]
        body = msgspec.json.encode(order)
        try:
            answer = await self._call(self._orders, "POST", f"/orders/{kind}", body)
        except WithheldError as exc:
            term = order.term
            logger.bind(
                rank=self._rank, order=kind, term=term.number, decider=term.decider
            ).warning("order withheld: this process was paused after it was decided on")
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self._rank}: order withheld") from exc
        return _decode(answer, Reply)

    async def read_map(self, wanted: MapId) -> ExpertMap:
        """Return the content of a map that the rank holds or stages."""
        path = f"/maps/{wanted.number}/{wanted.digest}"
        answer = await self._call(self._maps, "GET", path, None)
        return _decode(answer, ExpertMap)

    async def close(self) -> None:
        """Close all connections."""
        await self._orders.aclose()
        await self._maps.aclose()

    async def _call(
        self, pool: httpcore.AsyncConnectionPool, method: str, path: str, body: bytes | None
    ) -> bytes:
        try:
            with anyio.fail_after(ANSWER_TIMEOUT):
                response = await pool.request(
                    method, self._url + path, headers=self._headers, content=body
                )
        except WithheldError:
            raise
        except Exception as exc:
            # A connection that breaks in the middle of a call also shows as an AttributeError or a
            # RuntimeError of the libraries below. It must not end the decider: it is a lost call.
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self._rank}: {exc!r}") from exc
        if response.status == 404:
            raise GroupError(Code.ORDER_REFUSED, f"rank {self._rank}: {path} not found")
        if response.status != 200:
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {self._rank}: {response.status}")
        return response.content


def _pool(
    source: str, network: httpcore.AsyncNetworkBackend | None = None
) -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=POOL_SIZE,
        keepalive_expiry=KEEPALIVE_SECONDS,
        local_address=source or None,
        network_backend=network,
    )


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise GroupError(Code.RANK_MALFORMED, str(exc)) from exc
