"""Deadlines hold over every hop, and retries stay within the budget of their organisation."""

import msgspec

from carawayhub.standins.asks import Book, Generate, to_wire
from carawayhub.standins.faults import EngineFault, LinkFault
from carawayhub.standins.fleetshape import FleetShape, OrganisationPlan
from carawayhub.standins.records import CallRecord
from carawayhub.standins.web import Reply, Request, Router, json_reply, serving
from tests.stories import FleetTestCase, request, until

SENT_MS = 8000
OUTAGE_CALLS = 60
RETRY_SHARE = 0.2
SAVED_RETRIES = 3


class DeadlineTest(FleetTestCase):
    """What is given a time to be done in."""

    shape = FleetShape(
        failure_domains=("attica",), entries=1, engines=1, services=1, key_quarantine=False
    )

    async def ticket(self) -> str:
        """Return a ticket for a booking."""
        answer = await request(
            self.address(self.entries[0]), "/v1/tickets", b'{"service": "booking"}'
        )
        return str(msgspec.json.decode(answer.body)["ticket"])

    async def test_time_left_shrinks_on_its_way_to_the_endpoint(self) -> None:
        """A caller allows eight seconds; the endpoint is told how many are left of them.

        An endpoint that was told the caller's own figure would work on after the caller gave up.
        The endpoint's place is taken here by a listener that notes what reaches it.
        """
        seen: list[int] = []

        async def note(req: Request) -> Reply:
            seen.append(int(req.headers["x-deadline-ms"]))
            return json_reply({"seen": True})

        router = Router()
        router.add("GET", "/health", note_nothing)
        router.add("GET", "/lookup", note)
        router.add("POST", "/bookings", note)
        desk, entry = self.desks[0], self.address(self.entries[0])
        (plan,) = (each for each in self.fleet.plan.endpoints if each.name == desk)
        left = {"x-deadline-ms": str(SENT_MS)}
        ticket = {"carawayhub-ticket": await self.ticket()}
        self.fleet.endpoints[desk].kill()
        async with serving(router, plan.address):
            for path, body, headers in (
                ("/lookup", b"", left),
                ("/bookings", b"{}", left | ticket),
            ):

                async def answered(
                    path: str = path, body: bytes = body, headers: dict[str, str] = headers
                ) -> bool:
                    return (await request(entry, path, body, headers)).status == 200

                await until(answered, f"{path} is answered")
        self.assertEqual(len(seen), 2)
        for ms in seen:
            self.assertTrue(0 < ms < SENT_MS, seen)

    async def test_booking_that_arrives_past_its_deadline_is_not_begun(self) -> None:
        """A slow path between entry and agent brings a booking after its deadline has passed.

        The visitor has given up and stands at another bench. The agent must see that the time is
        over, although its clock is not the entry's. Asked again with more time, it runs.
        """
        desk, entry = self.desks[0], self.entries[0]
        wire = to_wire(Book(bench="bench-1", slot="late", visitor="slow path"))
        ticket = {"carawayhub-ticket": await self.ticket()}
        source = self.fleet.plan.node(entry).inner
        link = self.fleet.proxy.links[f"{desk}.peer"]
        link.state.set_fault(LinkFault(delay_ms=600), source)
        address = self.address(entry)
        late = await request(address, wire.path, wire.body, ticket | {"x-deadline-ms": "400"})
        self.assertNotEqual(late.status, 201)
        link.state.clear()
        again = await request(address, wire.path, wire.body, ticket | {"x-deadline-ms": "5000"})
        self.assertEqual((again.status, again.headers.get("carawayhub-replayed")), (201, None))
        self.assertEqual(len(self.runs(wire.content)), 1)


def _shape(retry_share: float) -> FleetShape:
    cafes = OrganisationPlan("cafes", priority=1, retry_share=retry_share)
    return FleetShape(
        failure_domains=("attica",), entries=1, engines=2, services=0, organisations=(cafes,)
    )


class EngineTestCase(FleetTestCase):
    """Two engines behind one entry."""

    def ask(self, prompt: str) -> Generate:
        """Return a model call."""
        return Generate(model=self.shape.model, prompt=prompt, max_tokens=4)

    async def call_all(self, name: str, count: int, **options: str) -> list[CallRecord]:
        """Send calls one after the other."""
        async with self.caller(name, **options).open() as caller:
            return [await caller.call(self.ask(f"{name} {n}")) for n in range(count)]


class RetryTest(EngineTestCase):
    """What is tried again elsewhere; the budget allows all of it."""

    shape = _shape(retry_share=1.0)

    async def test_refused_connections_are_tried_at_another_engine(self) -> None:
        """An engine's VM dies; the entry has not heard of it yet and still sends calls there.

        No byte reached the engine, so each call may be sent to the other one, and no caller sees
        the loss.
        """
        link = self.fleet.proxy.links[self.engines[0]]
        link.state.set_fault(LinkFault(refuse=True))
        link.cut_open()
        self.assert_whole(await self.call_all("refused", 8))

    async def test_errors_of_an_engine_are_tried_at_another(self) -> None:
        """An engine answers with status 500 for a while; a call that may be repeated is sent on."""
        fault = EngineFault(error_count=3)
        await self.fleet.control(self.engines[0], "/control/fault", fault)
        self.assert_whole(await self.call_all("errors", 8))


class OutageTest(EngineTestCase):
    """How often it is tried while nothing works."""

    shape = _shape(retry_share=RETRY_SHARE)
    mended = False

    async def test_retries_in_an_outage_stay_within_the_budget(self) -> None:
        """Both engines take each call in and then drop it.

        If each failed call were sent again, the load would double just when the engines fail. The
        runs that the engines saw must not exceed the calls by more than the organisation's share
        and what it had saved up.
        """
        for engine in self.engines:
            fault = EngineFault(cut_after=0, cut_count=10_000)
            await self.fleet.control(engine, "/control/fault", fault)
        records = await self.call_all("outage", OUTAGE_CALLS)
        contents = {record.content for record in records}
        runs = [run for run in self.runs() if run.content in contents]
        allowed = OUTAGE_CALLS * (1 + RETRY_SHARE) + SAVED_RETRIES
        self.assertLessEqual(len(runs), allowed)
        self.assertGreater(len(runs), OUTAGE_CALLS)


async def note_nothing(req: Request) -> Reply:
    """Say that the endpoint is well."""
    return json_reply({"status": "ok"})
