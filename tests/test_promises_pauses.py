"""A process that was frozen distrusts what it knows when it wakes."""

import anyio

from carawayhub.clock import SystemClock
from carawayhub.standins.asks import Book, Generate, check_whole, to_wire
from carawayhub.standins.checker import LEAVING_GRACE_S, Leaving
from carawayhub.standins.faults import LinkFault
from carawayhub.standins.fleet import leaving_step
from carawayhub.standins.fleetshape import FleetShape
from tests.stories import FleetTestCase, RawAnswer, publish_everywhere, request, until

QUEUED = 6
OK, RETRY_S = 200, 0.3
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

    async def test_woken_entry_sends_nothing_by_its_old_view(self) -> None:
        """An entry is frozen and cut off, an engine leaves, and calls wait in the entry's socket.

        It wakes and finds them all at once, and nobody tells it anything yet. What it knows of the
        engine is seconds old. It must refuse them rather than send any to the engine that has left,
        and serve again once it has asked.
        """
        entry, engine = self.entries[0], self.engines[0]
        outcomes: list[str] = []
        self.fleet.daemons[entry].pause()
        async with anyio.create_task_group() as tasks:
            for number in range(QUEUED):
                tasks.start_soon(self.generate, entry, f"{number} queued", outcomes)
            self.cut_off(entry)
            since = SystemClock().monotonic()
            others = [node for node in self.fleet.daemons if node != entry]
            await publish_everywhere(self.fleet, *leaving_step([engine]), nodes=others)
            await self.pass_grace(since)
            self.assertEqual(outcomes, [])
            self.fleet.daemons[entry].resume()
            await until(lambda: len(outcomes) >= QUEUED, "the entry has answered")
            self.fleet.plan.heal(self.fleet.proxy)
        self.assert_whole([], [Leaving(engine, since)])
        self.assertEqual(outcomes.count("completed"), QUEUED)
        self.assertIn("not_run", outcomes)

    async def generate(self, entry: str, prompt: str, outcomes: list[str]) -> None:
        """Send a call to one entry until it is answered, and note what came of each try."""
        ask = Generate(model=self.shape.model, prompt=prompt, max_tokens=4, stream=False)
        wire = to_wire(ask)
        while True:
            answer = await request(self.address(entry), wire.path, wire.body)
            if answer.status == OK:
                self.assertEqual(check_whole(ask, answer.body), ask.max_tokens)
                outcomes.append("completed")
                return
            outcomes.append(answer.error["outcome"])
            await anyio.sleep(RETRY_S)

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
