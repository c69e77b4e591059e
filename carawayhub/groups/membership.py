"""Checks whether the ranks of a group are in one formation, and forms a new one.

A rank that restarts, joins or is replaced is in no formation, and the others cannot step without
it. The group is then removed from routing, all ranks join a new formation that begins with one
map, and the group is routed to again. Ranks that step are always members of the same formation,
so no step runs under two maps while the orders to join arrive.
"""

from collections.abc import Mapping, Sequence

import anyio

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import ModelGroup
from carawayhub.errors import GroupError
from carawayhub.groups.maps import ExpertMap, check_map, even_map
from carawayhub.groups.orders import Form, Formation, RankState, Term
from carawayhub.groups.ranks import RankPort
from carawayhub.groups.rounds import send_orders

RETRY_SECONDS = 0.05


def is_formed(states: Mapping[int, RankState], ranks: int) -> bool:
    """Return whether all ranks are in one formation that has no other members."""
    if len(states) < ranks:
        return False
    formation = states[0].formation
    if formation is None or len(formation.members) != ranks:
        return False
    return all(
        state.formation == formation and formation.members[rank] == state.incarnation
        for rank, state in states.items()
    )


def newest_version(states: Mapping[int, RankState]) -> int:
    """Return the highest configuration version that formed one of the ranks."""
    return max((s.formation.version for s in states.values() if s.formation), default=0)


async def starting_map(
    group: ModelGroup, ports: Sequence[RankPort], states: Mapping[int, RankState]
) -> ExpertMap:
    """Return the first map of a new formation.

    It is the newest map held by a rank that fits the configuration, or else an even map.
    """
    highest = 0
    maps = {state.next_map for state in states.values() if state.next_map is not None}
    for wanted in sorted(maps, reverse=True):
        highest = max(highest, wanted.number)
        holders = [rank for rank, state in states.items() if state.next_map == wanted]
        found = await read_map(ports[holders[0]], states[holders[0]])
        if _fits(found, group):
            return found
    fresh = even_map(
        ranks=group.ranks,
        experts=group.experts,
        layers=group.layers,
        spare_slots=group.spare_slots,
    )
    if highest == 0:
        return fresh
    return ExpertMap(number=highest + 1, ranks=fresh.ranks, layers=fresh.layers)


async def read_map(port: RankPort, state: RankState) -> ExpertMap:
    """Return the content of the next map of a rank.

    Raises:
        GroupError: RANK_MALFORMED if the rank has no map or the content does not match the digest
            it reported, RANK_UNREACHABLE if it does not answer.
    """
    wanted = state.next_map
    if wanted is None:
        raise GroupError(Code.RANK_MALFORMED, f"rank {port.rank} has no map")
    found = await port.read_map(wanted)
    if found.id != wanted:
        raise GroupError(Code.RANK_MALFORMED, f"rank {port.rank} returned another map: {found.id}")
    return found


async def form(
    ports: Sequence[RankPort],
    states: Mapping[int, RankState],
    formation: Formation,
    term: Term,
    clock: Clock,
    deadline: float,
) -> None:
    """Make all ranks join ``formation``.

    Raises:
        GroupError: GROUP_BROKEN if a rank has joined another formation or the deadline has passed;
            the ranks must then be read again.
    """
    waiting = set(states)
    while waiting:
        orders = {
            rank: Form(term=term, formation=formation, replaces=_formation_id(states[rank]))
            for rank in waiting
        }
        replies = await send_orders(ports, orders)
        for rank, reply in replies.items():
            if reply.state.formation == formation:
                waiting.discard(rank)
            elif reply.code is Code.ORDER_REFUSED:
                raise GroupError(Code.GROUP_BROKEN, f"rank {rank} did not join {formation.id}")
        if waiting and clock.monotonic() >= deadline:
            raise GroupError(Code.GROUP_BROKEN, f"ranks {sorted(waiting)} do not answer")
        if waiting:
            await anyio.sleep(RETRY_SECONDS)


def _formation_id(state: RankState) -> str:
    return state.formation.id if state.formation is not None else ""


def _fits(found: ExpertMap, group: ModelGroup) -> bool:
    slots = -(-group.experts // group.ranks) + group.spare_slots
    try:
        check_map(found, ranks=group.ranks, experts=group.experts, layers=group.layers, slots=slots)
    except GroupError:
        return False
    return True
