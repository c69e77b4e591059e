"""Forwarding of published content among entries, so that few of them read the store.

Otherwise 98 entries would each read every change, all at once when the fleet starts or when
configurations follow in quick succession. Each read has a cost, and the total rate is limited. An
entry that learns of a newer revision asks a peer that has it, and reads the store only if no peer
can answer.
"""

from collections.abc import Callable

import msgspec
from loguru import logger

from carawayhub.errors import PlatformError
from carawayhub.gateway.gossip import Gossip
from carawayhub.gateway.ports import ForwardedContent, PublishedState
from carawayhub.gateway.revision import KnownContent, Revision
from carawayhub.peers.pace import LinkPacer
from carawayhub.peers.questions import Answer, Question, QuestionLink

PUBLISHED = "published"
"""Subject of questions for the content published after a revision."""

MAX_PEERS_ASKED = 2
"""Number of peers asked in turn. If two peers with a newer revision don't answer, the network is
likely at fault, and the store may still be reachable."""

MAX_SLOW_RANKS = 64
"""Maximum number of slow ranks accepted from one message."""


class ContentForwarder:
    """Forwards published content to peers and requests it from them; receives agents' messages.

    Args:
        ip: IP address of this VM.
        port: Port that all entries use for this exchange.
        state: The published state, with the local copy that is forwarded.
        gossip: Provides the peers with a newer revision.
        pace: Spreads answers over time.

    Attributes:
        on_slow_ranks: Called with the replicas that an agent reports as slow ranks.
    """

    __slots__ = ("_eras", "_gossip", "_link", "_mirror", "on_slow_ranks")

    def __init__(
        self, ip: str, port: int, state: PublishedState, gossip: Gossip, pace: LinkPacer
    ) -> None:
        self._mirror = state.mirror
        self._eras = state.eras
        self._gossip = gossip
        self._link = QuestionLink(ip, port, self.answer, pace)
        self.on_slow_ranks: Callable[[list[str]], None] = _ignore_slow_ranks

    async def run(self) -> None:
        """Answer peers until cancelled."""
        await self._link.run()

    async def fetch_after(self, revision: Revision) -> ForwardedContent | None:
        """Return the content after a revision from a peer, None if no peer can provide it."""
        known = KnownContent(revision.era, revision.number, self._mirror.version)
        question = msgspec.msgpack.encode(known)
        for ip in self._gossip.peers_ahead_of(known, self._eras.known)[:MAX_PEERS_ASKED]:
            answer = await self._link.ask(ip, PUBLISHED, question)
            if answer is None or not answer.ok:
                continue
            forwarded = self._decode_content(answer.content, ip)
            if forwarded is not None:
                return forwarded
        return None

    def _decode_content(self, content: bytes, ip: str) -> ForwardedContent | None:
        try:
            return self._mirror.take(content)
        except PlatformError as exc:
            logger.bind(peer=ip, code=int(exc.code), error=str(exc)).warning(
                "discarded malformed content from a peer"
            )
            return None

    async def answer(self, question: Question, ip: str) -> Answer:
        """Answer a question by its subject."""
        content: bytes | None = None
        try:
            match question.subject:
                case "slow ranks":
                    replicas = msgspec.msgpack.decode(question.content, type=list[str])
                    self.on_slow_ranks(replicas[:MAX_SLOW_RANKS])
                    content = b""
                case _:
                    asked = msgspec.msgpack.decode(question.content, type=KnownContent | int)
                    # Entries of a former build ask with a number alone.
                    known = KnownContent(0, asked) if isinstance(asked, int) else asked
                    content = self._mirror.encode_after(known.revision, known.version)
        except msgspec.DecodeError as exc:
            logger.bind(peer=ip, error=str(exc)).warning(
                "discarded a malformed question from a peer"
            )
        return Answer(
            number=question.number,
            asker=question.asker,
            ok=content is not None,
            content=content or b"",
        )


def _ignore_slow_ranks(replicas: list[str]) -> None:
    return
