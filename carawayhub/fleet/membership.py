"""Tracks which peers are alive, suspect, leaving or gone, as seen by one process.

It combines two sources: the process's own heartbeats over its links, and the platform's VM list,
which lags. Processes don't exchange these states: each evaluates only the peers that it has links
with, so a false report from another process can't evict a peer that answers.

* A silent link doesn't make its peer suspect: the link is replaced first, and the peer becomes
  *suspect* only if the new connection fails too.
* A suspect peer becomes *gone* once its VM is no longer in the VM list, or after
  ``GONE_AFTER_SECONDS``.
* A peer that answers is never gone: an empty or outdated VM list evicts no peer.
* A peer is *leaving* as soon as the configuration, the VM list or the peer itself reports it.
* A process that suspects most of its peers in most failure domains considers itself isolated and
  declares no peer gone until that ends.
* After a pause of the process, the state of a peer is unconfirmed until the peer answers again.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from carawayhub.clock import Clock
from carawayhub.fleet.flaps import FlapDamping
from carawayhub.platform.ports import VmList, VmState

GONE_AFTER_SECONDS = 60.0
MIN_ISOLATION_SUSPECTS = 3
MAX_RETIRED_INCARNATIONS = 4


class MemberState(Enum):
    """The state of a peer as seen by this process."""

    UNCONFIRMED = "unconfirmed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class LeavingSource(Enum):
    """The source that reports a peer as leaving."""

    CONFIGURATION = "configuration"
    VM_LIST = "vm_list"
    ITSELF = "itself"


@dataclass(frozen=True, slots=True)
class Member:
    """A peer to which this process keeps links.

    Attributes:
        name: Unique name over entries and agents.
        vm: Name of its VM in the platform's VM list.
        failure_domain: Failure domain of its VM.
        leaving: Whether the configuration marks it as leaving.
    """

    name: str
    vm: str
    failure_domain: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a peer's state, for the audit trail."""

    name: str
    before: MemberState
    after: MemberState
    reason: str


@dataclass(slots=True)
class _Record:
    member: Member
    state: MemberState = MemberState.UNCONFIRMED
    incarnation: int = 0
    retired: list[int] = field(default_factory=list)
    leaving: set[LeavingSource] = field(default_factory=set)
    suspected_at: float = 0.0
    was_listed: bool = False
    exempt_from_damping: bool = False


