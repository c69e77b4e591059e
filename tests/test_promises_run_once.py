"""A request that may not be repeated runs at most once, whatever fails and whoever asks again."""

import msgspec

from carawayhub.agent.keyset import key_sets
from carawayhub.agent.messages import RunKey
from carawayhub.codes import Code
from carawayhub.config.check import load
from carawayhub.config.files import ConfigFile
from carawayhub.standins.asks import Book, Wire, to_wire
from carawayhub.standins.faults import LinkFault
from carawayhub.standins.fleet import leaving_step, to_json
from carawayhub.standins.fleetshape import FleetShape
from tests.stories import CAFES, FleetTestCase, RawAnswer, publish_everywhere, request, until

SCOPE = "service/booking"
SHORT_MS = 1500
LONG_S = 60.0
MAY_HAVE_RUN = {
    Code.RUN_HOME_UNREACHABLE,
    Code.RUN_QUARANTINE,
    Code.RUN_REPLY_LOST,
    Code.RUN_STILL_RUNNING,
    Code.RUN_INCARNATION_GONE,
}


class BookingTestCase(FleetTestCase):
    """What the tests of bookings share."""

    shape = FleetShape(
        failure_domains=("attica", "patra"), entries=2, engines=0, services=3, key_quarantine=False
    )

    async def book(
        self, visitor: str, entry: str, key: str = "", ticket: str = "", left_ms: int = SHORT_MS
    ) -> RawAnswer:
        """Send a booking once."""
        headers = {"x-deadline-ms": str(left_ms)}
        headers |= {"idempotency-key": key} if key else {}
        headers |= {"carawayhub-ticket": ticket} if ticket else {}
        wire = self.wire(visitor)
        return await request(self.address(entry), wire.path, wire.body, headers)

    async def book_until_done(self, visitor: str, entry: str, key: str) -> RawAnswer:
        """Send a booking again with its key until it is answered."""
        answers: list[RawAnswer] = []

        async def done() -> bool:
            answers.append(await self.book(visitor, entry, key))
            return answers[-1].status == 201

        try:
            await until(done, f"{visitor} has a bench")
        except AssertionError as exc:
            exc.add_note(answers[-1].body.decode())
            raise
        return answers[-1]

    async def ticket(self, entry: str) -> str:
        """Return a ticket for a booking."""
        answer = await request(self.address(entry), "/v1/tickets", b'{"service": "booking"}')
        return str(msgspec.json.decode(answer.body)["ticket"])

    def wire(self, visitor: str) -> Wire:
        """Return a booking as an HTTP request."""
        return to_wire(Book(bench="bench-1", slot="10:00", visitor=visitor))

    def runs_of(self, visitor: str) -> int:
        """Return how often a booking was run."""
        return len(self.runs(self.wire(visitor).content))

    def where(self, visitor: str) -> str:
        """Return the endpoint that ran a booking."""
        content = self.wire(visitor).content
        return next(desk for desk in self.desks if self.runs(content, desk))

    def home(self, key: str) -> str:
        """Return whose key it is by the configuration that is published."""
        names = sorted(self.fleet.files)
        files = tuple(ConfigFile(name, self.fleet.files[name]) for name in names)
        found = key_sets(load(files, 1))[SCOPE].home(RunKey(SCOPE, CAFES.name, key))
        assert found is not None
        return found.endpoint

    def key_of(self, desk: str, name: str) -> str:
        """Return a key whose home is a desk."""
        return next(key for n in range(1000) if self.home(key := f"{name}-{n}") == desk)

    def silence_replies(self, desk: str, entry: str) -> None:
        """Let nothing that a desk's agent says reach an entry."""
        source = self.fleet.plan.node(entry).inner
        link = self.fleet.proxy.links[f"{desk}.peer"]
        link.state.set_fault(LinkFault(silent_to_client=True), source)

    async def usable(self, entry: str, endpoint: str) -> bool:
        """Return whether an entry sends work to an endpoint."""
        rows = (await self.fleet.status(entry))["endpoints"]
        return any(r["name"] == endpoint and r["condition"] in ("serving", "ramping") for r in rows)

    async def distrust_fresh_agents(self) -> None:
        """Publish that agents which start from now on distrust keys they have not seen."""
        for desk in self.desks:
            await self.book_until_done(f"warm {desk}", self.entries[0], self.key_of(desk, "warm"))
        step = {"services": {"booking": {"key_quarantine": True}}}
        await publish_everywhere(self.fleet, "70-distrust.json", to_json(step))


