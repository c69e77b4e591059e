"""Requests through a complete entry: HTTP callers in front, scripted endpoints behind it."""

import time
import unittest

import anyio
from loguru import logger

from carawayhub.gateway.model import Repeat
from tests.entry_harness import EntryHarness, answers, refuses
from tests.scripted_endpoint import (
    ClosedError,
    chunk,
    event,
    refused,
    stream_head,
    whole,
)


async def closes(stream, taken) -> None:
    raise ClosedError


def forming_group(until: list[float]):
    """Return the script of a rank whose group refuses requests until a given time."""

    async def script(stream, taken) -> None:
        if time.monotonic() < until[0]:
            await stream.send(refused())
            return
        await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

    return script


class Refusing(unittest.TestCase):
    """Engines that refuse all requests for a short time."""

    def test_request_waits_for_a_group_that_forms_anew(self) -> None:
        """After a power loss, entries are up half a second before the groups of engines.

        Guards against a request that uses up its two attempts within milliseconds. Its caller,
        whose stream broke before, has no further try.
        """
        opens_at = [0.0]

        async def scenario(harness: EntryHarness) -> None:
            opens_at[0] = time.monotonic() + 0.6
            replies = []

            async def ask() -> None:
                replies.append(await harness.ask())

            async with anyio.create_task_group() as tasks:
                for _ in range(5):
                    tasks.start_soon(ask)
            self.assertEqual([each.status for each in replies], [200] * 5)
            self.assertLess(max(each.seconds for each in replies), 1.4)
            self.assertLess(len(harness.taken()), 25)

        EntryHarness([forming_group(opens_at)] * 3).run(scenario)

    def test_request_goes_to_no_more_endpoints_than_its_route_allows(self) -> None:
        opens_at = [0.0]

        async def scenario(harness: EntryHarness) -> None:
            opens_at[0] = time.monotonic() + 0.6
            reply = await harness.ask()
            self.assertEqual(reply.status, 200)
            self.assertLessEqual(sum(1 for each in harness.endpoints if each.taken), 2)

        EntryHarness([forming_group(opens_at)] * 5, attempts=2).run(scenario)

    def test_caller_is_told_at_once_when_engines_refuse_for_long(self) -> None:
        """The group stays unavailable, so waiting for it would only delay its callers."""
        opens_at = [time.monotonic() + 60.0]

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask()
            await anyio.sleep(1.0)
            reply = await harness.ask()
            self.assertEqual(reply.status, 503)
            self.assertIn(b"retry-after", reply.head.lower())
            self.assertLess(reply.seconds, 0.5)

        EntryHarness([forming_group(opens_at)] * 2).run(scenario)

    def test_refusing_endpoint_is_left_alone(self) -> None:
        """One of two groups lost a rank, and its other ranks are idle.

        Guards against sending every request to these least loaded endpoints, which refuse it.
        """
        opens_at, open_from_start = [time.monotonic() + 60.0], [0.0]

        async def scenario(harness: EntryHarness) -> None:
            for _ in range(12):
                self.assertEqual((await harness.ask()).status, 200)
            self.assertLessEqual(len(harness.endpoints[0].taken), 2)

        EntryHarness([forming_group(opens_at), forming_group(open_from_start)]).run(scenario)

    def test_plain_service_that_was_full_is_asked_again(self) -> None:
        """A plain service refuses requests only for milliseconds, while its queue is full."""

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask()
            self.assertFalse(harness.health.refusing("i-0"))

        EntryHarness([refuses], repeat=Repeat.ONCE).run(scenario)


