"""Acquires and renews the lease of the agent that decides for a lock-step group."""

import random

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, ModelGroup
from carawayhub.errors import PeerError
from carawayhub.groups.lease import Holder, Lease, Witness, select_witnesses
from carawayhub.peers.calls import CallClient
from carawayhub.peers.messages import LeaseReply, LeaseRequest
from carawayhub.peers.methods import LEASE
from carawayhub.peers.signal import Signal

RENEW_INTERVAL_SECONDS = 1.0
"""Interval between renewals of a valid lease: a third of its duration."""

ACQUIRE_INTERVAL_SECONDS = 0.25
"""Interval between attempts without a valid lease; short, since callers may be waiting."""

ANSWER_TIMEOUT = 0.8
"""Seconds to wait for a reply: shorter than the shortest renewal interval."""


class LeaseKeeper:
    """Maintains the lease of the group that this agent decides for.

    Args:
        holder: This agent.
        calls: Client for calls to the witnesses.
        clock: Source of time.
        rng: Source of jitter.
    """

    __slots__ = (
        "_acquired",
        "_calls",
        "_changed",
        "_clock",
        "_group",
        "_holder",
        "_lease",
        "_rng",
        "_was_valid",
        "_witnesses",
    )

    def __init__(self, holder: Holder, calls: CallClient, clock: Clock, rng: random.Random) -> None:
        self._holder = holder
        self._calls = calls
        self._clock = clock
        self._rng = rng
        self._changed = Signal()
        self._acquired = Signal()
        self._group = ""
        self._lease = Lease(clock, ())
        self._witnesses: tuple[Witness, ...] = ()
        self._was_valid = False

    def configured(self, cfg: Configuration, group: ModelGroup | None) -> None:
        """Maintain the lease of ``group``, or none if this agent decides for no group."""
        name = "" if group is None else group.name
        chosen = () if group is None else select_witnesses(cfg, group)
        if name != self._group:
            self._group = name
            self._lease = Lease(self._clock, ())
            self._was_valid = False
        if chosen != self._witnesses:
            self._witnesses = chosen
            self._lease.change_witnesses(each.name for each in chosen)
        self._changed.notify()

    def valid(self) -> bool:
        """Return whether an order may be issued now."""
        return self._lease.valid

    async def held(self) -> None:
        """Wait until an order may be issued."""
        while not self._lease.valid:
            await self._acquired.wait()

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            if not self._group:
                await self._changed.wait()
                continue
            began_at = self._clock.monotonic()
            async with anyio.create_task_group() as tasks:
                for each in self._witnesses:
                    tasks.start_soon(self._ask, each)
            self._log_change()
            pause = RENEW_INTERVAL_SECONDS if self._lease.valid else ACQUIRE_INTERVAL_SECONDS
            due_at = began_at + self._rng.uniform(0.8 * pause, pause)
            with anyio.move_on_after(max(0.0, due_at - self._clock.monotonic())):
                await self._changed.wait()

    async def _ask(self, witness: Witness) -> None:
        lease, own = self._lease, self._holder
        req = LeaseRequest(group=self._group, endpoint=own.endpoint, agent=own.agent, vm=own.vm)
        asked_at = self._clock.monotonic()
        try:
            reply: LeaseReply = await self._calls.call(witness.address, LEASE, req, ANSWER_TIMEOUT)
        except PeerError as exc:
            logger.bind(group=self._group, witness=witness.name, error=str(exc)).debug(
                "call to witness failed"
            )
            return
        lease.record_confirmation(witness.name, asked_at, reply.named_seconds)
        if lease.valid:
            self._acquired.notify()

    def _log_change(self) -> None:
        valid = self._lease.valid
        if valid == self._was_valid:
            return
        self._was_valid = valid
        names = sorted(each.name for each in self._witnesses)
        line = logger.bind(group=self._group, witnesses=names, ages=self._lease.ages())
        if valid:
            line.info("lease acquired")
        else:
            line.warning("lease lost: too few witnesses confirm this agent as the decider")