class RunOnceTest(BookingTestCase):
    """Idempotency keys and tickets through lost replies, planned stops, moves and partitions."""

    async def test_key_sent_again_through_another_entry_gives_the_first_answer(self) -> None:
        """A visitor books, the reply is lost between agent and entry, and the app asks again.

        The booking did run. The second entry knows nothing of the first try; only the agent that
        keeps the key can tell, and must give the answer of the one run.
        """
        first, second = self.entries
        await self.book_until_done("key-warm", first, self.key_of(self.desks[0], "warm"))
        key = self.key_of(self.desks[0], "lost")
        self.silence_replies(self.desks[0], first)
        lost = await self.book("key-lost", first, key)
        self.assertEqual(lost.error["outcome"], "unknown")
        again = await self.book("key-lost", second, key)
        self.assertEqual((again.status, again.headers.get("carawayhub-replayed")), (201, "1"))
        self.assertEqual(self.runs_of("key-lost"), 1)

    async def test_ticket_sent_again_through_another_entry_gives_the_first_answer(self) -> None:
        """The same with a ticket: it names the agent, so each entry sends it to the same one."""
        first, second = self.entries
        ticket = await self.ticket(second)
        for desk in self.desks:
            self.silence_replies(desk, first)
        lost = await self.book("ticket-lost", first, ticket=ticket)
        self.assertEqual(lost.error["outcome"], "unknown")
        again = await self.book("ticket-lost", second, ticket=ticket)
        self.assertEqual((again.status, again.headers.get("carawayhub-replayed")), (201, "1"))
        self.assertEqual(self.runs_of("ticket-lost"), 1)

    async def test_key_outlives_the_planned_stop_of_its_agent(self) -> None:
        """A desk that ran a booking leaves and its agent stops; the visitor's app asks again.

        The key's home moves to another agent. It must hold the answer by then: without it, it
        would take the key for a new one and put two people on one bench.
        """
        entry, desk = self.entries[0], self.desks[0]
        key = self.key_of(desk, "handover")
        await self.book_until_done("handover", entry, key)
        self.assertEqual(self.where("handover"), desk)
        await publish_everywhere(self.fleet, *leaving_step([desk]))
        self.assertEqual(await self.fleet.daemons[desk].stop(), 0)
        self.assertNotEqual(self.home(key), desk)
        again = await self.book_until_done("handover", entry, key)
        self.assertEqual(again.headers.get("carawayhub-replayed"), "1")
        self.assertEqual(self.runs_of("handover"), 1)

    async def test_key_moves_with_its_answer_to_a_desk_that_joins(self) -> None:
        """A desk joins the service, and keys that others ran have their home there from now on.

        It has no memory of them. It must fetch what the others know before it takes any key.
        """
        entry, desk = self.entries[0], self.desks[2]
        key = self.key_of(desk, "join")
        await publish_everywhere(self.fleet, *leaving_step([desk]))
        await self.book_until_done("join", entry, key)
        self.assertNotEqual(self.where("join"), desk)
        joins = {"endpoints": {desk: {"state": "serving"}}}
        await publish_everywhere(self.fleet, "55-joins.json", to_json(joins))
        self.assertEqual(self.home(key), desk)
        again = await self.book_until_done("join", entry, key)
        self.assertEqual(again.headers.get("carawayhub-replayed"), "1")
        self.assertEqual(self.runs_of("join"), 1)

    async def test_key_that_moves_while_its_agent_is_frozen_runs_once(self) -> None:
        """A booking waits in the socket of a frozen agent when the desk is set to leave.

        The visitor asks again and the key has another home now. That home cannot know whether the
        frozen agent has run it, so it says "unknown" until that one wakes and has promised to run
        none of its keys. Then the booking runs once, at one of the two.
        """
        first, second = self.entries
        desk = self.desks[0]
        await self.book_until_done("warm freeze", first, self.key_of(desk, "warm-freeze"))
        key = self.key_of(desk, "freeze")
        self.fleet.daemons[desk].pause()
        lost = await self.book("freeze", first, key)
        self.assertEqual(lost.error["outcome"], "unknown")
        others = [node for node in self.fleet.daemons if node != desk]
        await publish_everywhere(self.fleet, *leaving_step([desk]), nodes=others)
        for _ in range(3):
            refused = await self.book("freeze", second, key, left_ms=500)
            self.assertEqual(refused.error["outcome"], "unknown", refused.body)
        self.fleet.daemons[desk].resume()
        await self.book_until_done("freeze", second, key)
        self.assertEqual(self.runs_of("freeze"), 1)

    async def test_bookings_retried_on_both_sides_of_a_partition_run_once(self) -> None:
        """Two failure domains lose each other; visitors on each side retry the same bookings.

        Whoever cannot reach the one agent that keeps a key says "unknown" and tries no other.
        After the partition each booking is answered, and each ran once.
        """
        keys = {f"parted {n}": f"parted-{n}" for n in range(8)}
        for desk in self.desks:
            warm = f"warm-parted-{desk}"
            await self.book_until_done(warm, self.entries[0], self.key_of(desk, warm))
        self.assertEqual(len({self.home(key) for key in keys.values()}), len(self.desks))
        self.fleet.plan.partition(self.fleet.proxy, ["attica"], ["patra"])
        statuses = []
        for entry in self.entries:
            for visitor, key in keys.items():
                statuses.append((await self.book(visitor, entry, key, left_ms=600)).status)
        self.assertIn(201, statuses)
        self.assertTrue({502, 503, 504} & set(statuses), statuses)
        self.fleet.plan.heal(self.fleet.proxy)
        for visitor, key in keys.items():
            await self.book_until_done(visitor, self.entries[1], key)
        self.assertEqual([self.runs_of(visitor) for visitor in keys], [1] * len(keys))


