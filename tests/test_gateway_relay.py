"""Requests through a whole entry: HTTP in, scripted endpoints behind it."""

import random
import time
import unittest

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import SystemClock
from carawayhub.endpoints.endings import Endings
from carawayhub.endpoints.upstream import Upstream
from carawayhub.gateway.admission import AdmissionControl
from carawayhub.gateway.app import GatewayApp
from carawayhub.gateway.health import Health
from carawayhub.gateway.loads import Loads
from carawayhub.gateway.model import CallerLimits, Repeat
from carawayhub.gateway.pool import ServicePool
from carawayhub.gateway.ports import EndpointPublished, Published, TablePublished
from carawayhub.gateway.relay import GatewayRelay, RelayParts
from carawayhub.gateway.retryshare import RetryShare
from carawayhub.gateway.tally import Tally
from carawayhub.gateway.view import FleetView
from carawayhub.http import HttpServer, bind
from carawayhub.limits.poison import PoisonRecords
from carawayhub.platform.headers import PlatformWire
from tests.gateway_world import KEY, endpoint, rates, route, table
from tests.scripted_endpoint import (
    ClosedError,
    ScriptedEndpoint,
    chunk,
    event,
    refused,
    stream_head,
    whole,
)

HOST = b"caraway.example"


class Reply:
    """What a caller got, byte for byte."""

    def __init__(self, data: bytes, seconds: float) -> None:
        self.head, _, self.body = data.partition(b"\r\n\r\n")
        self.status = int(self.head.split()[1]) if self.head else 0
        self.seconds = seconds

    @property
    def whole(self) -> bool:
        """Whether a stream has its end."""
        return self.body.endswith(b"0\r\n\r\n")


