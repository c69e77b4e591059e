"""Slots and retry times of a pool while one of several groups is stalled."""

import random
import unittest

import anyio

from benchmarks.virtual_time import LoopClock, run
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted, CallerRequest
from carawayhub.gateway.health import Health
from carawayhub.gateway.line import MAX_RETRY_AFTER_RATIO
from carawayhub.gateway.loads import Loads, Work
from carawayhub.gateway.model import GroupMembership
from carawayhub.gateway.outage import FIRST_OUTAGE_SECONDS
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.view import FleetView
from tests.gateway_world import endpoint, route, table

DEADLINE = 12.0


class World:
    """Two groups with one slot each; the second lost a rank and is stalled."""

    def __init__(self) -> None:
        clock = LoopClock()
        rng = random.Random(3)
        self.view = FleetView(clock, 1.2)
        self.revision = 1
        first = TablePublished(table(1, route()))
        self.view.replace(Published(revision=Revision(0, 1), changes=(first, *self.groups(False))))
        retries = RetryShare(clock, 0.2, 88.0, 10.0)
        self.pool = ServicePool("llm", self.view, Loads(), Health(clock), clock, rng, retries)
        self.pool.update_outages()

    def groups(self, second_available: bool) -> list[EndpointPublished]:
        """Return the registrations of both groups."""
        seats = [
            GroupMembership("g0", 1, 0, True, 1),
            GroupMembership("g1", 1 + second_available, 0, second_available, 2),
        ]
        return [
            EndpointPublished(
                endpoint(f"i-{at}", address=f"127.0.0.{at + 1}:9", places=1, membership=seat)
            )
            for at, seat in enumerate(seats)
        ]

    def recover_group(self) -> None:
        """Let the second group form, and serve the queue."""
        self.revision += 1
        changes = tuple(self.groups(True))
        self.view.extend(Published(revision=Revision(0, self.revision), changes=changes))
        self.pool.update_outages()
        self.pool.serve_queue()

    def call(self, *, returned: bool = False, left: float = DEADLINE) -> Admitted:
        """Return a request that has just arrived."""
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

    async def ask(self, **requirements: object) -> float:
        """Acquire a slot; return the seconds that it took.

        Raises:
            RequestError: The request was rejected.
        """
        began_at = LoopClock().monotonic()
        await self.pool.acquire(self.call(**requirements), began_at)  # type: ignore[arg-type]
        return LoopClock().monotonic() - began_at


class PartlyOutTest(unittest.TestCase):
    """The only available group is full, and another one is expected to recover."""

    def test_refused_callers_are_asked_back_when_the_group_is_expected(self) -> None:
        """Guards against callers that use up their one retry before the group is available."""

        async def scenario() -> None:
            world = World()
            await world.ask()
            with self.assertRaises(RequestError) as caught:
                await world.ask()
            self.assertGreaterEqual(caught.exception.retry_after, FIRST_OUTAGE_SECONDS - 0.5)
            self.assertLessEqual(caught.exception.retry_after, MAX_RETRY_AFTER_RATIO * DEADLINE)

        run(scenario)

    def test_caller_that_has_come_back_waits_for_the_group(self) -> None:
        """Guards against a second refusal shortly before slots become free."""

        async def scenario() -> None:
            world = World()
            await world.ask()
            waited: list[float] = []

            async def retry() -> None:
                waited.append(await world.ask(returned=True, left=5.0))

            async with anyio.create_task_group() as tasks:
                await anyio.sleep(FIRST_OUTAGE_SECONDS - 1.0)
                tasks.start_soon(retry)
                await anyio.sleep(1.0)
                world.recover_group()
            self.assertAlmostEqual(waited[0], 1.0, delta=0.1)

        run(scenario)

    def test_nobody_waits_for_a_group_that_stays_away(self) -> None:
        """Guards against callers that wait for a group without updates for a long time."""

        async def scenario() -> None:
            world = World()
            await world.ask()
            await anyio.sleep(30.0)
            began_at = LoopClock().monotonic()
            with self.assertRaises(RequestError) as caught:
                await world.ask(returned=True, left=5.0)
            self.assertLess(LoopClock().monotonic() - began_at, 1.0)
            self.assertLess(caught.exception.retry_after, MAX_RETRY_AFTER_RATIO * 5.0)

        run(scenario)


if __name__ == "__main__":
    unittest.main()