class BrokenOff(unittest.TestCase):
    """Broken answers, from endpoints that ended and from others."""

    def broken(self, harness: "EntryHarness", path: bytes = b"/songs/1") -> dict:
        """Send one request, and return what the entry logged about the endpoint's state."""
        found = []
        sink = logger.add(lambda each: found.append(each.record), level="INFO")

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask(harness.request(path=path))

        harness.run(scenario)
        logger.remove(sink)
        (endpoint_state,) = [each["extra"] for each in found if "listening" in each["extra"]]
        return endpoint_state

    def test_endpoint_that_ended_is_told_from_one_that_broke_a_connection(self) -> None:
        """A rank ends, and 1.5 s later the live ranks of its group break off their requests.

        Guards against logs that report all of them alike, so that operators cannot see which
        request was at the rank that ended.
        """
        harness = EntryHarness([closes], repeat=Repeat.ONCE)
        self.assertEqual(self.broken(harness)["listening"], "yes")
        self.assertNotIn("_ends_total{", harness.tally.page())

        async def ends(stream, taken) -> None:
            harness.endpoints[0].end()

        harness = EntryHarness([ends], repeat=Repeat.ONCE)
        self.assertEqual(self.broken(harness)["listening"], "no")
        self.assertIn('cut_by_endpoint_ends_total{service="plain"} 1', harness.tally.page())

    def test_request_that_comes_again_is_named_alike(self) -> None:
        """Callers use a new id for each attempt, so only the content identifies a retry in logs."""
        first = self.broken(EntryHarness([closes], repeat=Repeat.ONCE))
        again = self.broken(EntryHarness([closes], repeat=Repeat.ONCE))
        other = self.broken(EntryHarness([closes], repeat=Repeat.ONCE), path=b"/songs/2")
        self.assertEqual(first["content"], again["content"])
        self.assertNotEqual(first["content"], other["content"])


