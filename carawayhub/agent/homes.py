"""The fences of all scopes at one agent, which decide the idempotency keys it may run.

Usage: call ``configure`` for each accepted configuration, send each request that ``requests``
returns to its member at each renewal (and each second while ``status`` is Missing), answer incoming
requests with ``answer`` and pass replies to ``take``.
"""

from collections.abc import Iterable

from carawayhub.agent.begin import Refuse
from carawayhub.agent.fence import RETRY_AFTER_SECONDS, Established, Fence, Missing
from carawayhub.agent.keyset import KeySet, KeySets, key_set
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    FenceReply,
    FenceRequest,
    Handover,
    HandoverTaken,
    Member,
    RunKey,
)
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration
from carawayhub.errors import PeerError

Requests = tuple[tuple[Member, FenceRequest], ...]


class Homes:
    """The idempotency keys that one agent incarnation keeps.

    Args:
        clock: The agent's clock.
        member: The agent's slot.
        incarnation: Random number that the agent drew when it started.
        timing: Retention, lease and renewal times of keys.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_fences",
        "_incarnation",
        "_sets",
        "_started",
        "_timing",
        "_version",
        "member",
    )

    def __init__(
        self,
        clock: Clock,
        member: Member,
        incarnation: int,
        timing: KeyTiming | None = None,
    ) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._timing = timing or KeyTiming()
        self._started = clock.monotonic()
        self._sets = KeySets()
        self._fences: dict[str, Fence] = {}
        self._version = -1
        self._closing = False
        self.member = member

    def configure(self, cfg: Configuration) -> None:
        """Apply an accepted configuration; one older than the current version is ignored."""
        self.adopt(self._sets.of(cfg), cfg.version)

    def adopt(self, sets: dict[str, KeySet], version: int) -> None:
        """Apply the key sets of configuration ``version``."""
        if version < self._version:
            return
        self._version = version
        for scope in {*self._fences, *sets}:
            self._fence(scope).adopt(sets.get(scope) or key_set(scope, ()), version)

    def home(self, key: RunKey) -> Member | None:
        """Return the agent that keeps ``key`` by the configuration in force here."""
        fence = self._fences.get(key.scope)
        return None if fence is None else fence.key_set.home(key)

    def admit(self, key: RunKey) -> Refuse | None:
        """Return why a key without a record may not run here, or None if it may.

        The result is valid only now: pass it to ``Ledger.begin`` with no ``await`` in between, or
        the key may have moved before its record exists.
        """
        fence = self._fences.get(key.scope)
        if fence is None:
            return Refuse(
                Code.RUN_HOME_UNREACHABLE,
                RETRY_AFTER_SECONDS,
                f"the agent has no configuration of {key.scope}",
            )
        return fence.admit(key)

    def key_ttl(self, scope: str) -> float:
        """Return the seconds for which a caller may retry a key of ``scope``."""
        return self._fences[scope].key_set.key_ttl

    def keep_until(self, key: RunKey) -> float:
        """Return the timestamp until which the record of ``key`` is kept if it starts now."""
        fence = self._fences.get(key.scope)
        return self._clock.monotonic() + (0.0 if fence is None else fence.retention)

    def sendable(self, scope: str, remaining: float) -> float:
        """Return for how long a caller may still send a key whose record is kept for ``remaining``.

        Both are in seconds; the difference covers delayed requests and clock drift.
        """
        key_set = self._fences[scope].key_set
        margin = self._timing.retention(key_set.key_ttl) - key_set.key_ttl
        return max(0.0, remaining - margin)

    def renewal(self, scope: str) -> float:
        """Return the seconds between two rounds of requests while ``scope`` is established."""
        return self._timing.renewal(self._fences[scope].key_set.key_ttl)

    def scopes(self) -> tuple[str, ...]:
        """Return the scopes whose key set contains this agent."""
        fences = self._fences.items()
        return tuple(sorted(name for name, one in fences if one.key_set.seat(self.member)))

    def key_set(self, scope: str) -> KeySet:
        """Return the key set of ``scope`` that is in force at this agent."""
        return self._fences[scope].key_set

    def status(self, scope: str) -> Established | Missing:
        """Return whether this agent is established for ``scope``."""
        return self._fences[scope].status()

    def quarantine(self, scope: str) -> float:
        """Return the seconds for which keys without an entry at this agent may have run."""
        return self._fences[scope].quarantine()

    def requests(self, scope: str) -> Requests:
        """Return the requests for promises and confirmations that are due."""
        return self._fences[scope].requests()

    def answer(self, request: FenceRequest, ledger: Ledger) -> FenceReply:
        """Answer a peer's request."""
        return self._fence(request.scope).answer(request, ledger)

    def take(self, reply: FenceReply, ledger: Ledger) -> bool:
        """Apply a peer's reply; return whether it was a valid promise."""
        return self._fence(reply.scope).accept_reply(reply, ledger)

    def take_handover(self, handover: Handover, ledger: Ledger) -> HandoverTaken:
        """Merge a part of the ledger of an agent that stops.

        Raises:
            PeerError: PEER_SILENT if this agent is stopping as well: entries that it accepted now
                would be lost with it. The sender retries until its own time limit.
        """
        if self._closing:
            raise PeerError(Code.PEER_SILENT, f"{self.member.endpoint} is also stopping")
        ledger.merge(handover.entries)
        self._fence(handover.scope).record_handover(handover)
        return HandoverTaken(
            scope=handover.scope,
            receiver=self.member,
            incarnation=handover.incarnation,
            part=handover.part,
        )

    def note_gone(self, vms: Iterable[str]) -> None:
        """Note VMs that the platform's list reports as gone; see ``VmWatch``."""
        gone = set(vms)
        for fence in self._fences.values():
            for member in {*fence.key_set.members, *fence.missing()}:
                if member.vm in gone and member != self.member:
                    fence.note_gone(member)

    def close(self) -> None:
        """Stop starting keys that have no record, since this agent stops."""
        self._closing = True
        for fence in self._fences.values():
            fence.closing = True

    @property
    def incarnation(self) -> int:
        """Random number that the agent drew when it started."""
        return self._incarnation

    def _fence(self, scope: str) -> Fence:
        fence = self._fences.get(scope)
        if fence is None:
            fence = Fence(
                self._clock, self.member, self._incarnation, scope, self._started, self._timing
            )
            fence.closing = self._closing
            self._fences[scope] = fence
        return fence
