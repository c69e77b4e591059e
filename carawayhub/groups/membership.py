"""Whether the ranks of a group are in one formation, and how they come into one.

A rank that restarts, joins or is replaced is in no formation, and the others cannot step without
it. The group is then taken out of routing, all ranks join a new formation that begins with one
map, and it is routed to again. Ranks that step are always members of one formation, and a
formation begins with one map, so no step is made under two while the orders to join arrive.
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
    """Return whether all ranks are members of one formation of just these ranks."""
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
    """Return the map a new formation begins with: the newest that a rank holds, if it fits."""
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
    """Return the content of the map that a rank goes to.

    Raises:
        GroupError: RANK_MALFORMED where the content does not have the digest the rank named,
            RANK_UNREACHABLE where it does not answer.
    """
    wanted = state.next_map
    if wanted is None:
        raise GroupError(Code.RANK_MALFORMED, f"rank {port.rank} has no map")
    found = await port.read_map(wanted)
    if found.id != wanted:
        raise GroupError(Code.RANK_MALFORMED, f"rank {port.rank} gave {found.id}")
    return found


async def form(
    ports: Sequence[RankPort],
    states: Mapping[int, RankState],
    formation: Formation,
    term: Term,
    clock: Clock,
    deadline: float,
) -> None:
    """Have all ranks join ``formation``.

    Raises:
        GroupError: GROUP_BROKEN where a rank has gone elsewhere or the deadline passed; the ranks
            are to be read again.
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
