"""Exchange of idempotency-key messages between agents; the rules are in ``homes``."""

import random
from typing import Any

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.agent.begin import Refuse
from carawayhub.agent.fence import Missing
from carawayhub.agent.handover import PendingHandover
from carawayhub.agent.homes import Homes
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    FenceReply,
    FenceRequest,
    Handover,
    HandoverTaken,
    LookUp,
    LookUpReply,
    Member,
    RunKey,
)
from carawayhub.agent.vmwatch import VmWatch
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration
from carawayhub.errors import PeerError
from carawayhub.output.audit import AuditTrail, Subject
from carawayhub.peers.calls import CallClient
from carawayhub.peers.methods import FENCE, HANDOVER, LOOK_UP, Method
from carawayhub.peers.server import UnaryCall
from carawayhub.peers.signal import Signal
from carawayhub.platform.ports import VmList

CALL_TIMEOUT = 2.0
RETRY_INTERVAL = 1.0
HANDOVER_RETRY_INTERVAL = 0.2


class KeyCoordinator:
    """Takes part for one agent in the agreement on idempotency keys.

    Args:
        homes: Rules that decide where a key may run.
        ledger: Records of the keys at this agent.
        client: Calls other agents.
        clock: Source of time.
        rng: Source of jitter.
        audit: Receives the changes.
    """

    __slots__ = (
        "_audit",
        "_client",
        "_clock",
        "_homes",
        "_ledger",
        "_reconfigured",
        "_rng",
        "_vms",
        "_was_established",
    )

    def __init__(
        self,
        homes: Homes,
        ledger: Ledger,
        client: CallClient,
        clock: Clock,
        rng: random.Random,
        audit: AuditTrail,
    ) -> None:
        self._homes = homes
        self._ledger = ledger
        self._client = client
        self._clock = clock
        self._rng = rng
        self._audit = audit
        self._vms = VmWatch(clock)
        self._reconfigured = Signal()
        self._was_established: dict[str, bool] = {}

    def calls(self) -> tuple[UnaryCall, ...]:
        """Return the RPC handlers of this agent."""
        return (
            UnaryCall(FENCE, self._answer_fence),
            UnaryCall(LOOK_UP, self._answer_look_up),
            UnaryCall(HANDOVER, self._take_handover),
        )

    def configured(self, cfg: Configuration) -> None:
        """Apply a configuration that came into force."""
        self._homes.configure(cfg)
        self._reconfigured.notify()

    def listed(self, vms: VmList) -> None:
        """Apply the platform's list of VMs."""
        gone = self._vms.observe(vm.name for vm in vms.vms)
        if gone:
            self._homes.note_gone(gone)

    def admit(self, key: RunKey) -> Refuse | None:
        """Return why a key without a record may not run here, or None if it may."""
        return self._homes.admit(key)

    def keep_until(self, key: RunKey) -> float:
        """Return the timestamp until which the record of a key that starts now is kept."""
        return self._homes.keep_until(key)

    async def ask(self, question: LookUp) -> LookUpReply:
        """Ask the agent that made an attempt for its outcome.

        Raises:
            PeerError: The agent does not answer.
        """
        address = Address.parse(question.run.member.agent)
        reply: LookUpReply = await self._client.call(address, LOOK_UP, question, CALL_TIMEOUT)
        return reply

    async def run(self) -> None:
        """Request and renew the other agents' promises until cancelled."""
        while True:
            wait = RETRY_INTERVAL
            async with anyio.create_task_group() as tasks:
                for scope in self._homes.scopes():
                    tasks.start_soon(self._request_promises, scope)
            waits = [self._next_interval(scope) for scope in self._homes.scopes()]
            wait = min(waits, default=RETRY_INTERVAL)
            with anyio.move_on_after(self._rng.uniform(wait / 2, wait)):
                await self._reconfigured.wait()

    async def hand_over(self, until: float) -> bool:
        """Send the ledger to the other agents; return whether all of it was accepted.

        Args:
            until: Timestamp at which the attempt ends.
        """
        pending_handover = PendingHandover(self._homes, self._ledger)
        while not pending_handover.finished and self._clock.monotonic() < until:
            async with anyio.create_task_group() as tasks:
                for receiver, part in pending_handover.pending():
                    tasks.start_soon(self._send_part, pending_handover, receiver, part)
            if not pending_handover.finished:
                await anyio.sleep(HANDOVER_RETRY_INTERVAL)
        return pending_handover.finished

    def close(self) -> None:
        """Stop starting keys that have no record."""
        self._homes.close()

    async def _request_promises(self, scope: str) -> None:
        async with anyio.create_task_group() as tasks:
            for member, request in self._homes.requests(scope):
                tasks.start_soon(self._request, member, request)
        self._note_change(scope)

    async def _request(self, member: Member, request: FenceRequest) -> None:
        reply = await self._call(member, FENCE, request)
        if reply is not None:
            self._homes.take(reply, self._ledger)

    async def _send_part(
        self, pending_handover: PendingHandover, receiver: Member, part: Handover
    ) -> None:
        reply = await self._call(receiver, HANDOVER, part)
        if reply is not None:
            pending_handover.mark_accepted(reply)

    async def _call(self, member: Member, method: Method, message: FenceRequest | Handover) -> Any:
        try:
            return await self._client.call(
                Address.parse(member.agent), method, message, CALL_TIMEOUT
            )
        except PeerError as exc:
            logger.bind(peer=member.endpoint).debug("call {} failed: {}", method.path, exc)
            return None

    def _next_interval(self, scope: str) -> float:
        if isinstance(self._homes.status(scope), Missing):
            return RETRY_INTERVAL
        return self._homes.renewal(scope)

    def _note_change(self, scope: str) -> None:
        status = self._homes.status(scope)
        missing = status.members if isinstance(status, Missing) else ()
        established = not isinstance(status, Missing)
        if established == self._was_established.get(scope, False):
            return
        self._was_established[scope] = established
        after = "established" if established else "not established"
        before = "not established" if established else "established"
        reason = "all required promises received"
        if not established:
            reason = f"no promise received from: {', '.join(member.endpoint for member in missing)}"
        self._audit.record(Subject.MEMBER, scope, before, after, reason)

    async def _answer_fence(self, sender: str, request: FenceRequest) -> FenceReply:
        return self._homes.answer(request, self._ledger)

    async def _answer_look_up(self, sender: str, question: LookUp) -> LookUpReply:
        return self._ledger.look_up(question)

    async def _take_handover(self, sender: str, handover: Handover) -> HandoverTaken:
        return self._homes.take_handover(handover, self._ledger)