class FreshFleetTest(BookingTestCase):
    """Agents that have all just started, as after a power cut."""

    shape = FleetShape(failure_domains=("attica",), entries=1, engines=0, services=2)

    async def test_caller_is_told_how_long_a_fresh_fleet_distrusts_its_key(self) -> None:
        """All agents start with no memory, and a visitor's app sends a key with no ticket.

        The key may have run before the start, so it is not run; the app must be told for how long
        that is so, and not to try again each second for minutes.
        """
        answers: list[RawAnswer] = []

        async def told() -> bool:
            answers.append(await self.book("fresh", self.entries[0], "fresh-1"))
            return bool(answers[-1].error["code"] == Code.RUN_QUARANTINE)

        await until(told, "the agent names its quarantine")
        self.assertEqual(answers[-1].error["outcome"], "unknown")
        self.assertGreater(answers[-1].error["retry_after_s"], LONG_S)
        self.assertEqual(self.runs_of("fresh"), 0)


class CrashTest(BookingTestCase):
    """Agents that lose their memory; they distrust keys for long after, so the fleet is theirs."""

    async def test_crash_of_the_agent_ends_its_tickets_and_keys(self) -> None:
        """An agent runs bookings and crashes; its memory of them is lost, and it is started again.

        The callers ask again with ticket and key. Nobody can know that they did not run, so they
        are told "unknown", and nothing runs a second time.
        """
        await self.distrust_fresh_agents()
        entry, desk = self.entries[0], self.desks[0]
        key = self.key_of(desk, "crash")
        await self.book_until_done("key-crash", entry, key)
        ticket = await self.ticket(entry)
        self.assertEqual((await self.book("ticket-crash", entry, ticket=ticket)).status, 201)
        ran_at = self.where("ticket-crash")
        for each in {desk, ran_at}:
            self.fleet.daemons[each].kill()
            self.fleet.daemons[each].start()
        for each in {desk, ran_at}:
            await self.fleet.wait_until_ready(each)
            await until(lambda name=each: self.usable(entry, name), f"{each} is heard again")
        for again in (
            await self.book("ticket-crash", entry, ticket=ticket),
            await self.book("key-crash", entry, key),
        ):
            self.assertEqual(again.error["outcome"], "unknown")
            self.assertIn(again.error["code"], MAY_HAVE_RUN)
        self.assertEqual((self.runs_of("ticket-crash"), self.runs_of("key-crash")), (1, 1))
