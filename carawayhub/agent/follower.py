"""Polls the leader of a lock-step group for whether the group can step."""

from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from carawayhub.addresses import Address
from carawayhub.agent.grouptask import LocalAgent
from carawayhub.agent.reporter import Reporter
from carawayhub.config.leaders import group_leaders
from carawayhub.config.model import Configuration
from carawayhub.errors import PeerError
from carawayhub.peers.calls import CallClient
from carawayhub.peers.messages import StandingReply, StandingRequest
from carawayhub.peers.methods import STANDING

POLL_INTERVAL_SECONDS = 1.0
ANSWER_TIMEOUT = 1.0
FAILURES_UNTIL_UNKNOWN = 3


@dataclass(frozen=True, slots=True)
class _Leader:
    """The agent beside rank 0 of this agent's group."""

    name: str
    address: Address


class GroupFollower:
    """Polls the agent beside rank 0 each second for whether the group can step, and reports it.

    In a large fleet an entry has links to few agents, often to one of a group but not to the one
    beside rank 0. Without the poll it would route requests to a group that can't step, since the
    agent that it is linked to sees only its own engine. If the agent beside rank 0 can't be
    reached, the state is unknown and the endpoint stays in routing: the group keeps stepping
    without that agent.

    Args:
        local_agent: This agent.
        calls: Client for calls to other agents.
        reporter: Receives the reason why the group can't step, empty if it can.
        tasks: Task group in which the polling runs.
    """

    __slots__ = ("_calls", "_leader", "_local_agent", "_reporter", "_scope", "_tasks")

    def __init__(
        self, local_agent: LocalAgent, calls: CallClient, reporter: Reporter, tasks: TaskGroup
    ) -> None:
        self._local_agent = local_agent
        self._calls = calls
        self._reporter = reporter
        self._tasks = tasks
        self._leader: _Leader | None = None
        self._scope: anyio.CancelScope | None = None

    def configured(self, cfg: Configuration) -> None:
        """Start, redirect or stop the polling as the new configuration version requires."""
        name = group_leaders(cfg).get(self._local_agent.endpoint)
        leader = None if name is None else _Leader(name, Address.parse(cfg.endpoints[name].agent))
        if leader == self._leader:
            return
        self._leader = leader
        if self._scope is not None:
            self._scope.cancel()
            self._scope = None
            self._reporter.set_out_of_step("")
        if leader is not None:
            self._scope = anyio.CancelScope()
            self._tasks.start_soon(self._poll_until_cancelled, leader, self._scope)

    async def _poll_until_cancelled(self, leader: _Leader, scope: anyio.CancelScope) -> None:
        failures = 0
        with scope:
            while True:
                try:
                    reason = await self._poll_leader(leader)
                except PeerError:
                    failures += 1
                    if failures == FAILURES_UNTIL_UNKNOWN:
                        self._reporter.set_out_of_step("")
                else:
                    failures = 0
                    self._reporter.set_out_of_step(reason)
                await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def _poll_leader(self, leader: _Leader) -> str:
        request = StandingRequest(endpoint=leader.name)
        reply: StandingReply = await self._calls.call(
            leader.address, STANDING, request, ANSWER_TIMEOUT
        )
        return reply.out_of_step
