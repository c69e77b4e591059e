"""The ranks that one stand-in engine holds of its group; the group itself runs elsewhere."""

from collections.abc import Callable

import anyio
import httpcore
import msgspec

from carawayhub.standins.rankgroup import Pulse
from carawayhub.standins.web import CutError, Reply, Request, Router, error_reply

GIVER_HEADER = "carawayhub-giver"
CONNECT_AGAIN_S = 0.1
ANSWER_S = 30.0
Broken = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


class RankShare:
    """Passes orders on to the ranks that an engine holds, and follows whether they step.

    Args:
        address: ``ip:port`` of the stand-in that runs the ranks.
        ranks: Those that the engine holds.
        checks_giver: Name of the only giver of orders it obeys, empty to obey all.
        changed: Called with each change of what the group does.
    """

    __slots__ = ("_changed", "_checks_giver", "_pool", "_ranks", "_url", "pulse")

    def __init__(
        self,
        address: str,
        ranks: tuple[int, ...],
        checks_giver: str,
        changed: Callable[[Pulse, Pulse], None],
    ) -> None:
        self.pulse = Pulse(stepping=False, formation="")
        self._url = f"http://{address}"
        self._ranks = ranks
        self._checks_giver = checks_giver
        self._changed = changed
        self._pool = httpcore.AsyncConnectionPool(max_connections=32)

    def mount(self, router: Router) -> None:
        """Add the paths of ranks and counters to the engine's own."""
        router.add("POST", "/ranks/{}/orders/{}", self._order)
        router.add("GET", "/ranks/{}/maps/{}/{}", self._read)
        router.add("GET", "/experts/counters", self._read)

    async def run(self) -> None:
        """Hold the ranks until cancelled; where the connection breaks they begin anew."""
        hold = f"{self._url}/hold/{','.join(map(str, self._ranks))}"
        while True:
            try:
                async with self._pool.stream("POST", hold, content=b"") as response:
                    await self._follow(response)
            except Broken:
                pass
            self._take(Pulse(stepping=False, formation=""))
            await anyio.sleep(CONNECT_AGAIN_S)

    async def _follow(self, response: httpcore.Response) -> None:
        rest = b""
        async for part in response.aiter_stream():
            *lines, rest = (rest + part).split(b"\n")
            for line in lines:
                self._take(msgspec.json.decode(line, type=Pulse))

    def _take(self, pulse: Pulse) -> None:
        before, self.pulse = self.pulse, pulse
        if pulse != before:
            self._changed(before, pulse)

    async def _order(self, req: Request) -> Reply:
        if int(req.parts[0]) not in self._ranks:
            return error_reply(404, "this engine does not hold the rank")
        if self._checks_giver and req.headers.get(GIVER_HEADER) != self._checks_giver:
            return error_reply(403, "this engine does not obey this giver")
        return await self._pass("POST", req)

    async def _read(self, req: Request) -> Reply:
        return await self._pass("GET", req)

    async def _pass(self, method: str, req: Request) -> Reply:
        timeout = {"timeout": {"connect": ANSWER_S, "read": ANSWER_S}}
        try:
            response = await self._pool.request(
                method, self._url + req.path, content=req.body or None, extensions=timeout
            )
        except Broken:
            raise CutError from None
        return Reply(response.status, response.content)
