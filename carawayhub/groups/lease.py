"""The lease of the agent that decides for a lock-step group.

An agent that receives no update cannot assume that it is still the decider: a newer configuration
may name another agent while this one was disconnected or suspended. So it issues orders only while
a majority of the group's witnesses, a few processes that are the same in every configuration, have
recently confirmed it. A witness confirms the agent that its own configuration names and reports for
how long it has named it. A newly named agent waits until the lease of its predecessor must have
expired. A witness stores nothing but its configuration; after a restart it counts from its start.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.config.model import Configuration, ModelGroup
from carawayhub.fleet.rendezvous import ranked

LEASE_SECONDS = 3.0
"""Validity of a confirmation from when it was requested; allows for three requests."""

MIN_NAMED_SECONDS = LEASE_SECONDS + 0.5
"""Time for which a witness must have named an agent: the lease of its predecessor and the transit
time of an order."""

MAX_WITNESSES = 3
"""Witnesses of a group: tolerates the loss of one; each further one costs a call a second."""

NOT_NAMED = -1.0


@dataclass(frozen=True, slots=True)
class Holder:
    """The agent that a configuration names as the decider of a group.

    Attributes:
        endpoint: Name of the endpoint that runs rank 0.
        agent: ``ip:port`` of the agent on the same VM.
        vm: Name of the VM of both.
    """

    endpoint: str
    agent: str
    vm: str


@dataclass(frozen=True, slots=True)
class Witness:
    """A process that confirms a group's decider.

    Attributes:
        name: Name of the process.
        failure_domain: Failure domain that it runs in.
        address: Address at which it accepts calls.
    """

    name: str
    failure_domain: str
    address: Address


class NamedDeciders:
    """How long the configuration of a process has named the decider of each group.

    Args:
        clock: The clock of that process.
    """

    __slots__ = ("_clock", "_named")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._named: dict[str, tuple[Holder, float]] = {}

    def apply_configuration(self, cfg: Configuration) -> None:
        """Apply a configuration version that came into force."""
        now = self._clock.monotonic()
        before = self._named
        self._named = {}
        for group in cfg.groups.values():
            if group.ranks < 2:
                continue
            named = lease_holder(cfg, group)
            known, since = before.get(group.name, (None, now))
            self._named[group.name] = named, since if known == named else now

    def seconds_named(self, group: str, candidate: Holder) -> float:
        """Return for how long an agent has been named, or ``NOT_NAMED`` if it is not."""
        named, since = self._named.get(group, (None, 0.0))
        return self._clock.monotonic() - since if named == candidate else NOT_NAMED


class Lease:
    """Confirmations that one agent has received from the witnesses of its group.

    Args:
        clock: A clock that keeps running while the process is suspended.
        witnesses: Names of the witnesses. Without witnesses none can report a successor, and the
            lease never expires.
    """

    __slots__ = ("_clock", "_confirmed", "_witnesses")

    def __init__(self, clock: Clock, witnesses: Iterable[str]) -> None:
        self._clock = clock
        self._witnesses = frozenset(witnesses)
        self._confirmed: dict[str, float] = {}

    def change_witnesses(self, witnesses: Iterable[str]) -> None:
        """Replace the set of witnesses; confirmations of those that remain are kept."""
        self._witnesses = frozenset(witnesses)
        self._confirmed = {
            name: asked_at for name, asked_at in self._confirmed.items() if name in self._witnesses
        }

    def record_confirmation(self, witness: str, asked_at: float, seconds: float) -> None:
        """Record the reply of a witness.

        Args:
            witness: Name of the witness.
            asked_at: Timestamp of the request.
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
        """Timestamp from which no order may be issued."""
        if not self._witnesses:
            return float("inf")
        needed = len(self._witnesses) // 2 + 1
        newest = sorted(self._confirmed.values(), reverse=True)
        return newest[needed - 1] + LEASE_SECONDS if len(newest) >= needed else float("-inf")

    @property
    def valid(self) -> bool:
        """Whether an order may be issued now."""
        return self._clock.monotonic() < self.ends_at

    def ages(self) -> dict[str, float]:
        """Return the seconds since the latest confirmation was requested, by witness."""
        now = self._clock.monotonic()
        return {name: round(now - asked_at, 3) for name, asked_at in self._confirmed.items()}


def lease_holder(cfg: Configuration, group: ModelGroup) -> Holder:
    """Return the agent that a configuration names as the decider of a group."""
    endpoint = cfg.endpoints[group.endpoints[0]]
    return Holder(endpoint.name, endpoint.agent, endpoint.vm)


def select_witnesses(cfg: Configuration, group: ModelGroup) -> tuple[Witness, ...]:
    """Return the processes that confirm the decider of a group.

    They are entries and other agents of the group in the failure domains where it runs: a group
    that is disconnected as a whole keeps running, and a group that is split cannot step anyway.
    Their number is odd, since adding one to an odd number only adds a process that must answer.
    """
    domains = {cfg.endpoints[name].failure_domain for name in group.endpoints}
    entries = [
        Witness(f"entry {node.name}", node.failure_domain, Address.parse(node.peer_address))
        for node in cfg.entries.values()
    ]
    preferred_entries = [each for each in entries if each.failure_domain in domains] or entries
    others = [cfg.endpoints[name] for name in group.endpoints[1:]]
    agents = [
        Witness(f"agent {each.name}", each.failure_domain, Address.parse(each.agent))
        for each in others
    ]
    chosen = _spread(group.name, [*preferred_entries, *agents])[:MAX_WITNESSES]
    return tuple(chosen if len(chosen) % 2 else chosen[:-1])


def _spread(group: str, candidates: Sequence[Witness]) -> list[Witness]:
    """Order candidates so that every prefix of the list is spread over the failure domains."""
    by_name = {each.name: each for each in candidates}
    counts: dict[str, int] = {}
    sort_keys: list[tuple[int, int, Witness]] = []
    for position, name in enumerate(ranked(f"lease {group}", by_name)):
        each = by_name[name]
        nth = counts[each.failure_domain] = counts.get(each.failure_domain, 0) + 1
        sort_keys.append((nth, position, each))
    return [each for _, _, each in sorted(sort_keys, key=lambda sort_key: sort_key[:2])]
