"""Second answers to a former request, at the point where the answer to the next one is due."""

import unittest

from loguru import logger

from carawayhub.gateway.model import Repeat
from tests.entry_harness import EntryHarness


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class LateSecondAnswers(unittest.TestCase):
    """Answers that say, of the former request, that it did not run."""

    def ask(self, repeat: Repeat, status: bytes, named: bytes = b"q0") -> tuple[int, int]:
        """Send a request whose endpoints answer another one; return status and sends."""
        found = []

        async def late(stream, taken) -> None:
            head = b"HTTP/1.1 %s\r\nCarawayhub-Not-Executed: 1\r\n" % status
            await stream.send(
                head + b"Carawayhub-Request-Id: %s\r\nContent-Length: 0\r\n\r\n" % named
            )

        async def scenario(harness: EntryHarness) -> None:
            found.append((await harness.ask()).status)

        harness = EntryHarness([late, late], repeat=repeat)
        harness.run(scenario)
        return found[0], len(harness.taken())

    def test_request_is_not_sent_again_for_the_refusal_of_another_one(self) -> None:
        """Guards against a request that runs twice, and one refused as not run that runs."""
        for status in (b"503 Service Unavailable", b"421 Misdirected Request"):
            with self.subTest(status=status):
                self.assertEqual(self.ask(Repeat.ONCE, status), (502, 1))

    def test_request_that_may_run_again_is_sent_to_another_endpoint(self) -> None:
        self.assertEqual(self.ask(Repeat.IDEMPOTENT, b"503 Service Unavailable"), (502, 2))

    def test_own_refusals_are_believed(self) -> None:
        for named in (b"q1", b""):
            status, _ = self.ask(Repeat.ONCE, b"503 Service Unavailable", named)
            self.assertEqual(status, 503)


if __name__ == "__main__":
    unittest.main()
