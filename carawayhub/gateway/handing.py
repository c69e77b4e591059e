"""Published content handed on among entries, so that few of them read the store.

The load pattern this answers: 98 entries that each read every change, and all at once when the
fleet starts or a configuration follows the other. Each read has a price and the rate of all
together is limited. An entry that hears of a newer revision asks a peer that knows it, and reads
for itself only where no peer can tell.
"""

import msgspec
from loguru import logger

from carawayhub.errors import PlatformError
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.ports import Handed, Mirror
from carawayhub.peers.pace import LinkPacer
from carawayhub.peers.questions import Answer, Question, QuestionLink

PUBLISHED = "published"
"""Subject of the question for what was published beyond a revision."""

ASKED_PEERS = 2
"""Peers that are asked one after the other. Where two that know more do not answer, the network is
the trouble, and the store may be within reach."""


class Handing:
    """Hands published content on to peers and takes it from them.

    Args:
        ip: IP number of this VM.
        port: Port of all entries for this exchange.
        mirror: What was read of the published state.
        gossip: Knows which peers know more.
        pace: Spreads answers over time.
    """

    __slots__ = ("_gossip", "_link", "_mirror")

    def __init__(self, ip: str, port: int, mirror: Mirror, gossip: Gossip, pace: LinkPacer) -> None:
        self._mirror = mirror
        self._gossip = gossip
        self._link = QuestionLink(ip, port, self.answer, pace)

    async def run(self) -> None:
        """Answer peers until cancelled."""
        await self._link.run()

    async def beyond(self, revision: int) -> Handed | None:
        """Return what peers know beyond a revision, None where none can tell."""
        for ip in self._gossip.peers_beyond(revision)[:ASKED_PEERS]:
            answer = await self._link.ask(ip, PUBLISHED, msgspec.msgpack.encode(revision))
            if answer is None or not answer.ok:
                continue
            handed = self._taken(answer.content, ip)
            if handed is not None:
                return handed
        return None

    def _taken(self, content: bytes, ip: str) -> Handed | None:
        try:
            return self._mirror.take(content)
        except PlatformError as exc:
            logger.bind(peer=ip, code=int(exc.code), error=str(exc)).warning(
                "content of a peer cannot be read"
            )
            return None

    async def answer(self, question: Question, ip: str) -> Answer:
        """Return what is known here beyond the revision that a peer names."""
        content: bytes | None = None
        try:
            revision = msgspec.msgpack.decode(question.content, type=int)
            content = self._mirror.told_after(revision)
        except msgspec.DecodeError as exc:
            logger.bind(peer=ip, error=str(exc)).warning("question of a peer cannot be read")
        return Answer(
            number=question.number,
            asker=question.asker,
            ok=content is not None,
            content=content or b"",
        )