class Plain(unittest.TestCase):
    """Services whose answers have a length."""

    def test_answer_comes_back_unchanged_and_headers_are_the_fleets(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask(
                harness.request(extra=b"Carawayhub-Tenant: forged\r\nX-Song: 7\r\n")
            )
            self.assertEqual((reply.status, reply.body), (200, b"ok"))
            self.assertIn(b"Response-Seal: s1".lower(), reply.head.lower())
            (taken,) = harness.taken()
            self.assertEqual(taken.headers["carawayhub-tenant"], "armor")
            self.assertEqual(taken.headers["carawayhub-expect-instance"], "i-0")
            self.assertEqual(taken.headers["x-song"], "7")
            self.assertNotIn("authorization", taken.headers)
            self.assertLessEqual(int(taken.headers["carawayhub-request-deadline"]), 3000)
            self.assertEqual(taken.body, b"tempo")

        EntryHarness([answers], repeat=Repeat.ONCE).run(scenario)

    def test_path_is_forwarded_byte_for_byte(self) -> None:
        path = b"/songs/a;v=1/b;x?q=%20a&b=;c"

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask(harness.request(b"GET", path))
            self.assertEqual(harness.taken()[0].line.encode(), b"GET " + path + b" HTTP/1.1")

        EntryHarness([answers], repeat=Repeat.IDEMPOTENT).run(scenario)

    def test_booking_that_lost_its_answer_is_not_sent_again(self) -> None:
        """An endpoint receives a booking and resets the connection.

        It is unknown whether the booking ran. Sending it to another endpoint could book twice, and
        a 503 would state that it did not run.
        """

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual(reply.status, 502)
            self.assertEqual(len(harness.taken()), 1)

        EntryHarness([closes, closes], repeat=Repeat.ONCE).run(scenario)

    def test_booking_that_was_refused_goes_to_another_endpoint(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            for _ in range(4):
                reply = await harness.ask()
                self.assertEqual(reply.status, 200)

        EntryHarness([refuses, answers], repeat=Repeat.ONCE).run(scenario)

    def test_refusal_of_all_endpoints_is_a_503_with_a_time(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual(reply.status, 503)
            self.assertIn(b"retry-after", reply.head.lower())
            self.assertEqual(len(harness.taken()), 2)
            self.assertLess(reply.seconds, 1.0)

        EntryHarness([refuses, refuses], repeat=Repeat.ONCE).run(scenario)

    def test_lookup_that_lost_its_answer_is_sent_again(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            for _ in range(4):
                self.assertEqual((await harness.ask(harness.request(b"GET"))).status, 200)

        EntryHarness([closes, answers], repeat=Repeat.IDEMPOTENT).run(scenario)

    def test_lookup_at_a_silent_endpoint_is_sent_to_another_in_time(self) -> None:
        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask(harness.request(b"GET"))
            self.assertEqual(reply.status, 200)
            self.assertLess(reply.seconds, 0.8)

        EntryHarness([silent, answers], repeat=Repeat.IDEMPOTENT, timeout=0.8).run(scenario)

    def test_answer_of_another_request_never_reaches_the_caller(self) -> None:
        """An endpoint sends the answer to an earlier request in place of this one's."""

        async def crossed(stream, taken) -> None:
            taken.headers["carawayhub-request-id"] = "q0"
            await stream.send(whole(taken, b"somebody else's"))

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual(reply.status, 502)
            self.assertNotIn(b"somebody", reply.body)

        EntryHarness([crossed], repeat=Repeat.ONCE).run(scenario)

    def test_answer_without_a_seal_is_not_passed_on(self) -> None:
        async def unsealed(stream, taken) -> None:
            await stream.send(whole(taken, extra=b""))

        async def scenario(harness: EntryHarness) -> None:
            self.assertEqual((await harness.ask()).status, 502)

        EntryHarness([unsealed], repeat=Repeat.ONCE).run(scenario)

    def test_second_copy_of_an_answer_is_no_answer_to_the_next_request(self) -> None:
        async def doubled(stream, taken) -> None:
            await stream.send(whole(taken, b"once") + whole(taken, b"twice"))

        async def scenario(harness: EntryHarness) -> None:
            for _ in range(3):
                self.assertEqual((await harness.ask(harness.request(b"GET"))).body, b"once")

        EntryHarness([doubled], repeat=Repeat.IDEMPOTENT).run(scenario)

    def test_cut_answer_is_not_passed_on_as_whole(self) -> None:
        async def cut(stream, taken) -> None:
            await stream.send(whole(taken, b"a long answer")[:-4])
            raise ClosedError

        async def scenario(harness: EntryHarness) -> None:
            self.assertEqual((await harness.ask()).status, 502)

        EntryHarness([cut], repeat=Repeat.ONCE).run(scenario)

    def test_failure_of_an_endpoint_comes_back_as_it_is(self) -> None:
        async def fails(stream, taken) -> None:
            await stream.send(whole(taken, b"no", "500 Internal Server Error"))

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual((reply.status, reply.body), (500, b"no"))

        EntryHarness([fails], repeat=Repeat.ONCE).run(scenario)

    def test_silent_booking_ends_at_the_time_of_its_route(self) -> None:
        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertIn(reply.status, (502, 504))
            self.assertLess(reply.seconds, 0.9)

        EntryHarness([silent], repeat=Repeat.ONCE, timeout=0.4).run(scenario)

    def test_endpoint_that_left_gets_nothing_even_if_it_was_chosen_before(self) -> None:
        """An endpoint starts to drain while a request for it waits to be sent."""

        async def scenario(harness: EntryHarness) -> None:
            harness.view.misdirected("i-0")
            reply = await harness.ask()
            self.assertEqual(reply.status, 503)
            self.assertEqual(harness.taken(), [])

        EntryHarness([answers], repeat=Repeat.ONCE).run(scenario)


class Versions(unittest.TestCase):
    """Requests for a certain version of the weights."""

    def test_other_version_of_the_weights_leaves_endpoints_in_use(self) -> None:
        """Requests for a former version take one sound endpoint after the other out of use."""

        async def newer(stream, taken) -> None:
            if "carawayhub-expect-version" in taken.headers:
                await stream.send(b"HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n")
            else:
                await stream.send(whole(taken))

        async def scenario(harness: EntryHarness) -> None:
            versioned = harness.request(extra=b"Carawayhub-Expect-Version: 1\r\n")
            for _ in range(3):
                refusal = await harness.ask(versioned)
                self.assertEqual(refusal.status, 503)
                self.assertIn(b"x-carawayhub-code: 2042", refusal.head)
                self.assertEqual((await harness.ask()).status, 200)
            self.assertEqual(harness.health.refusing("i-0"), False)

        for repeat in (Repeat.STREAM, Repeat.ONCE):
            EntryHarness([newer, newer], repeat=repeat, attempts=2).run(scenario)

    def test_other_incarnation_is_found_by_a_request_for_any_version(self) -> None:
        """A replica that has the address of another one goes on getting its requests."""

        async def another(stream, taken) -> None:
            await stream.send(b"HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n")

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask()
            self.assertIsNone(harness.view.endpoint("i-0"))

        EntryHarness([another], repeat=Repeat.ONCE).run(scenario)


class Streams(unittest.TestCase):
    """Streams of events."""

    def test_whole_stream(self) -> None:
        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken))
            for number in range(1, 6):
                await stream.send(chunk(event(number)))
            await stream.send(chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertTrue(reply.whole)
            for number in range(1, 6):
                self.assertEqual(reply.body.count(event(number)), 1)
            self.assertEqual(harness.loads.own(), {})

        EntryHarness([events]).run(scenario)

    def test_broken_stream_goes_on_at_another_endpoint(self) -> None:
        """An endpoint crashes within event 3; the caller receives each event once, in order."""

        async def breaks(stream, taken) -> None:
            if "last-event-id" in taken.headers:
                return await resumes(stream, taken)
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(event(2)))
            await stream.send(chunk(event(3)[:9]))
            await anyio.sleep(0.05)
            raise ClosedError

        async def resumes(stream, taken) -> None:
            start = int(taken.headers["last-event-id"]) + 1
            await stream.send(stream_head(taken))
            for number in range(start, 6):
                await stream.send(chunk(event(number)))
            await stream.send(chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertTrue(reply.whole)
            places = [reply.body.index(event(number)) for number in range(1, 6)]
            self.assertEqual(places, sorted(places))
            self.assertEqual([reply.body.count(event(number)) for number in range(1, 6)], [1] * 5)
            resumed = [t.headers.get("last-event-id") for t in harness.taken()]
            resumed = [each for each in resumed if each]
            self.assertEqual(resumed, ["2"])

        EntryHarness([breaks, breaks]).run(scenario)

    def test_stream_that_cannot_go_on_does_not_look_whole(self) -> None:
        async def breaks(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)))
            await anyio.sleep(0.05)
            raise ClosedError

        async def scenario(harness: EntryHarness) -> None:
            reply = await harness.ask()
            self.assertEqual(reply.status, 200)
            self.assertIn(event(1), reply.body)
            self.assertFalse(reply.whole)

        EntryHarness([breaks]).run(scenario)

    def test_failure_before_the_first_event_goes_to_another_endpoint(self) -> None:
        async def fails(stream, taken) -> None:
            await stream.send(whole(taken, b"no", "500 Internal Server Error"))

        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            for _ in range(4):
                self.assertEqual((await harness.ask()).status, 200)

        EntryHarness([fails, events]).run(scenario)

    def test_endpoint_that_never_answers_is_found_out_though_callers_leave(self) -> None:
        """An endpoint accepts requests and never answers, while its health check succeeds.

        Callers disconnect after a second. As the endpoint looks idle, it would be chosen again.
        """

        async def silent(stream, taken) -> None:
            await anyio.sleep_forever()

        async def events(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)) + chunk(b""))

        async def scenario(harness: EntryHarness) -> None:
            for _ in range(6):
                with anyio.move_on_after(0.9):
                    await harness.ask()
            await anyio.sleep(0.1)
            self.assertGreater(harness.health.errors("i-0"), 0.1)
            self.assertEqual(harness.health.errors("i-1"), 0.0)

        EntryHarness([silent, events]).run(scenario)

    def test_caller_that_leaves_frees_its_endpoint_at_once(self) -> None:
        """A caller closes its connection after the first event."""

        async def slow(stream, taken) -> None:
            await stream.send(stream_head(taken) + chunk(event(1)))
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                taken.left.set()
            raise ClosedError

        async def scenario(harness: EntryHarness) -> None:
            stream = await anyio.connect_tcp("127.0.0.1", harness.port)
            await stream.send(harness.request())
            await stream.receive()
            await stream.aclose()
            with anyio.fail_after(0.4):
                await harness.taken()[0].left.wait()
            while harness.loads.own():
                await anyio.sleep(0.01)

        EntryHarness([slow]).run(scenario)


