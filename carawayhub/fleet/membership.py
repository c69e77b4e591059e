"""Who is alive, suspect, leaving or gone, in the view of one process.

Two sources are joined: the process's own heartbeats over its links, and the platform's list of VMs,
which lags. Views are not passed on to others: each process judges the peers that it has links with,
so no rumour can evict a peer that answers.

* A silent link is no ground for suspicion: the link is replaced first, and only a new connection
  that fails too makes its peer *suspect*.
* A suspect peer is *gone* once the VM list no longer has its VM, or after ``GONE_AFTER``.
* A peer that answers is never gone, whatever the list says: an empty or old list evicts nobody.
* A peer is *leaving* as soon as any source says so: configuration, VM list, the peer itself.
* A process that suspects most of its peers in most failure domains suspects itself: it declares
  nobody gone meanwhile.
* What a process knew before it was paused counts as unconfirmed until a peer answers again.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from carawayhub.clock import Clock
from carawayhub.fleet.flaps import FlapDamping
from carawayhub.platform.ports import VmList, VmState

GONE_AFTER = 60.0
FEWEST_SUSPECTS = 3
INCARNATIONS_KEPT = 4


class MemberState(Enum):
    """What a process holds of a peer."""

    UNCONFIRMED = "unconfirmed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class LeavingSource(Enum):
    """Who says that a peer is leaving."""

    CONFIGURATION = "configuration"
    VM_LIST = "vm_list"
    ITSELF = "itself"


@dataclass(frozen=True, slots=True)
class Member:
    """A peer that links are kept with.

    Attributes:
        name: Its name, unique over entries and agents.
        vm: Name of its VM in the platform's list.
        failure_domain: Where it stands.
        leaving: Whether the configuration says that it is leaving.
    """

    name: str
    vm: str
    failure_domain: str
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A peer's state changed; for the audit trail."""

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
    excused: bool = False


