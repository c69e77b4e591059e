"""Determines the agents that keep the idempotency keys of a service or model.

The home of a key depends on the configured endpoints alone, never on which of them seem alive: two
processes with different views of the fleet would otherwise send one key to two agents.
"""

import hashlib
from dataclasses import dataclass

from carawayhub.agent.messages import Member, RunKey
from carawayhub.config.model import Configuration, Endpoint, EndpointState

SCORE_BYTES = 8


@dataclass(slots=True, frozen=True)
class Seat:
    """A member of a key set, with its settings from the configuration.

    Attributes:
        member: Slot of the agent.
        leaving: Whether the configuration lists its endpoint as leaving.
        organisations: Organisations whose keys it may keep; empty for all.
    """

    member: Member
    leaving: bool = False
    organisations: tuple[str, ...] = ()

    def keeps(self, organisation: str) -> bool:
        """Return whether keys of ``organisation`` may have their home here."""
        if self.leaving:
            return False
        return not self.organisations or organisation in self.organisations


@dataclass(slots=True, frozen=True)
class KeySet:
    """The members of one scope under one configuration.

    Attributes:
        scope: Service or model.
        seats: Its members, sorted; empty if the configuration does not define the scope.
        key_ttl: Seconds after the first attempt during which a caller may retry a key.
        quarantine: Whether an agent that has just started rejects keys without a record for a time.
        digest: Digest of all other fields; two agents with the same digest agree on the home of
            every key.
    """

    scope: str
    seats: tuple[Seat, ...] = ()
    key_ttl: float = 600.0
    quarantine: bool = True
    digest: str = ""

    @property
    def members(self) -> tuple[Member, ...]:
        """The members' slots."""
        return tuple(seat.member for seat in self.seats)

    def seat(self, member: Member) -> Seat | None:
        """Return the seat of ``member``, or None if it is not in the set."""
        return next((seat for seat in self.seats if seat.member == member), None)

    def home(self, key: RunKey) -> Member | None:
        """Return the agent that keeps ``key``, or None if no member may."""
        return self.home_without(key, None)

    def home_without(self, key: RunKey, absent: Member | None) -> Member | None:
        """Return the agent that would keep ``key`` without ``absent``, by rendezvous hashing."""
        able = (seat.member for seat in self.seats if seat.keeps(key.organisation))
        base = hashlib.blake2b(digest_size=SCORE_BYTES)
        base.update(f"{key.scope}\0{key.organisation}\0{key.key}\0".encode())
        others = (member for member in able if member != absent)
        return max(others, key=lambda member: _score(base, member), default=None)


def key_set(
    scope: str, seats: tuple[Seat, ...], key_ttl: float = 600.0, quarantine: bool = True
) -> KeySet:
    """Return a key set with its digest."""
    ordered = tuple(sorted(seats, key=lambda seat: seat.member))
    text = repr((scope, [_as_tuple(seat) for seat in ordered], key_ttl, quarantine))
    digest = hashlib.sha256(text.encode()).hexdigest()[:32]
    return KeySet(scope, ordered, key_ttl, quarantine, digest)


def key_sets(cfg: Configuration) -> dict[str, KeySet]:
    """Return the key sets of all services and models in ``cfg``, by scope."""
    sets = [_service_set(cfg, name) for name in cfg.services]
    models = sorted({group.model for group in cfg.groups.values()})
    sets.extend(_model_set(cfg, model) for model in models)
    return {one.scope: one for one in sets}


class KeySets:
    """Cache of the key sets of the configuration in force.

    The sets are recomputed only if they may have changed. At 5,400 endpoints the computation takes
    longer than checking the version itself, and most versions change only capacities, limits and
    shares, not the members of a set.
    """

    __slots__ = ("_cfg", "_sets")

    def __init__(self) -> None:
        self._cfg: Configuration | None = None
        self._sets: dict[str, KeySet] = {}

    def of(self, cfg: Configuration) -> dict[str, KeySet]:
        """Return the result of ``key_sets``; the caller must not modify it."""
        if self._cfg is None or not _has_same_seats(self._cfg, cfg):
            self._sets = key_sets(cfg)
        self._cfg = cfg
        return self._sets


def _has_same_seats(old: Configuration, new: Configuration) -> bool:
    """Return whether all inputs of ``key_sets`` are equal; identical objects always are."""
    if old.fleet.key_ttl != new.fleet.key_ttl:
        return False
    if old.groups != new.groups or old.services != new.services:
        return False
    if old.endpoints.keys() != new.endpoints.keys():
        return False
    return all(
        before is after or _location(before) == _location(after)
        for before, after in zip(
            old.endpoints.values(), map(new.endpoints.__getitem__, old.endpoints), strict=True
        )
    )


def _location(endpoint: Endpoint) -> tuple[str, str, bool]:
    return endpoint.agent, endpoint.vm, endpoint.state is EndpointState.LEAVING


def service_scope(name: str) -> str:
    """Return the scope of a plain service."""
    return f"service/{name}"


def model_scope(name: str) -> str:
    """Return the scope of a model."""
    return f"model/{name}"


def unsafe_removals(old: Configuration, new: Configuration) -> tuple[tuple[str, Member], ...]:
    """Return members that ``new`` drops although ``old`` does not list them as leaving.

    Such an agent may still run keys until it receives the change itself, and an agent that starts
    afterwards may never receive any information about it.
    """
    after = key_sets(new)
    return tuple(
        (scope, seat.member)
        for scope, before in sorted(key_sets(old).items())
        for seat in before.seats
        if not seat.leaving and after.get(scope, KeySet(scope)).seat(seat.member) is None
    )


def _service_set(cfg: Configuration, name: str) -> KeySet:
    service = cfg.services[name]
    seats = tuple(_seat(cfg, endpoint, ()) for endpoint in service.endpoints)
    return key_set(service_scope(name), seats, service.key_ttl, service.key_quarantine)


def _model_set(cfg: Configuration, model: str) -> KeySet:
    groups = [group for group in cfg.groups.values() if group.model == model]
    seats = {
        endpoint: _seat(cfg, endpoint, tuple(sorted(group.organisations)))
        for group in groups
        for endpoint in group.endpoints
    }
    return key_set(model_scope(model), tuple(seats.values()), cfg.fleet.key_ttl)


def _seat(cfg: Configuration, name: str, organisations: tuple[str, ...]) -> Seat:
    endpoint = cfg.endpoints[name]
    member = Member(name, endpoint.agent, endpoint.vm)
    return Seat(member, endpoint.state is EndpointState.LEAVING, organisations)


def _as_tuple(seat: Seat) -> tuple[str, str, str, bool, tuple[str, ...]]:
    member = seat.member
    return (member.endpoint, member.agent, member.vm, seat.leaving, seat.organisations)


def _score(base: "hashlib.blake2b", member: Member) -> bytes:
    score = base.copy()
    score.update(member.endpoint.encode())
    return score.digest()
