"""The links that a process opens: one task per peer, for a changing set of peers."""

import random
from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from carawayhub.clock import Clock
from carawayhub.peers.links import Link, LinkOwner, Peer
from carawayhub.peers.proofs import Prover


class LinkSet:
    """Starts and cancels link tasks to match the requested set of peers.

    Args:
        owner: Receives the events of the links.
        prover: Authenticates this process to its peers.
        clock: Source of time.
        rng: Source of jitter.
        tasks: Task group in which the links run.
        source: IP number to connect from, empty for any.
    """

    __slots__ = ("_clock", "_owner", "_prover", "_rng", "_scopes", "_source", "_tasks")

    def __init__(
        self,
        owner: LinkOwner,
        prover: Prover,
        clock: Clock,
        rng: random.Random,
        tasks: TaskGroup,
        source: str = "",
    ) -> None:
        self._source = source
        self._owner = owner
        self._prover = prover
        self._clock = clock
        self._rng = rng
        self._tasks = tasks
        self._scopes: dict[Peer, anyio.CancelScope] = {}

    def set_peers(self, peers: Iterable[Peer]) -> tuple[Peer, ...]:
        """Open links to new peers and end those to all others; return the peers removed."""
        wanted = set(peers)
        ended = tuple(peer for peer in self._scopes if peer not in wanted)
        for peer in ended:
            self._scopes.pop(peer).cancel()
        for peer in wanted - self._scopes.keys():
            scope = self._scopes[peer] = anyio.CancelScope()
            self._tasks.start_soon(self._keep, peer, scope)
        return ended

    async def _keep(self, peer: Peer, scope: anyio.CancelScope) -> None:
        with scope:
            link = Link(peer, self._owner, self._prover, self._clock, self._rng, self._source)
            await link.run()