class Membership:
    """The peers of one process.

    Args:
        clock: Source of time.
        report: Takes each change of state.
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
        """Whether this process is more likely cut off than its peers dead."""
        return self._isolated

    def expect(self, members: Iterable[Member]) -> None:
        """Set the peers that links are kept with; those no longer named are dropped."""
        wanted = {member.name: member for member in members}
        for name in [name for name in self._records if name not in wanted]:
            del self._records[name]
            self._flaps.forget(name)
        for member in wanted.values():
            record = self._records.setdefault(member.name, _Record(member))
            record.member = member
            self._mark(record, LeavingSource.CONFIGURATION, member.leaving)
            self._compare(record)
        self._judge_self()

    def listed(self, vms: VmList) -> None:
        """Take a new list of VMs."""
        self._vms = {vm.name: vm.state for vm in vms.vms}
        for record in self._records.values():
            self._compare(record)
        self.evaluate()

    def heard(self, name: str, incarnation: int, leaving: bool = False) -> bool:
        """Take a heartbeat of a peer or the reply to one.

        Returns:
            Whether it counts. Messages of an incarnation that a later one has replaced may still
            arrive over an old connection, and say nothing of the process that runs now.
        """
        record = self._records.get(name)
        if record is None or incarnation in record.retired:
            return False
        if incarnation != record.incarnation:
            self._restarted(record, incarnation)
        if record.state is MemberState.SUSPECT and not record.excused:
            self._flaps.returned(name)
        record.excused = False
        self._mark(record, LeavingSource.ITSELF, leaving or LeavingSource.ITSELF in record.leaving)
        if self._settle(record, "answered"):
            self._judge_self()
        return True

    def failed(self, name: str, reason: str) -> None:
        """Note that a new connection to a peer failed, after the one before went silent or ended.

        Call this for the failure of a connection that was never up only; a connection that was up
        and fell silent is replaced without a word to this class.
        """
        record = self._records.get(name)
        if record is None:
            return
        if record.state not in (MemberState.SUSPECT, MemberState.GONE):
            record.suspected_at = self._clock.monotonic()
            self._enter(record, MemberState.SUSPECT, reason)
            self._judge_self()
        self.evaluate()

    def evaluate(self) -> None:
        """Declare gone what has been suspect for long; call each few seconds."""
        if self._isolated:
            return
        now = self._clock.monotonic()
        for record in self._records.values():
            if record.state is not MemberState.SUSPECT:
                continue
            if self._unlisted(record):
                self._enter(record, MemberState.GONE, "no longer in the VM list")
            elif now - record.suspected_at >= GONE_AFTER:
                self._enter(record, MemberState.GONE, "suspect for long")

    def distrust(self) -> None:
        """Take all live peers for unconfirmed; call after a pause of this process.

        Every peer seems silent to a process that was paused. Held against them, that would evict
        the whole fleet; trusted, requests would go to peers that left meanwhile.
        """
        now = self._clock.monotonic()
        for record in self._records.values():
            record.excused = True
            if record.state is MemberState.SUSPECT:
                record.suspected_at = now
            elif record.state is not MemberState.GONE:
                self._enter(record, MemberState.UNCONFIRMED, "this process was paused")

    def confirmed(self) -> bool:
        """Return whether most peers have answered since the start or the last ``distrust``."""
        states = [record.state for record in self._records.values()]
        answered = states.count(MemberState.ALIVE) + states.count(MemberState.LEAVING)
        return states.count(MemberState.UNCONFIRMED) <= answered

    def state(self, name: str) -> MemberState:
        """Return the state of a peer; an unknown one is unconfirmed."""
        record = self._records.get(name)
        return MemberState.UNCONFIRMED if record is None else record.state

    def leaving(self, name: str) -> frozenset[LeavingSource]:
        """Return who says that a peer is leaving."""
        record = self._records.get(name)
        return frozenset() if record is None else frozenset(record.leaving)

    def usable(self, name: str) -> bool:
        """Return whether new work may go to a peer."""
        return self.state(name) is MemberState.ALIVE and not self._flaps.is_out(name)

    def damped(self, name: str) -> bool:
        """Return whether a peer is kept out of use for having come and gone too often."""
        return self._flaps.is_out(name)

    def down(self) -> frozenset[str]:
        """Return the peers that are suspect or gone."""
        down = (MemberState.SUSPECT, MemberState.GONE)
        return frozenset(name for name, each in self._records.items() if each.state in down)

    def states(self) -> dict[str, MemberState]:
        """Return the state of each peer, by name."""
        return {name: record.state for name, record in self._records.items()}

    def _restarted(self, record: _Record, incarnation: int) -> None:
        if record.incarnation:
            record.retired.append(record.incarnation)
            del record.retired[:-INCARNATIONS_KEPT]
        record.incarnation = incarnation
        record.leaving.discard(LeavingSource.ITSELF)

    def _mark(self, record: _Record, source: LeavingSource, leaving: bool) -> None:
        if leaving:
            record.leaving.add(source)
        else:
            record.leaving.discard(source)
        if record.state is MemberState.ALIVE and record.leaving:
            self._enter(record, MemberState.LEAVING, f"{source.value} says so")
        elif record.state is MemberState.LEAVING and not record.leaving:
            self._enter(record, MemberState.ALIVE, f"{source.value} no longer says leaving")

    def _settle(self, record: _Record, reason: str) -> bool:
        state = MemberState.LEAVING if record.leaving else MemberState.ALIVE
        if record.state is state:
            return False
        self._enter(record, state, reason)
        return True

    def _compare(self, record: _Record) -> None:
        if self._vms is None:
            return
        listed = self._vms.get(record.member.vm)
        record.was_listed = record.was_listed or listed is not None
        self._mark(record, LeavingSource.VM_LIST, listed is VmState.LEAVING)

    def _unlisted(self, record: _Record) -> bool:
        # A VM that the list never had may be too new for a list that lags.
        return self._vms is not None and record.was_listed and record.member.vm not in self._vms

    def _judge_self(self) -> None:
        counted = [each for each in self._records.values() if each.state is not MemberState.GONE]
        suspects = [each for each in counted if each.state is MemberState.SUSPECT]
        domains = {each.member.failure_domain for each in counted}
        suspect_domains = {each.member.failure_domain for each in suspects}
        # When this process itself is cut off, peers in all failure domains stop answering at once.
        # When a rack or a failure domain fails, its peers alone do. Taking the first for the second
        # would evict a healthy fleet.
        was_isolated = self._isolated
        self._isolated = (
            len(suspects) >= FEWEST_SUSPECTS
            and len(suspects) * 2 > len(counted)
            and len(suspect_domains) * 2 > len(domains)
        )
        if self._isolated or was_isolated:
            # Suspicion from that time says nothing of the peers: it neither counts as flapping
            # nor towards being gone when most are back and some have yet to be reached.
            for record in suspects:
                record.excused = True
                record.suspected_at = self._clock.monotonic()

    def _enter(self, record: _Record, state: MemberState, reason: str) -> None:
        before, record.state = record.state, state
        if self._report is not None and before is not state:
            self._report(MemberChange(record.member.name, before, state, reason))
