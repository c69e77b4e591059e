"""Simulated replica that is a rank of a lock-step group, for tests with the real agents."""

from typing import Any
from urllib.parse import parse_qs

import msgspec

from carawayhub.constants import JSON_TYPE
from carawayhub.entry.calls import Receive, Send
from carawayhub.errors import GroupError
from carawayhub.experts.model import (
    Arm,
    Disarm,
    Go,
    Hold,
    OrderAnswer,
    Prepare,
    Rank,
    RankOrder,
    RankReport,
)
from carawayhub.gateway.model import EngineProfile

OK, ACCEPTED, BAD, CONFLICT, GATEWAY_TIMEOUT = 200, 202, 400, 409, 504


class StandinRank:
    """ASGI application that answers an agent like the replica on its VM.

    Args:
        rank: Simulated rank that the calls act on.
    """

    def __init__(self, rank: Rank) -> None:
        self._rank = rank

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer a call."""
        body = b""
        more = True
        while more:
            message = await receive()
            body += message.get("body", b"")
            more = message.get("more_body", False)
        try:
            status, answer = await self._answer(scope, body)
        except GroupError as exc:
            status, answer = GATEWAY_TIMEOUT, {"Error": str(exc)}
        data = msgspec.json.encode(answer)
        headers = [(b"content-type", JSON_TYPE), (b"content-length", str(len(data)).encode())]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": data})

    async def _answer(self, scope: dict[str, Any], body: bytes) -> tuple[int, Any]:
        match scope["path"]:
            case "/v1/report":
                return OK, _report(await self._rank.report())
            case "/v1/picked" if "Lists" in parse_qs(scope["query_string"].decode()):
                held = await self._rank.held_experts()
                return OK, {"Map": {"Version": held.version, "Experts": held.experts}}
            case "/v1/picked":
                counts = await self._rank.counts()
                return OK, {"step": counts.step, "epoch": counts.epoch, "Counts": counts.counts}
            case "/v1/order":
                return await self._apply_order(msgspec.json.decode(body))
            case _:
                return BAD, {}

    async def _apply_order(self, wire: dict[str, Any]) -> tuple[int, Any]:
        order = _order(wire)
        if order is None:
            return BAD, {}
        answer = await self._rank.order(order, wire["epoch"], wire.get("Fence", 0))
        match answer:
            case OrderAnswer.ACCEPTED:
                return ACCEPTED, {}
            case OrderAnswer.REFUSED:
                return CONFLICT, {}
            case OrderAnswer.UNKNOWN:
                return GATEWAY_TIMEOUT, {}


def engine(profile: EngineProfile) -> dict[str, Any]:
    """Return the engine of a service in the format of the configuration."""
    shape = profile.experts
    assert shape is not None
    return {
        "Slots": profile.places,
        "Stride": profile.stride,
        "LinkMbps": shape.link_rate * 8 / 1e6,
        "Sets": shape.layers,
        "Experts": shape.experts,
        "Places": shape.places,
        "Spare": shape.spare,
        "ExpertMb": shape.expert_bytes / 1e6,
        "ExpertShare": shape.share,
    }


def agent_settings(ip: str, replica: str, service: str, store: str) -> str:
    """Return the text of a settings file for an agent on a loopback address."""
    return f"""
Node = "agent-{ip}"
Ip = "{ip}"
Zone = "z1"
Region = "r1"
PortRange = [29340,29350]
Service = "{service}"
app = "{replica}"
[Bounds]
[Platform]
Address = "{store}"
"""


def _report(report: RankReport) -> dict[str, Any]:
    state = "open" if report.open else "broken"
    return {
        "group": {
            "Name": report.group,
            "epoch": report.epoch,
            "rank": report.rank,
            "State": state,
        },
        "size": report.size,
        "step": report.step,
        "InFlight": report.running,
        "Queued": report.waiting,
        "Map": report.version,
        "Prepared": report.prepared,
        "Armed": {"Version": report.armed, "step": report.armed_step} if report.armed else None,
        "held": report.held,
    }


def _order(wire: dict[str, Any]) -> RankOrder | None:
    match wire:
        case {"Operation": "prepare", "Version": version, "Map": placement}:
            held = tuple(tuple(tuple(rank) for rank in layer) for layer in placement)
            return Prepare(version, held)
        case {"Operation": "arm", "Version": version, "step": step}:
            return Arm(version, step)
        case {"Operation": "disarm", "Version": version}:
            return Disarm(version)
        case {"Operation": "Hold", "step": step}:
            return Hold(step)
        case {"Operation": "go", "step": step}:
            return Go(step)
        case _:
            return None
