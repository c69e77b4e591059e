"""A fleet of processes with one lock-step group, whose ranks a test watches and troubles."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import httpcore
import msgspec

from carawayhub.codes import Code
from carawayhub.groups.orders import RankState
from carawayhub.standins.asks import Generate
from carawayhub.standins.checker import Evidence, StepSample, check
from carawayhub.standins.faults import RankFault
from carawayhub.standins.fleet import to_json
from carawayhub.standins.fleetshape import FleetShape, LockStepShape, NodePlan
from tests.processes import ProcessFleet, ProcessHandle, daemon_handle
from tests.stories import FleetTestCase, publish_everywhere, request, until

CHAT = "/v1/chat/completions"
MODEL = "assistant"
ALL = range(4)
TOLD_NOT_RUN = frozenset({Code.GROUP_BROKEN, Code.NO_ENDPOINT})
Kind = TypeVar("Kind")


def lock_step(checks_fencing: bool) -> FleetShape:
    """Return a fleet of one group: four ranks behind two engines in two failure domains."""
    group = LockStepShape(
        model=MODEL, checks_fencing=checks_fencing, checks_giver=True, decision_interval_s=0.25
    )
    return FleetShape(
        failure_domains=("attica", "patra"), entries=2, engines=0, services=0, lock_step=group
    )


def replacement_agent(fleet: ProcessFleet) -> ProcessHandle:
    """Return the agent of a VM that may replace that of rank 0; it is not started."""
    plan = fleet.plan
    leader = plan.lock_step[0].name
    (old,) = (each for each in plan.endpoints if each.name == leader)
    host = f"127.{plan.subnet}.230.1"
    node = NodePlan("replacement", old.node.failure_domain, host, host)
    settings = plan.agent_settings(old) | {
        "vm": "replacement",
        "peer_listen": f"{host}:7000",
        "peer_address": f"{host}:7000",
        "operator_listen": node.operators,
    }
    return daemon_handle(fleet, node, "agent", settings)


class GroupTestCase(FleetTestCase):
    """What the stories of lock-step groups share."""

    async def _tell(self, method: Callable[[], Awaitable[None]]) -> None:
        async def told() -> None:
            try:
                await method()
            finally:
                await self.faults({rank: RankFault() for rank in ALL})

        await super()._tell(told)

    @property
    def leader(self) -> str:
        """Name of the endpoint with rank 0 and of its agent."""
        return self.fleet.plan.lock_step[0].name

    @property
    def follower(self) -> str:
        """Name of the endpoint with the other ranks."""
        return self.fleet.plan.lock_step[1].name

    # What is done to the ranks and read from them, around all links.

    async def ranks(self, path: str, value: Any = None) -> None:
        """Switch something at the ranks."""
        await self._ask("POST", path, msgspec.json.encode(value))

    async def faults(self, faults: dict[int, RankFault]) -> None:
        """Replace what is wrong with some ranks."""
        for rank, fault in faults.items():
            await self.ranks(f"/control/ranks/{rank}/fault", fault)

    async def read(self, path: str, kind: type[Kind]) -> Kind:
        """Return something that the ranks tell of themselves."""
        return msgspec.json.decode(await self._ask("GET", path), type=kind)

    async def states(self) -> list[RankState]:
        """Return the state of each rank."""
        return await self.read("/control/states", list[RankState])

    async def _ask(self, method: str, path: str, content: bytes | None = None) -> bytes:
        async with httpcore.AsyncConnectionPool() as pool:
            url = f"http://{self.fleet.plan.ranks}{path}"
            response = await pool.request(method, url, content=content)
        self.assertEqual(response.status, 200, response.content)
        return response.content

    async def assert_one_map_and_steps(self) -> None:
        """Fail unless the group steps on, and no step was ever made under two maps."""
        entered = [state.entered for state in await self.states()]
        formations = [state.formation for state in await self.states()]
        self.assertEqual(len({str(each) for each in formations}), 1)
        await until(lambda: self._all_beyond(max(entered) + 5), "the group steps")
        steps = await self.read("/control/steps", list[StepSample])
        self.assertEqual(check(Evidence(steps=steps)).findings, [])
        self.assertEqual({step.rank for step in steps}, set(ALL))

    async def _all_beyond(self, step: int) -> bool:
        return all(state.entered >= step for state in await self.states())

    # What makes the agent beside rank 0 change the map.

    async def map_number(self) -> int:
        """Return the number of the map in force at all ranks, 0 where they differ."""
        found = {state.map for state in await self.states()}
        only = found.pop()
        return only.number if only is not None and not found else 0

    async def provoke(self) -> int:
        """Make an expert hot and have a new agent, which soon decides; return the map's number."""
        number = await self.map_number()
        await self.ranks("/control/hot", number % self.shape_of_group.experts)
        agent = self.fleet.daemons[self.leader]
        agent.kill()
        agent.start()
        return number

    @property
    def shape_of_group(self) -> LockStepShape:
        """What the group is made of."""
        assert self.shape.lock_step is not None
        return self.shape.lock_step

    async def until_map_beyond(self, number: int) -> None:
        """Wait until all ranks step on a newer map."""

        async def newer() -> bool:
            return await self.map_number() > number

        await until(newer, f"a map after {number}")

    async def until_armed(self, ranks: int) -> int:
        """Wait until so many ranks have agreed to a change; return the step of the switch."""
        steps: list[int] = []

        async def armed() -> bool:
            steps[:] = [each.armed.step for each in await self.states() if each.armed]
            return len(steps) >= ranks

        await until(armed, f"{ranks} ranks are armed")
        return steps[0]

    async def until_routed(self, routed: bool = True) -> None:
        """Wait until all entries may send the group requests, or may not."""

        async def seen() -> bool:
            for entry in self.entries:
                rows = (await self.fleet.status(entry))["endpoints"]
                if any((row["condition"] == "serving") is not routed for row in rows):
                    return False
            return True

        await until(seen, f"routed: {routed}")

    async def assert_refused_as_not_run(self) -> None:
        """Fail unless all entries refuse a request for the group and nothing of it runs."""
        before = len(self.runs())
        message = {"role": "user", "content": "which screw holds the lid"}
        body = {"model": MODEL, "messages": [message], "max_tokens": 4}
        for entry in self.entries:
            answer = await request(self.address(entry), CHAT, msgspec.json.encode(body))
            self.assertEqual(answer.error["outcome"], "not_run", answer.body)
            self.assertIn(answer.error["code"], TOLD_NOT_RUN)
        self.assertEqual(len(self.runs()), before)

    async def assert_answers(self) -> None:
        """Fail unless a request for the group is answered whole."""
        async with self.caller("after").open() as caller:
            record = await caller.call(Generate(model=MODEL, prompt="after", max_tokens=8))
        self.assert_whole([record])

    # The agent of a VM that replaces that of rank 0.

    def _replacement(self) -> Any:
        return replacement_agent(self.fleet)

    async def _publish_agent(self, vm: str) -> None:
        change = {"vm": vm, "agent": f"127.{self.fleet.plan.subnet}.230.1:7000"}
        step = to_json({"endpoints": {self.leader: change}})
        await publish_everywhere(self.fleet, "60-replaced.json", step, self.entries)

    async def _until_orders_of_another(self, given: dict[str, int], orders: int = 40) -> None:
        """Wait until some decider gave many more orders."""

        async def more() -> bool:
            now = await self.read("/control/givers", dict[str, int])
            return any(count - given.get(name, 0) >= orders for name, count in now.items())

        await until(more, "the decider goes on")

    def _grown(self, before: dict[str, int], after: dict[str, int]) -> int:
        return sum(count > before.get(name, 0) for name, count in after.items())
