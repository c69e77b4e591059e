"""HTTP client for the ranks of an engine: implements ``RankPort`` with ``httpcore``.

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
from carawayhub.endpoints.boundedreads import MAX_ANSWER_BYTES, BoundedNetwork
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
_KIND_NAMES = {kind: name for name, kind in ORDER_KINDS.items()}

T = TypeVar("T")

ANSWER_TIMEOUT = 5.0
POOL_SIZE = 4
KEEPALIVE_SECONDS = 60


class HttpRank:
    """One rank of an engine.

    A connection whose response was truncated or timed out is closed and never reused, so that a
    late response can't be mistaken for that of the next order.

    An agent may be suspended after it has decided on an order and before it writes it. On resuming
    it would send the order beside those of the agent that has replaced it, and a rank that ignores
    fencing numbers obeys both. Each write of an order therefore calls ``may_send`` again, with no
    step of the event loop between the check and the write.

    Args:
        url: Base URL of the engine, for example ``http://10.0.0.1:8000``.
        rank: Position of the rank in its group.
        headers: Sent with each request, for engines that check the order issuer.
        source: IP address to connect from, empty for any.
        may_send: Called right before each write of an order.
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
        # Reading a map changes nothing, so an agent may continue it after a pause.
        self._maps = _pool(source)

    @property
    def rank(self) -> int:
        """Position of the rank in its group."""
        return self._rank

    async def order(self, order: Order) -> Reply:
        """Send an order and return the rank's reply.

        Raises:
            GroupError: RANK_UNREACHABLE if the order was not sent completely or it is unknown
                whether the rank obeyed it, RANK_MALFORMED if the reply can't be decoded.
        """
        kind = _KIND_NAMES[type(order)]
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
        """Return the content of a map that the rank holds or is staging."""
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
            # The libraries may also raise AttributeError or RuntimeError if a connection breaks
            # during a call. That must count as a failed call and not stop the decider.
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
        network_backend=BoundedNetwork(MAX_ANSWER_BYTES, network),
    )


def _decode(body: bytes, kind: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as exc:
        raise GroupError(Code.RANK_MALFORMED, str(exc)) from exc
