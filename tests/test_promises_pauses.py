"""A process that was frozen distrusts what it knows when it wakes."""

import anyio

from carawayhub.clock import SystemClock
from carawayhub.standins.asks import Book, Generate, to_wire
from carawayhub.standins.checker import LEAVING_GRACE_S, Leaving
from carawayhub.standins.faults import LinkFault
from carawayhub.standins.fleet import leaving_step
from carawayhub.standins.fleetshape import FleetShape
from carawayhub.standins.records import CallRecord
from tests.stories import FleetTestCase, RawAnswer, publish_everywhere, request, until

QUEUED = 6
AWAKE_S = 0.5
SILENCE = LinkFault(silent_to_target=True, silent_to_client=True)


class PauseTest(FleetTestCase):
    """Entries and agents that are stopped for some seconds and go on."""

    shape = FleetShape(
        failure_domains=("attica",), entries=2, engines=2, services=1, key_quarantine=False
    )

    async def pass_grace(self, since: float) -> None:
        """Wait until an endpoint that leaves since then may get no more work."""
        until_time = since + LEAVING_GRACE_S + 0.5
        await anyio.sleep(max(0.0, until_time - SystemClock().monotonic()))

    def cut_off(self, entry: str) -> None:
        """Let an entry hear nobody but callers and engines."""
        source = self.fleet.plan.node(entry).inner
        for name, link in self.fleet.proxy.links.items():
            if name.endswith(".peer") or name == "platform":
                link.state.set_fault(SILENCE, source)
        self.fleet.proxy.links[f"{entry}.peer"].state.set_fault(SILENCE)

    async def is_awake(self, node: str) -> bool:
        """Return whether a process answers its operators."""
        return bool((await self.fleet.status(node))["version"])

    async def test_woken_entry_sends_nothing_by_its_old_view(self) -> None:
        """An entry is frozen and cut off, an engine leaves, and calls wait in the entry's socket.

        It wakes and finds them all at once, and nobody tells it anything yet. What it knows of the
        engine is seconds old. It must refuse them rather than send any to the engine that has left,
        and serve again once it has asked.
        """
        entry, engine = self.entries[0], self.engines[0]
        records: list[CallRecord] = []
        async with self.caller("woken", [entry], attempts=20).open() as caller:
            await caller.entries()

            async def call(number: int) -> None:
                ask = Generate(model=self.shape.model, prompt=f"{number} queued", max_tokens=4)
                records.append(await caller.call(ask))

            self.fleet.daemons[entry].pause()
            async with anyio.create_task_group() as tasks:
                for number in range(QUEUED):
                    tasks.start_soon(call, number)
                self.cut_off(entry)
                since = SystemClock().monotonic()
                others = [node for node in self.fleet.daemons if node != entry]
                await publish_everywhere(self.fleet, *leaving_step([engine]), nodes=others)
                await self.pass_grace(since)
                self.fleet.daemons[entry].resume()
                await until(lambda: self.is_awake(entry), "the entry is awake")
                await anyio.sleep(AWAKE_S)
                self.fleet.plan.heal(self.fleet.proxy)
        self.assert_whole(records, [Leaving(engine, since)])

    async def test_woken_agent_begins_nothing_by_its_old_view(self) -> None:
        """An agent is frozen while a booking waits in its socket, and its desk is set to leave.

        It wakes, and the first thing it finds is the booking. It must not begin it: it has to
        hear first what came to pass, and that is that its desk is leaving.
        """
        desk, entry = self.desks[0], self.address(self.entries[0])
        answer = await request(entry, "/v1/tickets", b'{"service": "booking"}')
        ticket = {"carawayhub-ticket": answer.body.decode().split('"')[3]}
        wire = to_wire(Book(bench="bench-1", slot="10:00", visitor="frozen"))
        answers: list[RawAnswer] = []

        async def book() -> None:
            headers = ticket | {"x-deadline-ms": "15000"}
            answers.append(await request(entry, wire.path, wire.body, headers, timeout=20.0))

        self.fleet.daemons[desk].pause()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(book)
            since = SystemClock().monotonic()
            others = [node for node in self.fleet.daemons if node != desk]
            await publish_everywhere(self.fleet, *leaving_step([desk]), nodes=others)
            await self.pass_grace(since)
            self.fleet.daemons[desk].resume()
        self.assertEqual(self.runs(wire.content), [])
        self.assertIn(answers[0].error["outcome"], ("not_run", "unknown"))
        await until(lambda: self.hears_leaving(desk), "the agent knows that it leaves")

    async def hears_leaving(self, desk: str) -> bool:
        """Return whether a desk's agent says that it is leaving."""
        rows = (await self.fleet.status(desk))["endpoints"]
        return any(row["condition"] == "leaving" for row in rows)
