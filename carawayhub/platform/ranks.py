"""HTTP client of a replica that is a rank of a lock-step group."""

from typing import Annotated, Any

import anyio
import httpcore
import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.endpoints.boundedreads import BoundedNetwork
from carawayhub.endpoints.sockets import LIVENESS_OPTIONS
from carawayhub.errors import GroupError
from carawayhub.experts.model import (
    Arm,
    Disarm,
    Go,
    HeldExperts,
    Hold,
    OrderAnswer,
    Prepare,
    RankCounts,
    RankOrder,
    RankReport,
)
from carawayhub.platform.answers import UNREADABLE
from carawayhub.wirenumbers import MAX_COUNT, Count

READ_TIMEOUT_SECONDS = 0.5
"""Time limit of a read; a live replica answers within some milliseconds."""

ORDER_TIMEOUT_SECONDS = 0.1
"""Time limit of an order; a replica accepts one within some milliseconds. If the answer is lost,
the rank's report shows whether the order was accepted."""

MAX_SLOWDOWN = 1_000_000.0
Slowdown = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_SLOWDOWN)]

MAX_ANSWER_BYTES = 2_097_152
"""Largest answer: the counters of a hundred thousand experts are under a megabyte."""

EXPECT_INSTANCE = "carawayhub-expect-instance"
OK_STATUS = 200


class _Group(msgspec.Struct, frozen=True, rename={"name": "Name", "state": "State"}):
    name: str = ""
    epoch: Count = 0
    rank: Count = 0
    state: str = "open"


class _Report(
    msgspec.Struct,
    frozen=True,
    rename={
        "slowdown": "pace",
        "running": "InFlight",
        "waiting": "Queued",
        "map": "Map",
        "prepared": "Prepared",
        "armed": "Armed",
    },
):
    """Report of a rank.

    ``held`` and ``step`` are numbers of passes, ``size`` is the number of ranks in the group, and
    ``born`` is the Unix time in milliseconds at which the replica started. ``slowdown`` is over 1
    while the replica is slow, although its name on the wire suggests a speed.
    """

    group: _Group
    born: Count = 0
    size: Count = 0
    slowdown: Slowdown = 1.0
    step: Count = 0
    running: Count = 0
    waiting: Count = 0
    map: Any = 0
    prepared: Any = None
    armed: Any = None
    held: Any = None


class _Counts(msgspec.Struct, frozen=True, rename={"counts": "Counts"}):
    """Counters of all layer sets, concatenated in order."""

    step: Count
    epoch: Count
    counts: list[Count]
    born: Count = 0


class _Lists(msgspec.Struct, frozen=True, rename={"map": "Map", "prepared": "Prepared"}):
    map: Any
    prepared: Any = None


class RankClient:
    """Client of one replica.

    Args:
        address: Address of the replica.
        instance: Instance id that the replica must have, empty for any.
        source: Local IP address to connect from.
    """

    __slots__ = ("_headers", "_pool", "_url", "address")

    def __init__(self, address: Address, instance: str = "", source: str = "") -> None:
        self.address = address
        self._url = f"http://{address}"
        self._headers = [(EXPECT_INSTANCE, instance)] if instance else []
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=4,
            keepalive_expiry=5,
            local_address=source or None,
            socket_options=LIVENESS_OPTIONS,
            network_backend=BoundedNetwork(MAX_ANSWER_BYTES),
        )

    async def report(self) -> RankReport:
        """Return the report of the rank; see ``Rank``."""
        wire = await self._read("/v1/report", _Report)
        try:
            return _report(wire)
        except (TypeError, ValueError) as exc:
            raise GroupError(Code.RANK_MALFORMED, f"{self.address}: {exc}") from exc

    async def counts(self) -> RankCounts:
        """Return how often each expert was chosen; see ``Rank``."""
        wire = await self._read("/v1/picked", _Counts)
        report = await self._read("/v1/report", _Report)
        return RankCounts(
            epoch=wire.epoch,
            step=wire.step,
            counts=tuple(wire.counts),
            born=wire.born,
            present=report.running + report.waiting,
            slowdown=report.slowdown,
        )

    async def held_experts(self) -> HeldExperts:
        """Return the experts that the rank holds; see ``Rank``."""
        wire = await self._read("/v1/picked?Lists=1", _Lists)
        try:
            experts = tuple(tuple(layer) for layer in wire.map["Experts"])
            return HeldExperts(version=_version(wire.map), experts=experts)
        except (TypeError, KeyError, ValueError) as exc:
            raise GroupError(Code.RANK_MALFORMED, f"{self.address}: {wire.map!r}") from exc

    async def order(self, order: RankOrder, epoch: int, fence: int) -> OrderAnswer:
        """Send an order; see ``Rank``."""
        body = msgspec.json.encode(_order(order) | {"epoch": epoch, "Fence": fence})
        headers = [*self._headers, ("content-type", "application/json")]
        try:
            with anyio.fail_after(ORDER_TIMEOUT_SECONDS):
                response = await self._pool.request(
                    "POST", f"{self._url}/v1/order", headers=headers, content=body
                )
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError):
            return OrderAnswer.UNKNOWN
        match response.status:
            case 200 | 202:
                return OrderAnswer.ACCEPTED
            case 400 | 409 | 412 | 421:
                return OrderAnswer.REFUSED
            case _:
                return OrderAnswer.UNKNOWN

    async def close(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _read(self, path: str, kind: type[Any]) -> Any:
        try:
            with anyio.fail_after(READ_TIMEOUT_SECONDS):
                response = await self._pool.request("GET", self._url + path, headers=self._headers)
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
            raise GroupError(Code.RANK_UNREACHABLE, f"{self.address}: {exc!r}") from exc
        if response.status != OK_STATUS:
            detail = f"{self.address}: status {response.status}"
            raise GroupError(Code.RANK_UNREACHABLE, detail)
        try:
            return msgspec.json.decode(response.content, type=kind)
        except UNREADABLE as exc:
            raise GroupError(Code.RANK_MALFORMED, f"{self.address}: {exc}") from exc


def _report(wire: _Report) -> RankReport:
    armed, armed_step = _version_and_step(wire.armed)
    return RankReport(
        group=wire.group.name,
        born=wire.born,
        epoch=wire.group.epoch,
        rank=wire.group.rank,
        size=wire.size,
        open=wire.group.state == "open",
        step=wire.step,
        version=_version(wire.map),
        prepared=_version(wire.prepared),
        armed=armed,
        armed_step=armed_step,
        held=_number(wire.held),
        running=wire.running,
        waiting=wire.waiting,
    )


def _order(order: RankOrder) -> dict[str, Any]:
    match order:
        case Prepare(version, placement):
            return {"Operation": "prepare", "Version": version, "Map": placement}
        case Arm(version, step):
            return {"Operation": "arm", "Version": version, "step": step}
        case Disarm(version):
            return {"Operation": "disarm", "Version": version}
        case Hold(step):
            return {"Operation": "Hold", "step": step}
        case Go(step):
            return {"Operation": "go", "step": step}


def _version(value: Any) -> int:
    """Return a version given as a number or as an object with a ``Version``; 0 for none."""
    if isinstance(value, dict):
        value = value.get("Version")
    return _number(value)


def _version_and_step(value: Any) -> tuple[int, int]:
    step = _number(value.get("step")) if isinstance(value, dict) else 0
    return _version(value), step


def _number(value: Any) -> int:
    """Return an integer, 0 for none.

    Raises:
        ValueError: The value is neither a count nor None.
    """
    if value is None:
        return 0
    if type(value) is not int or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{value!r} is not a count")
    return value
