"""Agents in virtual time behind links of limited rate, whose queues drop what does not fit."""

import random

import anyio

from carawayhub.peers.pace import DATAGRAM_OVERHEAD_BYTES, LinkPacer
from carawayhub.peers.questions import Handler, QuestionLink

DELAY = 0.002
"""Seconds that a datagram takes from one VM to the other beside its time on the links."""


class Wire:
    """One direction of a VM's link.

    Args:
        rate: Bytes a second.
        queue: Bytes that wait at the most; what comes then is lost.
    """

    def __init__(self, rate: float, queue: int) -> None:
        self.rate = rate
        self.queue = queue
        self.free_at = 0.0
        self.bytes = 0

    def delay(self, size: int) -> float | None:
        """Return the seconds until ``size`` bytes have passed, None where they are lost."""
        now = anyio.current_time()
        waiting = max(0.0, self.free_at - now) * self.rate
        if waiting + size > self.queue:
            return None
        self.free_at = max(self.free_at, now) + size / self.rate
        self.bytes += size
        return self.free_at - now


class DatagramNet:
    """Carries datagrams between agents.

    Args:
        rate: Bytes a second of each link and direction.
        queue: Bytes that wait before each link.
        rng: Draws what is lost.
        lost: Part of the datagrams that is lost whatever the load.
    """

    def __init__(self, rate: float, queue: int, rng: random.Random, lost: float = 0.0) -> None:
        self.rate = rate
        self.queue = queue
        self.rng = rng
        self.lost = lost
        self.dropped = 0
        self.links: dict[str, NetLink] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    def link(self, ip: str, handler: Handler, pace: LinkPacer) -> "NetLink":
        """Return the link of the agent at ``ip``."""
        found = self.links[ip] = NetLink(self, ip, handler, pace)
        return found

    def carry(self, source: "NetLink", ip: str, data: bytes) -> None:
        """Take a datagram to another agent, unless it is lost on the way."""
        size = len(data) + DATAGRAM_OVERHEAD_BYTES
        sent = source.up.delay(size)
        if sent is None or self.rng.random() < self.lost or ip not in self.links:
            self.dropped += 1
            return
        assert self.tasks is not None
        self.tasks.start_soon(self._arrive, source.ip, ip, data, sent + DELAY)

    async def _arrive(self, source: str, ip: str, data: bytes, delay: float) -> None:
        await anyio.sleep(delay)
        target = self.links[ip]
        passed = target.down.delay(len(data) + DATAGRAM_OVERHEAD_BYTES)
        if passed is None:
            self.dropped += 1
            return
        await anyio.sleep(passed)
        assert self.tasks is not None
        target.receive_datagram(data, source, self.tasks)


class NetLink(QuestionLink):
    """The link of one agent; see ``QuestionLink``."""

    def __init__(self, net: DatagramNet, ip: str, handler: Handler, pace: LinkPacer) -> None:
        super().__init__(ip, 0, handler, pace)
        self.ip = ip
        self.net = net
        self.up = Wire(net.rate, net.queue)
        self.down = Wire(net.rate, net.queue)

    def _send(self, ip: str, data: bytes) -> None:
        self.net.carry(self, ip, data)
