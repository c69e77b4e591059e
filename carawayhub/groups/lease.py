"""The lease of the agent that decides for a lock-step group.

An agent can't tell from silence that it still decides: a newer configuration may name another, and
the agent may have been cut off or suspended since. So it orders only while most witnesses of its
group, a few processes that every configuration names alike, have lately confirmed it. A witness
confirms the agent that its own configuration names, and says for how long it has. An agent that was
named a moment ago waits until the lease of the one before it must have ended. No witness keeps
anything but its configuration, and one that has restarted counts from its start.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, ModelGroup
from carawayhub.fleet.rendezvous import ranked

LEASE_SECONDS = 3.0
"""Seconds for which a confirmation holds, counted from when it was asked for: three askings."""

MIN_NAMED_SECONDS = LEASE_SECONDS + 0.5
"""Seconds for which a witness must have named an agent: the lease of the one before it, and the
time that an order takes on its way."""

MAX_WITNESSES = 3
"""Witnesses of one group: one may be lost, and each more costs its agent a call a second."""

NOT_NAMED = -1.0


@dataclass(frozen=True, slots=True)
class Holder:
    """An agent that decides for a group, as a configuration names it.

    Attributes:
        endpoint: Name of the endpoint that holds rank 0.
        agent: ``ip:port`` of the agent beside it.
        vm: Name of the VM of both.
    """

    endpoint: str
    agent: str
    vm: str


@dataclass(frozen=True, slots=True)
class Witness:
    """A process that confirms a group's decider.

    Attributes:
        name: Its name.
        failure_domain: Where it stands.
        address: Where it takes calls.
    """

    name: str
    failure_domain: str
    address: Address


class NamedDeciders:
    """Since when the configuration in force at one process names each group's decider.

    Args:
        clock: The clock of that process.
    """

    __slots__ = ("_clock", "_named")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._named: dict[str, tuple[Holder, float]] = {}

    def apply_configuration(self, cfg: Configuration) -> None:
        """Take a version that came into force."""
        now = self._clock.monotonic()
        before = self._named
        self._named = {}
        for group in cfg.groups.values():
            if group.ranks < 2:
                continue
            named = lease_holder(cfg, group)
            known, since = before.get(group.name, (None, now))
            self._named[group.name] = named, since if known == named else now

    def seconds_named(self, group: str, asking: Holder) -> float:
        """Return for how long an agent has been named, ``NOT_NAMED`` where it is not."""
        named, since = self._named.get(group, (None, 0.0))
        return self._clock.monotonic() - since if named == asking else NOT_NAMED


class Lease:
    """What the witnesses of a group have confirmed to one agent.

    Args:
        clock: A clock that runs on while the process is suspended.
        witnesses: Names of the witnesses; without any there is nobody to tell of a successor, and
            the lease never ends.
    """

    __slots__ = ("_clock", "_confirmed", "_witnesses")

    def __init__(self, clock: Clock, witnesses: Iterable[str]) -> None:
        self._clock = clock
        self._witnesses = frozenset(witnesses)
        self._confirmed: dict[str, float] = {}

    def change_witnesses(self, witnesses: Iterable[str]) -> None:
        """Take another set of witnesses; what those in both confirmed stays."""
        self._witnesses = frozenset(witnesses)
        self._confirmed = {
            name: asked_at for name, asked_at in self._confirmed.items() if name in self._witnesses
        }

    def record_confirmation(self, witness: str, asked_at: float, seconds: float) -> None:
        """Take an answer.

        Args:
            witness: Who gave it.
            asked_at: Clock reading when it was asked for.
            seconds: For how long the witness has named this agent.
        """
        if witness not in self._witnesses:
            return
        if seconds < MIN_NAMED_SECONDS:
            self._confirmed.pop(witness, None)
            return
        self._confirmed[witness] = max(asked_at, self._confirmed.get(witness, asked_at))

    @property
    def ends_at(self) -> float:
        """Clock reading from which no order may be given."""
        if not self._witnesses:
            return float("inf")
        needed = len(self._witnesses) // 2 + 1
        newest = sorted(self._confirmed.values(), reverse=True)
        return newest[needed - 1] + LEASE_SECONDS if len(newest) >= needed else float("-inf")

    @property
    def valid(self) -> bool:
        """Whether an order may be given now."""
        return self._clock.monotonic() < self.ends_at

    def ages(self) -> dict[str, float]:
        """Return by witness the seconds since the newest confirmation was asked for."""
        now = self._clock.monotonic()
        return {name: round(now - asked_at, 3) for name, asked_at in self._confirmed.items()}


def lease_holder(cfg: Configuration, group: ModelGroup) -> Holder:
    """Return the agent that a configuration names to decide for a group."""
    endpoint = cfg.endpoints[group.endpoints[0]]
    return Holder(endpoint.name, endpoint.agent, endpoint.vm)


def select_witnesses(cfg: Configuration, group: ModelGroup) -> tuple[Witness, ...]:
    """Return who confirms the decider of a group.

    They are entries and further agents of the group in the failure domains where it runs: a group
    that is cut off as a whole goes on, and one that is cut in two can't step anyway. Their number
    is odd, since one more than an odd number only adds a process that must answer.
    """
    domains = {cfg.endpoints[name].failure_domain for name in group.endpoints}
    entries = [
        Witness(f"entry {node.name}", node.failure_domain, Address.parse(node.peer_address))
        for node in cfg.entries.values()
    ]
    near = [each for each in entries if each.failure_domain in domains] or entries
    others = [cfg.endpoints[name] for name in group.endpoints[1:]]
    agents = [
        Witness(f"agent {each.name}", each.failure_domain, Address.parse(each.agent))
        for each in others
    ]
    chosen = _spread(group.name, [*near, *agents])[:MAX_WITNESSES]
    return tuple(chosen if len(chosen) % 2 else chosen[:-1])


def _spread(group: str, candidates: Sequence[Witness]) -> list[Witness]:
    """Return candidates so that each beginning of the list is spread over failure domains."""
    by_name = {each.name: each for each in candidates}
    taken: dict[str, int] = {}
    places: list[tuple[int, int, Witness]] = []
    for at, name in enumerate(ranked(f"lease {group}", by_name)):
        each = by_name[name]
        turn = taken[each.failure_domain] = taken.get(each.failure_domain, 0) + 1
        places.append((turn, at, each))
    return [each for _, _, each in sorted(places, key=lambda place: place[:2])]
