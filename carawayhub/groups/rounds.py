"""Sends orders to many ranks concurrently and collects the replies."""

from collections.abc import Mapping, Sequence

import anyio

from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.orders import Order, Reply
from carawayhub.groups.ranks import RankPort

ORDER_TIMEOUT_SECONDS = 1.0


async def send_orders(
    ports: Sequence[RankPort],
    orders: Mapping[int, Order],
    *,
    timeout: float = ORDER_TIMEOUT_SECONDS,
    fenced_is_error: bool = True,
) -> dict[int, Reply]:
    """Send each rank its order and return the replies received within ``timeout`` seconds.

    A rank that is missing from the result may have obeyed, may not have, or may obey later.

    Raises:
        GroupError: CHANGE_OVERTAKEN if a rank has promised to obey another decider, LEASE_LAPSED if
            an order was not sent because this agent may no longer decide, RANK_MALFORMED if a reply
            names another rank.
    """
    replies: dict[int, Reply] = {}
    lease_errors: list[GroupError] = []

    async def send_one(rank: int, order: Order) -> None:
        try:
            with anyio.move_on_after(timeout):
                replies[rank] = await ports[rank].order(order)
        except GroupError as exc:
            if exc.code is Code.LEASE_LAPSED:
                lease_errors.append(exc)

    async with anyio.create_task_group() as tasks:
        for rank, order in orders.items():
            tasks.start_soon(send_one, rank, order)
    if lease_errors:
        raise lease_errors[0]
    for rank, reply in replies.items():
        if reply.code is Code.ORDER_FENCED and fenced_is_error:
            raise GroupError(
                Code.CHANGE_OVERTAKEN, f"rank {rank} promised to obey {reply.state.promised}"
            )
        if reply.state.rank != rank:
            raise GroupError(Code.RANK_MALFORMED, f"rank {rank} says it is {reply.state.rank}")
    return replies
