"""The sets of members that an agent stood at, and what vouches for a key at them."""

from dataclasses import dataclass

from carawayhub.agent.keyset import KeySet
from carawayhub.agent.keytiming import KeyTiming
from carawayhub.agent.messages import Member, RunKey
from carawayhub.clock import Clock

MAX_STAGES = 6


@dataclass(slots=True)
class Stage:
    """A set that this agent stands or stood at.

    Attributes:
        key_set: The set.
        ground: Reading from which keys without a record may run; none while not established.
    """

    key_set: KeySet
    ground: float | None = None


class Grounds:
    """The stages of one scope at one agent, newest last.

    Args:
        clock: The agent's clock.
        member: The agent's slot.
        scope: Service or model.
        timing: Times of keys.
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
        """The stage that the agent stands at."""
        return self._stages[-1]

    def enter(self, key_set: KeySet) -> None:
        """Begin a stage; the oldest is forgotten, which only costs keys that did not move."""
        self._stages = [*self._stages[1 - MAX_STAGES :], Stage(key_set)]

    def confirm(self, peer: Member, sent: float) -> None:
        """Note that a peer stands at this agent's set, as it was asked at reading ``sent``."""
        self._confirmed[peer] = max(self._confirmed.get(peer, sent), sent)

    def latest(self) -> float | None:
        """Return the latest ground of all stages."""
        return max((s.ground for s in self._stages if s.ground is not None), default=None)

    def ground(self, key: RunKey) -> float | None:
        """Return the reading from which ``key`` may run; none where nothing vouches for it.

        A key whose home was this agent at each set it stood at since an older stage did not move:
        what was promised at that stage still holds for it. Without this, each change of the set
        would stop all keys while one member cannot be reached.
        """
        now = self._clock.monotonic()
        best: float | None = None
        for stage in reversed(self._stages):
            if stage.key_set.home(key) != self._member:
                break
            if stage.ground is None or not self.confirmed(stage.key_set):
                continue
            best = stage.ground if best is None else min(best, stage.ground)
            if best <= now:
                break
        return best

    def confirmed(self, key_set: KeySet) -> bool:
        """Return whether a majority of the set's homes confirmed this agent within the lease.

        It guards against an agent that lives on with an old configuration while the platform's
        list calls its VM gone: its peers have moved on and confirm it no more, so it stops by its
        own clock before those that replaced it end their quarantine.
        """
        oldest = self._clock.monotonic() - self._timing.lease(key_set.key_ttl)
        homes = [seat.member for seat in key_set.seats if not seat.leaving]
        fresh = sum(self._confirmed.get(peer, oldest) > oldest for peer in homes)
        mine = int(self._member in homes)
        return 2 * (fresh + mine) > len(homes)
