"""Callers of the soak: they ask which entries to use, keep connections, and look at each answer."""

import random
from dataclasses import dataclass

import anyio

from carawayhub.clock import Clock
from carawayhub.platform.standins import EVENTS_PER_STREAM, request_head

FRONT_PORT, DIRECTORY_PORT = 29227, 29224
ROUTES = {
    "/stream/": ("streaming", "llm"),
    "/once/": ("non_idempotent", "desk"),
    "/look/": ("idempotent", "desk"),
}


@dataclass(slots=True)
class Ask:
    """One request of a caller and what came of it.

    Attributes:
        request: Its id.
        prefix: Its route.
        key: Its key.
        sent_at: When it was sent.
        status: Status of the answer, 0 for none.
        whole: Whether the answer came to its end.
        wrong: What was wrong with the answer, empty if nothing.
    """

    request: str
    prefix: str
    key: str
    sent_at: float
    status: int = 0
    whole: bool = False
    wrong: str = ""


class Callers:
    """All callers of one run.

    Args:
        seed: Seed of the run.
        ips: Addresses of the entries.
        clock: Source of time.
        rng: Draws which directory is asked first.

    Attributes:
        asks: What they asked.
    """

    def __init__(self, seed: int, ips: list[str], clock: Clock, rng: random.Random) -> None:
        self._seed = seed
        self._ips = ips
        self._clock = clock
        self._rng = rng
        self.asks: list[Ask] = []

    async def directory(self) -> list[str]:
        """Return the entries that callers may use, as one of the directories says."""
        for ip in self._rng.sample(self._ips, len(self._ips)):
            try:
                with anyio.fail_after(1.0):
                    async with await anyio.connect_tcp(ip, DIRECTORY_PORT) as stream:
                        await stream.send(b"GET /v1/resolve?Name=soak HTTP/1.1\r\nHost: x\r\n\r\n")
                        data = await stream.receive()
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
                continue
            found = [each for each in self._ips if f'"{each}:{FRONT_PORT}"'.encode() in data]
            if found:
                return found
        return []

    async def ask_on(self, number: int) -> None:
        """Ask as one caller does, until cancelled."""
        rng = random.Random(f"{self._seed}/{number}")
        asked = 0
        while True:
            known = await self.directory()
            until = self._clock.monotonic() + 1.0
            if not known:
                await anyio.sleep(0.2)
                continue
            try:
                async with await anyio.connect_tcp(rng.choice(known), FRONT_PORT) as stream:
                    while self._clock.monotonic() < until or rng.random() < 0.5:
                        asked += 1
                        prefix = rng.choice(list(ROUTES))
                        key = rng.choice(["k1", "k2", "k3", "k4"])
                        ask = Ask(f"{number}-{asked}", prefix, key, self._clock.monotonic())
                        self.asks.append(ask)
                        if not await self._ask(stream, ask):
                            break
                        await anyio.sleep(rng.uniform(0.0, 0.1))
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, TimeoutError):
                await anyio.sleep(0.05)

    async def _ask(self, stream: anyio.abc.SocketStream, ask: Ask) -> bool:
        """Send a request and read its answer; return whether the connection can go on."""
        await stream.send(request_head(f"{ask.prefix}1", ask.request, ask.key, 3000, b"tempo"))
        data = b""
        with anyio.fail_after(6.0):
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, body = data.partition(b"\r\n\r\n")
            ask.status = int(head.split()[1])
            lines = head.lower().split(b"\r\n")
            length = [int(x.split(b":")[1]) for x in lines if x.startswith(b"content-length:")]
            while not ask.whole:
                ask.whole = len(body) >= length[0] if length else body.endswith(b"0\r\n\r\n")
                if not ask.whole:
                    body += await stream.receive()
        self._look_at(ask, body)
        return b"connection: close" not in lines

    def _look_at(self, ask: Ask, body: bytes) -> None:
        if ask.status != 200:
            return
        if ask.prefix != "/stream/":
            if f'"{ask.request}"'.encode() not in body:
                ask.wrong = f"answer of another request: {body[:80]!r}"
            return
        numbers = [int(x.split()[1]) for x in body.split(b"\n") if x.startswith(b"id:")]
        if numbers != list(range(1, EVENTS_PER_STREAM + 1)):
            ask.wrong = f"events {numbers}"