class Strangers(unittest.TestCase):
    """Malformed requests."""

    def test_nothing_reaches_an_endpoint(self) -> None:
        bad = [
            b"POST /songs/1 HTTP/1.1\r\nHost: caraway.example\r\nContent-Length: 5\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /songs/2 HTTP/1.1\r\n\r\n",
            b"POST /songs/1 HTTP/1.1\r\nHost: caraway.example\r\nContent-Length: 5\r\n"
            b"Content-Length: 6\r\n\r\nabcdef",
            b"POST /songs/1 HTTP/1.1\r\nHost caraway.example\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
        ]

        async def scenario(harness: EntryHarness) -> None:
            for data in bad:
                reply = await harness.ask(data)
                self.assertEqual(reply.status, 400, data)
            self.assertEqual(harness.taken(), [])

        EntryHarness([answers], repeat=Repeat.ONCE).run(scenario)

    def test_unreadable_deadline_is_refused_with_its_number(self) -> None:
        async def scenario(harness: EntryHarness) -> None:
            data = harness.request().replace(b"Deadline: 3000", b"Deadline: soon")
            reply = await harness.ask(data)
            self.assertEqual(reply.status, 400)
            self.assertIn(b"2008", reply.body)
            self.assertEqual(harness.taken(), [])

        EntryHarness([answers], repeat=Repeat.ONCE).run(scenario)


if __name__ == "__main__":
    unittest.main()
