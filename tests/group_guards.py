"""Guards of lock-step groups that ``tests.unguarded`` can take out of a daemon."""

from collections.abc import Callable
from typing import Any

Replace = Callable[[object, str, object], None]


def hasty_verdict(replace: Replace) -> None:
    """Have a change committed as soon as one rank has agreed."""
    from carawayhub.groups import change

    def hasty(votes: Any) -> change.Verdict:
        agreed = {change.Vote.AGREED, change.Vote.COMMITTED}
        return change.Verdict.COMMIT if agreed & {*votes} else change.Verdict.OPEN

    replace(change, "verdict", hasty)


def orders_after_a_pause(replace: Replace) -> None:
    """Have a paused agent go on with its orders when it wakes, also with those it had begun."""
    from carawayhub.agent.checked_rank import CheckedRank
    from carawayhub.clock import SystemClock
    from carawayhub.endpoints.checkedwrites import CheckedNetwork

    async def unchecked(self: Any, order: Any) -> Any:
        return await self._port.order(order)

    def any_write(self: Any, may_send: Any, clock: Any = None) -> None:
        self._may_send = lambda: True
        self._clock = clock or SystemClock()

    replace(CheckedRank, "order", unchecked)
    replace(CheckedNetwork, "__init__", any_write)


def lease_of_a_decider(replace: Replace) -> None:
    """Have an agent order ranks for as long as its own configuration says so."""
    from carawayhub.agent.leasekeeper import LeaseKeeper

    replace(LeaseKeeper, "valid", lambda self: True)


def routing_without_leader(replace: Replace) -> None:
    """Have each endpoint of a group judged by its own agent alone."""
    from carawayhub.routing.candidate import Candidate

    replace(Candidate, "group_failed", property(lambda self: False))


def standing_of_the_group(replace: Replace) -> None:
    """Have agents beside further ranks not ask whether their group can step."""
    from carawayhub.agent.follower import GroupFollower

    replace(GroupFollower, "configured", lambda self, cfg: None)


GUARDS: dict[str, Callable[[Replace], None]] = {
    "votes-of-all-ranks": hasty_verdict,
    "orders-after-a-pause": orders_after_a_pause,
    "lease-of-a-decider": lease_of_a_decider,
    "leader-of-a-group": routing_without_leader,
    "standing-of-the-group": standing_of_the_group,
}
