"""The key sets that were in force at an agent, and from when a key may run under them."""

from dataclasses import dataclass

from carawayhub.agent.keyset import KeySet
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.messages import Member, RunKey
from carawayhub.clock import Clock

MAX_STAGES = 6


@dataclass(slots=True)
class Stage:
    """A key set that is or was in force at this agent.

    Attributes:
        key_set: The set.
        run_from: Timestamp from which keys without a record may run; None while not established.
    """

    key_set: KeySet
    run_from: float | None = None


class StageHistory:
    """The stages of one scope at one agent, newest last.

    Args:
        clock: The agent's clock.
        member: The agent's slot.
        scope: Service or model.
        timing: Retention, lease and renewal times of keys.
    """

    __slots__ = ("_clock", "_confirmed", "_member", "_stages", "_timing")

    def __init__(self, clock: Clock, member: Member, scope: str, timing: KeyTiming) -> None:
        self._clock = clock
        self._member = member
        self._timing = timing
        self._confirmed: dict[Member, float] = {}
        self._stages = [Stage(KeySet(scope))]

    @property
    def current(self) -> Stage:
        """The stage in force."""
        return self._stages[-1]

    def enter(self, key_set: KeySet) -> None:
        """Add a stage. The oldest is dropped, which only delays keys that did not move."""
        self._stages = [*self._stages[1 - MAX_STAGES :], Stage(key_set)]

    def confirm(self, peer: Member, sent: float) -> None:
        """Note that a peer has this agent's set in force, by a request sent at ``sent``."""
        self._confirmed[peer] = max(self._confirmed.get(peer, sent), sent)

    def latest(self) -> float | None:
        """Return the latest ``run_from`` of all stages."""
        return max((s.run_from for s in self._stages if s.run_from is not None), default=None)

    def run_from(self, key: RunKey) -> float | None:
        """Return the timestamp from which ``key`` may run, or None if no stage permits it.

        A key whose home was this agent in each set since an older stage did not move: the promises
        of that stage are still valid for it. Without this, each change of the set would stop all
        keys while one member is unreachable.
        """
        now = self._clock.monotonic()
        best: float | None = None
        for stage in reversed(self._stages):
            if stage.key_set.home(key) != self._member:
                break
            if stage.run_from is None or not self.confirmed(stage.key_set):
                continue
            best = stage.run_from if best is None else min(best, stage.run_from)
            if best <= now:
                break
        return best

    def confirmed(self, key_set: KeySet) -> bool:
        """Return whether a majority of the set's homes confirmed this agent within the lease.

        Guards against an agent that keeps running with an old configuration while the platform's
        list reports its VM as gone. Its peers have a newer set and no longer confirm it, so it
        stops by its own clock before the agents that replaced it end their quarantine.
        """
        oldest = self._clock.monotonic() - self._timing.lease(key_set.key_ttl)
        homes = [seat.member for seat in key_set.seats if not seat.leaving]
        fresh = sum(self._confirmed.get(peer, oldest) > oldest for peer in homes)
        mine = int(self._member in homes)
        return 2 * (fresh + mine) > len(homes)
