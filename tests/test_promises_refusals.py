"""A refused request says so with a number, and what is said not to have run truly did not run."""

import anyio
import msgspec

from carawayhub.codes import Code
from carawayhub.standins.asks import LookUp, to_wire
from carawayhub.standins.faults import LinkFault, ServiceFault
from carawayhub.standins.fleet import leaving_step
from carawayhub.standins.fleetshape import FleetShape
from tests.stories import FleetTestCase, RawAnswer, publish_everywhere, request, until

CHAT = "/v1/chat/completions"


def _chat(model: str, text: str) -> bytes:
    message = {"role": "user", "content": text}
    return msgspec.json.encode({"model": model, "messages": [message], "max_tokens": 4})


class RefusalTest(FleetTestCase):
    """Answer classes and codes."""

    shape = FleetShape(failure_domains=("attica",), entries=1, engines=1, services=2)

    def assert_refused(self, answer: RawAnswer, code: Code, status: int) -> None:
        """Fail unless the answer is this refusal and says that nothing was run."""
        self.assertEqual(answer.status, status, answer.body)
        self.assertEqual(answer.error["code"], code)
        self.assertEqual(answer.error["outcome"], "not_run")
        self.assertEqual(answer.headers["x-carawayhub-code"], str(int(code)))

    async def test_what_cannot_be_served_is_refused_by_number_and_runs_nowhere(self) -> None:
        """A caller must learn from the answer alone that it may send its request again.

        Requests come with a wrong key, none, an unknown model or path, a broken body, a broken or
        spent deadline and a booking without key. Each is refused by its number before anything is
        dispatched.
        """
        entry = self.address(self.entries[0])
        good = _chat(self.shape.model, "never run")
        before = len(self.runs())
        self.assert_refused(await request(entry, CHAT, good, key="wrong"), Code.KEY_UNKNOWN, 401)
        self.assert_refused(await request(entry, CHAT, good, key=""), Code.KEY_MISSING, 401)
        other = _chat("unheard-of", "never run")
        self.assert_refused(await request(entry, CHAT, other), Code.NOT_SERVED, 404)
        self.assert_refused(await request(entry, "/nowhere"), Code.NOT_SERVED, 404)
        self.assert_refused(await request(entry, CHAT, b"{"), Code.BODY_MALFORMED, 400)
        for text, code, status in (
            ("soon", Code.DEADLINE_MALFORMED, 400),
            ("nan", Code.DEADLINE_MALFORMED, 400),
            ("0", Code.DEADLINE_PASSED, 504),
            ("-5", Code.DEADLINE_PASSED, 504),
        ):
            answer = await request(entry, CHAT, good, {"x-deadline-ms": text})
            self.assert_refused(answer, code, status)
        self.assert_refused(await request(entry, "/bookings", b"{}"), Code.RUN_ONCE_NEEDS_KEY, 428)
        self.assertEqual(len(self.runs()), before)

    async def test_caller_is_told_when_to_come_back(self) -> None:
        """The only engine leaves by configuration; a call for its model cannot be served now.

        The caller must get its final answer at once, and the time after which to ask again, and
        not be held until its deadline.
        """
        entry = self.address(self.entries[0])
        await publish_everywhere(self.fleet, *leaving_step(self.engines))
        with anyio.fail_after(5.0):
            answer = await request(
                entry, CHAT, _chat(self.shape.model, "later"), {"x-deadline-ms": "20000"}
            )
        self.assert_refused(answer, Code.NO_ENDPOINT, 503)
        self.assertGreater(answer.error["retry_after_s"], 0)
        self.assertGreaterEqual(int(answer.headers["retry-after"]), 1)

    async def test_http_1_0_is_refused(self) -> None:
        """An HTTP/1.0 caller takes the end of the connection for the end of the answer.

        An answer that was cut would look whole to it. So it gets none: its request is refused by
        number and is not run.
        """
        before = len(self.runs())
        host, _, port = self.address(self.entries[0]).partition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            body = _chat(self.shape.model, "old protocol")
            head = f"POST {CHAT} HTTP/1.0\r\nauthorization: Bearer key-of-cafes\r\n"
            await stream.send(f"{head}content-length: {len(body)}\r\n\r\n".encode() + body)
            received = b""
            with anyio.fail_after(10.0):
                try:
                    while b"}}" not in received:
                        received += await stream.receive()
                except anyio.EndOfStream:
                    pass
        self.assertIn(b" 505 ", received.split(b"\r\n", 1)[0])
        self.assertIn(b'"code":2007', received)
        self.assertEqual(len(self.runs()), before)

    async def test_lost_answer_outweighs_a_later_refusal(self) -> None:
        """A look-up is run at one endpoint, whose answer is lost; the next one cannot be reached.

        Nothing was sent to the second endpoint, but the first did run the call. The caller must
        hear that the outcome is unknown; "not run", which holds of the last attempt alone, is
        false of the request.
        """
        slow = ServiceFault(lose_reply_count=1, slow_factor=100.0)
        for desk in self.desks:
            await self.fleet.control(desk, "/control/fault", slow)
        ask = LookUp(path="/lookup", query={"song": "lost"})
        content = to_wire(ask).content
        async with self.caller("lost").open() as caller, anyio.create_task_group() as tasks:
            found = []

            async def call() -> None:
                found.append(await caller.call(ask))

            tasks.start_soon(call)
            await until(lambda: bool(self.runs(content)), "the look-up runs")
            (other,) = (desk for desk in self.desks if not self.runs(content, desk))
            link = self.fleet.proxy.links[other]
            link.state.set_fault(LinkFault(refuse=True))
            link.cut_open()
        (record,) = found
        self.assert_whole([record], completed=False)
        self.assertEqual(record.attempts[0].code, Code.ANSWER_CUT)
        self.assertEqual(len(self.runs(content)), 1)
