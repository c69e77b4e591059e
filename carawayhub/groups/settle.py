"""Giving the orders of one change until its verdict has reached every rank."""

from collections.abc import Mapping, Sequence

import anyio

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.change import ChangeProgress, Verdict
from carawayhub.groups.orders import Order, Read, Reply
from carawayhub.groups.ranks import RankPort
from carawayhub.groups.rounds import ORDER_TIMEOUT_SECONDS, send_orders

ASK_AGAIN = 0.02
PAUSE_NOTICED = 3 * ORDER_TIMEOUT_SECONDS


async def settle(
    ports: Sequence[RankPort],
    handling: ChangeProgress,
    clock: Clock,
    agree_by: float,
    lost_after: float,
) -> Verdict:
    """Bring a change to its end and return the verdict.

    Cancelling it, or an error, is safe at any point: whoever reads the ranks next goes on.

    Args:
        ports: All ranks in order.
        handling: The change as far as it is known.
        clock: Source of time.
        agree_by: Clock reading from which the change is withdrawn if not all ranks agreed.
        lost_after: Seconds of a rank's silence after which it counts as lost.

    Raises:
        GroupError: CHANGE_OVERTAKEN where a rank obeys another decider, GROUP_BROKEN where a rank
            has left the formation, so that no step can be made under either map,
            RANK_UNREACHABLE where a rank is lost; the others have what can be told without it.
    """
    silent_since: dict[int, float] = {}
    while not handling.settled:
        round_began = clock.monotonic()
        if round_began >= agree_by and not handling.withdrawing:
            handling = handling.withdraw()
        known = handling
        orders = _orders(ports, handling)
        replies = await send_orders(ports, orders)
        handling = _learn(handling, replies)
        # A paused process wakes with orders in mind that fitted the ranks of long ago. They could
        # do no harm, as votes stay, but would only be refused: read the ranks first.
        if clock.monotonic() - round_began > PAUSE_NOTICED:
            handling = _learn(handling, await send_orders(ports, _reads(handling)))
        _check_heard(silent_since, orders, replies, round_began, lost_after)
        if handling == known:
            await anyio.sleep(ASK_AGAIN)
    return handling.verdict


def _orders(ports: Sequence[RankPort], handling: ChangeProgress) -> dict[int, Order]:
    wanted = ((port.rank, handling.order(port.rank)) for port in ports)
    return {rank: order for rank, order in wanted if order is not None}


def _check_heard(
    silent_since: dict[int, float],
    orders: Mapping[int, Order],
    replies: Mapping[int, Reply],
    now: float,
    lost_after: float,
) -> None:
    for rank in orders:
        if rank in replies:
            silent_since.pop(rank, None)
        elif now - silent_since.setdefault(rank, now) >= lost_after:
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {rank} is silent in a change")


def _reads(handling: ChangeProgress) -> dict[int, Order]:
    return {rank: Read(term=handling.term) for rank in range(len(handling.votes))}


def _learn(handling: ChangeProgress, replies: Mapping[int, Reply]) -> ChangeProgress:
    for rank, reply in replies.items():
        formation = reply.state.formation
        if formation is None or formation.id != handling.change.formation:
            raise GroupError(Code.GROUP_BROKEN, f"rank {rank} left the formation")
        handling = handling.with_state(reply.state)
    return handling
