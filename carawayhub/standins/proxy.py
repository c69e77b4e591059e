"""Fault-injecting TCP proxy: any number of links, switched in process or over HTTP."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import msgspec

from carawayhub.standins.faults import LinkFault
from carawayhub.standins.link import Link
from carawayhub.standins.web import Reply, Request, Router, error_reply, json_reply, serving


@dataclass(slots=True, frozen=True)
class LinkSummary:
    """What the control interface says of a link."""

    name: str
    listen: str
    target: str
    open_connections: int
    accepted: int


class Proxy:
    """All links of one proxy.

    Args:
        seed: Seed of the jitter of all links.

    Attributes:
        links: Links by name.
    """

    __slots__ = ("_seed", "links")

    def __init__(self, seed: int = 0) -> None:
        self.links: dict[str, Link] = {}
        self._seed = seed

    def add(self, name: str, listen: str, target: str) -> Link:
        """Add a link from ``ip:port`` to ``ip:port``; it works once the proxy runs."""
        link = Link(name, listen, target, self._seed)
        self.links[name] = link
        return link

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Proxy"]:
        """Forward on all links that were added before, while the ``with`` runs."""
        async with anyio.create_task_group() as tg:
            for link in self.links.values():
                ready = anyio.Event()
                tg.start_soon(link.run, ready)
                await ready.wait()
            yield self
            tg.cancel_scope.cancel()

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Run with the control interface on ``ip:port``; yields the address in use."""
        async with self.running(), serving(self.app(), address) as actual:
            yield actual

    def app(self) -> Router:
        """Return the HTTP application of the control interface."""
        router = Router()
        router.add("GET", "/control/links", self._list)
        router.add("POST", "/control/links/{}/fault", self._set_fault)
        router.add("POST", "/control/links/{}/clear", self._clear)
        router.add("POST", "/control/links/{}/cut", self._cut)
        router.add("POST", "/control/links/{}/silence", self._silence)
        return router

    async def _list(self, req: Request) -> Reply:
        return json_reply([_state(link) for link in self.links.values()])

    async def _set_fault(self, req: Request) -> Reply:
        link = self.links.get(req.parts[0])
        if link is None:
            return error_reply(404, "no such link")
        link.state.set_fault(
            msgspec.json.decode(req.body, type=LinkFault), req.query.get("source", "")
        )
        return json_reply(_state(link))

    async def _clear(self, req: Request) -> Reply:
        link = self.links.get(req.parts[0])
        if link is None:
            return error_reply(404, "no such link")
        link.state.clear()
        return json_reply(_state(link))

    async def _cut(self, req: Request) -> Reply:
        link = self.links.get(req.parts[0])
        if link is None:
            return error_reply(404, "no such link")
        link.cut_open(req.query.get("source", ""))
        return json_reply(_state(link))

    async def _silence(self, req: Request) -> Reply:
        link = self.links.get(req.parts[0])
        if link is None:
            return error_reply(404, "no such link")
        link.silence_open(req.query.get("source", ""))
        return json_reply(_state(link))


def _state(link: Link) -> LinkSummary:
    return LinkSummary(link.name, link.listen, link.target, len(link.connections), link.accepted)
