"""What a pool tells and grants while one of several groups stands still."""

import random
import unittest

import anyio

from benchmarks.virtual_time import LoopClock, run
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.health import Health
from carawayhub.gateway.line import RETRY_PART
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.model import GroupMembership
from carawayhub.gateway.outage import UNKNOWN_LEFT
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.view import FleetView
from tests.gateway_world import endpoint, route, table

DEADLINE = 12.0


class World:
    """Two groups of one place each; the second lost a rank and stands still."""

    def __init__(self) -> None:
        clock = LoopClock()
        rng = random.Random(3)
        self.view = FleetView(clock, 1.2)
        self.revision = 1
        first = TablePublished(table(1, route()))
        self.view.replace(Published(revision=1, changes=(first, *self.groups(False))))
        retries = RetryShare(clock, 0.2, 88.0, 10.0)
        self.pool = ServicePool("llm", self.view, Loads(), Health(clock), clock, rng, retries)
        self.pool.look_at_groups()

    def groups(self, second_stands: bool) -> list[EndpointPublished]:
        """Return both groups as they register themselves."""
        seats = [
            GroupMembership("g0", 1, 0, True, 1),
            GroupMembership("g1", 1 + second_stands, 0, second_stands, 2),
        ]
        return [
            EndpointPublished(
                endpoint(f"i-{at}", address=f"127.0.0.{at + 1}:9", places=1, membership=seat)
            )
            for at, seat in enumerate(seats)
        ]

    def stand_again(self) -> None:
        """Let the second group form."""
        self.revision += 1
        changes = tuple(self.groups(True))
        self.view.extend(Published(revision=self.revision, changes=changes))
        self.pool.look_at_groups()
        self.pool.serve_line()

    def call(self, *, returned: bool = False, left: float = DEADLINE) -> Admitted:
        """Return a request that has just come."""
        now = LoopClock().monotonic()
        return Admitted(
            req=CallerRequest(
                id=b"r",
                method="POST",
                host="caraway.example",
                path="/songs/1",
                target=b"/songs/1",
                headers=[],
                key="",
                wait_seconds=left,
                prompt_tokens=10,
                answer_tokens=10,
                last_event_id=b"",
            ),
            route=route(timeout=DEADLINE),
            service="llm",
            organisation=None,
            arrived_at=now,
            ends_at=now + left,
            returned=returned,
            work=Work(1, 10, 10),
        )

    async def ask(self, **wish: object) -> float:
        """Ask for a place; return the time after which it came.

        Raises:
            RequestError: It was turned away.
        """
        began_at = LoopClock().monotonic()
        await self.pool.take(self.call(**wish), began_at)  # type: ignore[arg-type]
        return LoopClock().monotonic() - began_at


class PartlyOutTest(unittest.TestCase):
    """The group that serves is full, and another one is expected back."""

    def test_refused_callers_are_asked_back_when_the_group_is_expected(self) -> None:
        """Guards against callers that spend their one further try while the group is away."""

        async def story() -> None:
            world = World()
            await world.ask()
            with self.assertRaises(RequestError) as caught:
                await world.ask()
            self.assertGreaterEqual(caught.exception.retry_after, UNKNOWN_LEFT - 0.5)
            self.assertLessEqual(caught.exception.retry_after, RETRY_PART * DEADLINE)

        run(story)

    def test_caller_that_has_come_back_waits_for_the_group(self) -> None:
        """Guards against a second refusal just before there are places."""

        async def story() -> None:
            world = World()
            await world.ask()
            waited: list[float] = []

            async def come_back() -> None:
                waited.append(await world.ask(returned=True, left=5.0))

            async with anyio.create_task_group() as tasks:
                await anyio.sleep(UNKNOWN_LEFT - 1.0)
                tasks.start_soon(come_back)
                await anyio.sleep(1.0)
                world.stand_again()
            self.assertAlmostEqual(waited[0], 1.0, delta=0.1)

        run(story)

    def test_nobody_waits_for_a_group_that_stays_away(self) -> None:
        """Guards against callers held for a group of which nothing is known for long."""

        async def story() -> None:
            world = World()
            await world.ask()
            await anyio.sleep(30.0)
            began_at = LoopClock().monotonic()
            with self.assertRaises(RequestError) as caught:
                await world.ask(returned=True, left=5.0)
            self.assertLess(LoopClock().monotonic() - began_at, 1.0)
            self.assertLess(caught.exception.retry_after, RETRY_PART * 5.0)

        run(story)


if __name__ == "__main__":
    unittest.main()