class World:
    """One entry before scripted endpoints.

    Args:
        scripts: A script for each endpoint.
        options: What the route of ``/songs/`` is like.
    """

    def __init__(self, scripts, **options) -> None:
        self.endpoints = [ScriptedEndpoint(script) for script in scripts]
        self.options = options
        self.clock = SystemClock()
        self.view = FleetView(self.clock, 1.2)

    def run(self, story) -> None:
        async def main() -> None:
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as tasks:
                    for each in self.endpoints:
                        await tasks.start(each.serve)
                    await self._entry(tasks)
                    await story(self)
                    tasks.cancel_scope.cancel()

        try:
            anyio.run(main)
        finally:
            self.sock.close()

    async def _entry(self, tasks: anyio.abc.TaskGroup) -> None:
        options = {"repeat": Repeat.STREAM} | self.options
        service = "llm" if options["repeat"] is Repeat.STREAM else "plain"
        routes = (route(service=service, **options),)
        published = [
            EndpointPublished(endpoint(f"i-{at}", service, address=each.address))
            for at, each in enumerate(self.endpoints)
        ]
        self.view.replace(
            Published(revision=1, changes=(TablePublished(table(1, *routes)), *published))
        )
        self.view.confirm(self.clock.monotonic() + 60.0)
        rng = random.Random(4)
        loads, health = Loads(), Health(self.clock)
        self.loads, self.health = loads, health
        pool = ServicePool(
            service,
            self.view,
            loads,
            health,
            self.clock,
            rng,
            RetryShare(self.clock, 0.2, 88.0, 10.0),
        )
        self.tally = Tally()
        upstream = Upstream()
        parts = RelayParts(
            clock=self.clock,
            view=self.view,
            health=health,
            upstream=upstream,
            wire=PlatformWire(),
            pool=lambda name: pool,
            entries=lambda: 1,
            load=loads.total,
            endings=Endings(
                upstream, PoisonRecords(self.clock), self.clock, self.tally.endpoint_ended
            ),
            rates=rates(self.clock),
        )
        desk = AdmissionControl(self.view, self.clock, rng, 5.0)
        app = GatewayApp(
            self.clock, PlatformWire(), desk, GatewayRelay(parts), CallerLimits, self.tally
        )
        self.sock = bind(Address("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        tasks.start_soon(HttpServer(app, self.sock).run)

    def request(self, method: bytes = b"POST", path: bytes = b"/songs/1", extra: bytes = b""):
        body = b"tempo" if method == b"POST" else b""
        return (
            method
            + b" "
            + path
            + b" HTTP/1.1\r\nHost: "
            + HOST
            + b"\r\nCarawayhub-Request-Id: q1\r\nCarawayhub-Request-Deadline: 3000\r\n"
            + b"Authorization: Bearer "
            + KEY.encode()
            + b"\r\nConnection: close\r\n"
            + extra
            + b"Content-Length: %d\r\n\r\n" % len(body)
            + body
        )

    async def ask(self, data: bytes | None = None) -> Reply:
        """Send a request and return all that comes until the connection ends."""
        began = time.monotonic()
        stream = await anyio.connect_tcp("127.0.0.1", self.port)
        async with stream:
            await stream.send(data if data is not None else self.request())
            received = b""
            try:
                while True:
                    received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return Reply(received, time.monotonic() - began)

    def taken(self) -> list:
        return [taken for each in self.endpoints for taken in each.taken]


async def answers(stream, taken) -> None:
    await stream.send(whole(taken))


async def refuses(stream, taken) -> None:
    await stream.send(refused())


async def closes(stream, taken) -> None:
    raise ClosedError


def forming(until: list[float]):
    """Return the script of a rank whose group takes requests from a time on."""

    async def script(stream, taken) -> None:
        if time.monotonic() < until[0]:
            await stream.send(refused())
            return
        await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

    return script


class Refusing(unittest.TestCase):
    """Engines that refuse all requests for a moment."""

    def test_request_waits_for_a_group_that_forms_anew(self) -> None:
        """All VMs lose power. Callers whose streams broke come back, and are refused for good.

        Entries are up half a second before the groups of engines. A request used up its two
        attempts within milliseconds, and its caller had no further try.
        """
        opens_at = [0.0]

        async def story(world: World) -> None:
            opens_at[0] = time.monotonic() + 0.6
            replies = []

            async def ask() -> None:
                replies.append(await world.ask())

            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(ask)
            self.assertEqual([each.status for each in replies], [200] * 5)
            self.assertLess(max(each.seconds for each in replies), 1.4)
            self.assertLess(len(world.taken()), 25)

        World([forming(opens_at)] * 3).run(story)

    def test_request_goes_to_no_more_endpoints_than_its_route_allows(self) -> None:
        opens_at = [0.0]

        async def story(world: World) -> None:
            opens_at[0] = time.monotonic() + 0.6
            reply = await world.ask()
            self.assertEqual(reply.status, 200)
            self.assertLessEqual(sum(1 for each in world.endpoints if each.taken), 2)

        World([forming(opens_at)] * 5, attempts=2).run(story)

    def test_caller_is_told_at_once_when_engines_refuse_for_long(self) -> None:
        """A group that does not come back: waiting for it would only hold its callers."""
        opens_at = [time.monotonic() + 60.0]

        async def story(world: World) -> None:
            await world.ask()
            await anyio.sleep(1.0)
            reply = await world.ask()
            self.assertEqual(reply.status, 503)
            self.assertIn(b"retry-after", reply.head.lower())
            self.assertLess(reply.seconds, 0.5)

        World([forming(opens_at)] * 2).run(story)

    def test_refusing_endpoint_is_left_alone(self) -> None:
        """One group of two lost a rank, and its other ranks are empty.

        The emptiest endpoints got every request and refused it.
        """
        opens_at, open_now = [time.monotonic() + 60.0], [0.0]

        async def story(world: World) -> None:
            for _ in range(12):
                self.assertEqual((await world.ask()).status, 200)
            self.assertLessEqual(len(world.endpoints[0].taken), 2)

        World([forming(opens_at), forming(open_now)]).run(story)

    def test_plain_service_that_was_full_is_asked_again(self) -> None:
        """A plain service refuses while its queue is full, for milliseconds."""

        async def story(world: World) -> None:
            await world.ask()
            self.assertFalse(world.health.refusing("i-0"))

        World([refuses], repeat=Repeat.ONCE).run(story)


class BrokenOff(unittest.TestCase):
    """Answers that break off, of endpoints that ended and of others."""

    def broken(self, world: "World", path: bytes = b"/songs/1") -> dict:
        """Ask once, and return what the entry saw of the endpoint's state."""
        found = []
        sink = logger.add(lambda each: found.append(each.record), level="INFO")

        async def story(world: World) -> None:
            await world.ask(world.request(path=path))

        world.run(story)
        logger.remove(sink)
        (looked,) = [each["extra"] for each in found if "listening" in each["extra"]]
        return looked

    def test_endpoint_that_ended_is_told_from_one_that_broke_a_connection(self) -> None:
        """Operators saw "answer broke off" for a replica that had ended and for all its group.

        A rank ends; 1.5 s later the other ranks break off what they had, and live. Which of the
        requests was at the rank that ended could not be told.
        """
        world = World([closes], repeat=Repeat.ONCE)
        self.assertEqual(self.broken(world)["listening"], "yes")
        self.assertNotIn("_ends_total{", world.tally.page())

        async def ends(stream, taken) -> None:
            world.endpoints[0].end()

        world = World([ends], repeat=Repeat.ONCE)
        self.assertEqual(self.broken(world)["listening"], "no")
        self.assertIn('cut_by_endpoint_ends_total{service="plain"} 1', world.tally.page())

    def test_request_that_comes_again_is_named_alike(self) -> None:
        """Callers give each attempt a new id, so logs showed two attempts as two requests."""
        first = self.broken(World([closes], repeat=Repeat.ONCE))
        again = self.broken(World([closes], repeat=Repeat.ONCE))
        other = self.broken(World([closes], repeat=Repeat.ONCE), path=b"/songs/2")
        self.assertEqual(first["content"], again["content"])
        self.assertNotEqual(first["content"], other["content"])


class Plain(unittest.TestCase):
    """Services whose answers have a length."""

    def test_answer_comes_back_unchanged_and_headers_are_the_fleets(self) -> None:
        async def story(world: World) -> None:
            reply = await world.ask(
                world.request(extra=b"Carawayhub-Tenant: forged\r\nX-Song: 7\r\n")
            )
            self.assertEqual((reply.status, reply.body), (200, b"ok"))
            self.assertIn(b"Response-Seal: s1".lower(), reply.head.lower())
            (taken,) = world.taken()
            self.assertEqual(taken.headers["carawayhub-tenant"], "armor")
            self.assertEqual(taken.headers["carawayhub-expect-instance"], "i-0")
            self.assertEqual(taken.headers["x-song"], "7")
            self.assertNotIn("authorization", taken.headers)
            self.assertLessEqual(int(taken.headers["carawayhub-request-deadline"]), 3000)
            self.assertEqual(taken.body, b"tempo")

        World([answers], repeat=Repeat.ONCE).run(story)

    def test_path_is_forwarded_byte_for_byte(self) -> None:
        path = b"/songs/a;v=1/b;x?q=%20a&b=;c"

        async def story(world: World) -> None:
            await world.ask(world.request(b"GET", path))
            self.assertEqual(world.taken()[0].line.encode(), b"GET " + path + b" HTTP/1.1")

        World([answers], repeat=Repeat.IDEMPOTENT).run(story)

    def test_booking_that_lost_its_answer_is_not_sent_again(self) -> None:
        """An endpoint takes a booking and resets the connection.

        Whether it ran is unknown. Sending it to another endpoint could book twice, and 503 would
        say that it did not run.
        """

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertEqual(reply.status, 502)
            self.assertEqual(len(world.taken()), 1)

        World([closes, closes], repeat=Repeat.ONCE).run(story)

    def test_booking_that_was_refused_goes_to_another_endpoint(self) -> None:
        async def story(world: World) -> None:
            for _ in range(4):
                reply = await world.ask()
                self.assertEqual(reply.status, 200)

        World([refuses, answers], repeat=Repeat.ONCE).run(story)

    def test_refusal_of_all_endpoints_is_a_503_with_a_time(self) -> None:
        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertEqual(reply.status, 503)
            self.assertIn(b"retry-after", reply.head.lower())
            self.assertEqual(len(world.taken()), 2)
            self.assertLess(reply.seconds, 1.0)

        World([refuses, refuses], repeat=Repeat.ONCE).run(story)

    def test_lookup_that_lost_its_answer_is_sent_again(self) -> None:
        async def story(world: World) -> None:
            for _ in range(4):
                self.assertEqual((await world.ask(world.request(b"GET"))).status, 200)

        World([closes, answers], repeat=Repeat.IDEMPOTENT).run(story)

    def test_lookup_at_a_silent_endpoint_is_sent_to_another_in_time(self) -> None:
        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def story(world: World) -> None:
            reply = await world.ask(world.request(b"GET"))
            self.assertEqual(reply.status, 200)
            self.assertLess(reply.seconds, 0.8)

        World([silent, answers], repeat=Repeat.IDEMPOTENT, timeout=0.8).run(story)

    def test_answer_of_another_request_never_reaches_the_caller(self) -> None:
        """An endpoint sends the answer of an earlier request where this one's is due."""

        async def crossed(stream, taken) -> None:
            taken.headers["carawayhub-request-id"] = "q0"
            await stream.send(whole(taken, b"somebody else's"))

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertEqual(reply.status, 502)
            self.assertNotIn(b"somebody", reply.body)

        World([crossed], repeat=Repeat.ONCE).run(story)

    def test_answer_without_a_seal_is_not_passed_on(self) -> None:
        async def unsealed(stream, taken) -> None:
            await stream.send(whole(taken, extra=b""))

        async def story(world: World) -> None:
            self.assertEqual((await world.ask()).status, 502)

        World([unsealed], repeat=Repeat.ONCE).run(story)

    def test_second_copy_of_an_answer_is_no_answer_to_the_next_request(self) -> None:
        async def doubled(stream, taken) -> None:
            await stream.send(whole(taken, b"once") + whole(taken, b"twice"))

        async def story(world: World) -> None:
            for _ in range(3):
                self.assertEqual((await world.ask(world.request(b"GET"))).body, b"once")

        World([doubled], repeat=Repeat.IDEMPOTENT).run(story)

    def test_cut_answer_is_not_passed_on_as_whole(self) -> None:
        async def cut(stream, taken) -> None:
            await stream.send(whole(taken, b"a long answer")[:-4])
            raise ClosedError

        async def story(world: World) -> None:
            self.assertEqual((await world.ask()).status, 502)

        World([cut], repeat=Repeat.ONCE).run(story)

    def test_failure_of_an_endpoint_comes_back_as_it_is(self) -> None:
        async def fails(stream, taken) -> None:
            await stream.send(whole(taken, b"no", "500 Internal Server Error"))

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertEqual((reply.status, reply.body), (500, b"no"))

        World([fails], repeat=Repeat.ONCE).run(story)

    def test_silent_booking_ends_at_the_time_of_its_route(self) -> None:
        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertIn(reply.status, (502, 504))
            self.assertLess(reply.seconds, 0.9)

        World([silent], repeat=Repeat.ONCE, timeout=0.4).run(story)

    def test_endpoint_that_left_gets_nothing_even_if_it_was_chosen_before(self) -> None:
        """An endpoint drains while a request for it waits to be sent."""

        async def story(world: World) -> None:
            world.view.misdirected("i-0")
            reply = await world.ask()
            self.assertEqual(reply.status, 503)
            self.assertEqual(world.taken(), [])

        World([answers], repeat=Repeat.ONCE).run(story)


class Streams(unittest.TestCase):
    """Streams of events."""

    def test_whole_stream(self) -> None:
        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken))
            for number in range(1, 6):
                await stream.send(chunk(event(number)))
            await stream.send(chunk(b""))

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertTrue(reply.whole)
            for number in range(1, 6):
                self.assertEqual(reply.body.count(event(number)), 1)
            self.assertEqual(world.loads.own(), {})

        World([events]).run(story)

    def test_broken_stream_goes_on_at_another_endpoint(self) -> None:
        """An endpoint crashes within event 3; each event reaches the caller once, in order."""

        async def breaks(stream, taken) -> None:
            if "last-event-id" in taken.headers:
                return await goes_on(stream, taken)
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(event(2)))
            await stream.send(chunk(event(3)[:9]))
            await anyio.sleep(0.05)
            raise ClosedError

        async def goes_on(stream, taken) -> None:
            start = int(taken.headers["last-event-id"]) + 1
            await stream.send(stream_head(taken))
            for number in range(start, 6):
                await stream.send(chunk(event(number)))
            await stream.send(chunk(b""))

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertTrue(reply.whole)
            places = [reply.body.index(event(number)) for number in range(1, 6)]
            self.assertEqual(places, sorted(places))
            self.assertEqual([reply.body.count(event(number)) for number in range(1, 6)], [1] * 5)
            resumed = [t.headers.get("last-event-id") for t in world.taken()]
            resumed = [each for each in resumed if each]
            self.assertEqual(resumed, ["2"])

        World([breaks, breaks]).run(story)

    def test_stream_that_cannot_go_on_does_not_look_whole(self) -> None:
        async def breaks(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)))
            await anyio.sleep(0.05)
            raise ClosedError

        async def story(world: World) -> None:
            reply = await world.ask()
            self.assertEqual(reply.status, 200)
            self.assertIn(event(1), reply.body)
            self.assertFalse(reply.whole)

        World([breaks]).run(story)

    def test_failure_before_the_first_event_goes_to_another_endpoint(self) -> None:
        async def fails(stream, taken) -> None:
            await stream.send(whole(taken, b"no", "500 Internal Server Error"))

        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

        async def story(world: World) -> None:
            for _ in range(4):
                self.assertEqual((await world.ask()).status, 200)

        World([fails, events]).run(story)

    def test_endpoint_that_never_answers_is_found_out_though_callers_leave(self) -> None:
        """An endpoint takes requests and says nothing, while its health check is good.

        Callers leave after a second. It is idle, so it would be chosen again and again.
        """

        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

        async def story(world: World) -> None:
            for _ in range(6):
                with anyio.move_on_after(0.9):
                    await world.ask()
            await anyio.sleep(0.1)
            self.assertGreater(world.health.errors("i-0"), 0.1)
            self.assertEqual(world.health.errors("i-1"), 0.0)

        World([silent, events]).run(story)

    def test_caller_that_leaves_frees_its_endpoint_at_once(self) -> None:
        """A caller closes its connection between two events, and before the first."""

        async def slow(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)))
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                taken.left.set()
            raise ClosedError

        async def story(world: World) -> None:
            stream = await anyio.connect_tcp("127.0.0.1", world.port)
            await stream.send(world.request())
            await stream.receive()
            await stream.aclose()
            with anyio.fail_after(0.4):
                await world.taken()[0].left.wait()
            while world.loads.own():
                await anyio.sleep(0.01)

        World([slow]).run(story)


class Strangers(unittest.TestCase):
    """Requests that no honest caller sends."""

    def test_nothing_reaches_an_endpoint(self) -> None:
        bad = [
            b"POST /songs/1 HTTP/1.1\r\nHost: caraway.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /songs/2 HTTP/1.1\r\n\r\n",
            b"POST /songs/1 HTTP/1.1\r\nHost: caraway.example\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nabcdef",
            b"POST /songs/1 HTTP/1.1\r\nHost caraway.example\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        ]

        async def story(world: World) -> None:
            for data in bad:
                reply = await world.ask(data)
                self.assertEqual(reply.status, 400, data)
            self.assertEqual(world.taken(), [])

        World([answers], repeat=Repeat.ONCE).run(story)

    def test_unreadable_deadline_is_refused_with_its_number(self) -> None:
        async def story(world: World) -> None:
            data = world.request().replace(b"Deadline: 3000", b"Deadline: soon")
            reply = await world.ask(data)
            self.assertEqual(reply.status, 400)
            self.assertIn(b"2008", reply.body)
            self.assertEqual(world.taken(), [])

        World([answers], repeat=Repeat.ONCE).run(story)


if __name__ == "__main__":
    unittest.main()