class Membership:
    """Tracks the state of the peers of one process.

    Args:
        clock: Source of time.
        report: Called with each change of state.
    """

    __slots__ = ("_clock", "_flaps", "_isolated", "_records", "_report", "_vms")

    def __init__(self, clock: Clock, report: Callable[[MemberChange], None] | None = None) -> None:
        self._clock = clock
        self._report = report
        self._flaps = FlapDamping(clock)
        self._records: dict[str, _Record] = {}
        self._vms: dict[str, VmState] | None = None
        self._isolated = False

    @property
    def isolated(self) -> bool:
        """Whether this process is probably isolated, rather than its peers having failed."""
        return self._isolated

    def set_peers(self, members: Iterable[Member]) -> None:
        """Set the peers to which links are kept; remove all others."""
        peers = {member.name: member for member in members}
        for name in [name for name in self._records if name not in peers]:
            del self._records[name]
            self._flaps.forget(name)
        for member in peers.values():
            record = self._records.setdefault(member.name, _Record(member))
            record.member = member
            self._set_leaving(record, LeavingSource.CONFIGURATION, member.leaving)
            self._apply_vm_list(record)
        self._update_isolated()

    def update_vm_list(self, vms: VmList) -> None:
        """Apply a new VM list."""
        self._vms = {vm.name: vm.state for vm in vms.vms}
        for record in self._records.values():
            self._apply_vm_list(record)
        self.evaluate()

    def record_heartbeat(self, name: str, incarnation: int, leaving: bool = False) -> bool:
        """Process a heartbeat from a peer, or its reply to one.

        Returns:
            Whether it was accepted. Messages from a replaced incarnation may still arrive over an
            old connection; they don't describe the running process and are ignored.
        """
        record = self._records.get(name)
        if record is None or incarnation in record.retired:
            return False
        if incarnation != record.incarnation:
            self._start_incarnation(record, incarnation)
        if record.state is MemberState.SUSPECT and not record.exempt_from_damping:
            self._flaps.record_recovery(name)
        record.exempt_from_damping = False
        self._set_leaving(
            record, LeavingSource.ITSELF, leaving or LeavingSource.ITSELF in record.leaving
        )
        if self._set_answering(record, "answered"):
            self._update_isolated()
        return True

    def failed(self, name: str, reason: str) -> None:
        """Record that a connection failed after the previous one to the peer went silent or ended.

        Call this only if the connection was never established. An established connection that goes
        silent is replaced without calling this method.
        """
        record = self._records.get(name)
        if record is None:
            return
        if record.state not in (MemberState.SUSPECT, MemberState.GONE):
            record.suspected_at = self._clock.monotonic()
            self._set_state(record, MemberState.SUSPECT, reason)
            self._update_isolated()
        self.evaluate()

    def evaluate(self) -> None:
        """Declare peers gone that have been suspect too long; call every few seconds."""
        if self._isolated:
            return
        now = self._clock.monotonic()
        for record in self._records.values():
            if record.state is not MemberState.SUSPECT:
                continue
            if self._left_vm_list(record):
                self._set_state(record, MemberState.GONE, "no longer in the VM list")
            elif now - record.suspected_at >= GONE_AFTER_SECONDS:
                self._set_state(record, MemberState.GONE, "suspect for long")

    def reset_to_unconfirmed(self) -> None:
        """Set all live peers to unconfirmed; call after a pause of this process.

        After a pause every peer appears silent. Treating them as failed would evict the complete
        fleet; treating them as alive would send requests to peers that left during the pause.
        """
        now = self._clock.monotonic()
        for record in self._records.values():
            record.exempt_from_damping = True
            if record.state is MemberState.SUSPECT:
                record.suspected_at = now
            elif record.state is not MemberState.GONE:
                self._set_state(record, MemberState.UNCONFIRMED, "this process was paused")

    def mostly_confirmed(self) -> bool:
        """Return whether most peers have answered since the start or the last reset."""
        states = [record.state for record in self._records.values()]
        answered = states.count(MemberState.ALIVE) + states.count(MemberState.LEAVING)
        return states.count(MemberState.UNCONFIRMED) <= answered

    def state(self, name: str) -> MemberState:
        """Return the state of a peer; an unknown one is unconfirmed."""
        record = self._records.get(name)
        return MemberState.UNCONFIRMED if record is None else record.state

    def leaving(self, name: str) -> frozenset[LeavingSource]:
        """Return the sources that report a peer as leaving."""
        record = self._records.get(name)
        return frozenset() if record is None else frozenset(record.leaving)

    def usable(self, name: str) -> bool:
        """Return whether new work may go to a peer."""
        return self.state(name) is MemberState.ALIVE and not self._flaps.is_damped(name)

    def damped(self, name: str) -> bool:
        """Return whether a peer is excluded from use because of flapping."""
        return self._flaps.is_damped(name)

    def down(self) -> frozenset[str]:
        """Return the peers that are suspect or gone."""
        down = (MemberState.SUSPECT, MemberState.GONE)
        return frozenset(name for name, each in self._records.items() if each.state in down)

    def states(self) -> dict[str, MemberState]:
        """Return the state of each peer, by name."""
        return {name: record.state for name, record in self._records.items()}

    def _start_incarnation(self, record: _Record, incarnation: int) -> None:
        if record.incarnation:
            record.retired.append(record.incarnation)
            del record.retired[:-MAX_RETIRED_INCARNATIONS]
        record.incarnation = incarnation
        record.leaving.discard(LeavingSource.ITSELF)

    def _set_leaving(self, record: _Record, source: LeavingSource, leaving: bool) -> None:
        if leaving:
            record.leaving.add(source)
        else:
            record.leaving.discard(source)
        if record.state is MemberState.ALIVE and record.leaving:
            self._set_state(record, MemberState.LEAVING, f"{source.value} says so")
        elif record.state is MemberState.LEAVING and not record.leaving:
            self._set_state(record, MemberState.ALIVE, f"{source.value} no longer says leaving")

    def _set_answering(self, record: _Record, reason: str) -> bool:
        state = MemberState.LEAVING if record.leaving else MemberState.ALIVE
        if record.state is state:
            return False
        self._set_state(record, state, reason)
        return True

    def _apply_vm_list(self, record: _Record) -> None:
        if self._vms is None:
            return
        listed = self._vms.get(record.member.vm)
        record.was_listed = record.was_listed or listed is not None
        self._set_leaving(record, LeavingSource.VM_LIST, listed is VmState.LEAVING)

    def _left_vm_list(self, record: _Record) -> bool:
        # The VM list lags, so a VM that it has never contained may be new.
        return self._vms is not None and record.was_listed and record.member.vm not in self._vms

    def _update_isolated(self) -> None:
        counted = [each for each in self._records.values() if each.state is not MemberState.GONE]
        suspects = [each for each in counted if each.state is MemberState.SUSPECT]
        domains = {each.member.failure_domain for each in counted}
        suspect_domains = {each.member.failure_domain for each in suspects}
        # If this process is isolated, peers in all failure domains stop answering at once. If a
        # rack or failure domain fails, only its own peers do. Mistaking isolation for failed peers
        # would evict a healthy fleet.
        was_isolated = self._isolated
        self._isolated = (
            len(suspects) >= MIN_ISOLATION_SUSPECTS
            and len(suspects) * 2 > len(counted)
            and len(suspect_domains) * 2 > len(domains)
        )
        if self._isolated or was_isolated:
            # Suspicion during isolation isn't evidence of a failed peer: it doesn't count as
            # flapping, nor towards being gone while some peers remain to be reconnected.
            for record in suspects:
                record.exempt_from_damping = True
                record.suspected_at = self._clock.monotonic()

    def _set_state(self, record: _Record, state: MemberState, reason: str) -> None:
        before, record.state = record.state, state
        if self._report is not None and before is not state:
            self._report(MemberChange(record.member.name, before, state, reason))
