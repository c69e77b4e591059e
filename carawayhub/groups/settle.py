"""Sends the orders of one change until every rank has the verdict."""

from collections.abc import Mapping, Sequence

import anyio

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import GroupError
from carawayhub.groups.change import ChangeProgress, Verdict
from carawayhub.groups.orders import Order, Read, Reply
from carawayhub.groups.ranks import RankPort
from carawayhub.groups.rounds import ORDER_TIMEOUT_SECONDS, send_orders

RETRY_SECONDS = 0.02
PAUSE_THRESHOLD_SECONDS = 3 * ORDER_TIMEOUT_SECONDS


async def settle(
    ports: Sequence[RankPort],
    handling: ChangeProgress,
    clock: Clock,
    agree_by: float,
    lost_after: float,
) -> Verdict:
    """Complete a change and return the verdict.

    Cancellation or an error is safe at any point: the next decider that reads the ranks resumes the
    change.

    Args:
        ports: All ranks in order.
        handling: The known state of the change.
        clock: Source of time.
        agree_by: Clock timestamp from which the change is withdrawn unless all ranks have agreed.
        lost_after: Seconds without a reply after which a rank counts as lost.

    Raises:
        GroupError: CHANGE_OVERTAKEN if a rank obeys another decider; GROUP_BROKEN if a rank has
            left the formation, so that no step can run under either map; RANK_UNREACHABLE if a rank
            is lost, after the other ranks were sent everything that does not depend on it.
    """
    silent_since: dict[int, float] = {}
    while not handling.settled:
        round_began = clock.monotonic()
        if round_began >= agree_by and not handling.withdrawing:
            handling = handling.withdraw()
        known = handling
        orders = _orders(ports, handling)
        replies = await send_orders(ports, orders)
        handling = _merge_replies(handling, replies)
        # After a pause of this process its orders are based on outdated rank states. They are
        # harmless, since ranks keep their votes, but would be rejected: read the ranks first.
        if clock.monotonic() - round_began > PAUSE_THRESHOLD_SECONDS:
            handling = _merge_replies(handling, await send_orders(ports, _reads(handling)))
        _check_silence(silent_since, orders, replies, round_began, lost_after)
        if handling == known:
            await anyio.sleep(RETRY_SECONDS)
    return handling.verdict


def _orders(ports: Sequence[RankPort], handling: ChangeProgress) -> dict[int, Order]:
    rank_orders = ((port.rank, handling.order(port.rank)) for port in ports)
    return {rank: order for rank, order in rank_orders if order is not None}


def _check_silence(
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
            raise GroupError(Code.RANK_UNREACHABLE, f"rank {rank} did not reply during a change")


def _reads(handling: ChangeProgress) -> dict[int, Order]:
    return {rank: Read(term=handling.term) for rank in range(len(handling.votes))}


def _merge_replies(handling: ChangeProgress, replies: Mapping[int, Reply]) -> ChangeProgress:
    for rank, reply in replies.items():
        formation = reply.state.formation
        if formation is None or formation.id != handling.change.formation:
            raise GroupError(Code.GROUP_BROKEN, f"rank {rank} left the formation")
        handling = handling.with_state(reply.state)
    return handling
