"""Which parts of a prompt are identified, and that logs name them."""

import unittest

from loguru import logger

from carawayhub.gateway.model import Repeat
from carawayhub.limits.fingerprint import (
    FINGERPRINT_BYTES,
    MAX_PARTS,
    PART_FINGERPRINT_BYTES,
    part_fingerprint,
)
from carawayhub.platform.headers import PlatformWire
from tests.entry_harness import EntryHarness
from tests.scripted_endpoint import ClosedError, chunk, event, stream_head


def parts_of(*values: bytes, model: bytes = b"m") -> tuple[bytes, ...]:
    """Return the parts of a request whose prompt is described by the given header values."""
    headers = [(b"host", b"caraway.example"), (b"carawayhub-model", model)]
    headers += [(b"carawayhub-prompt-prefix", value) for value in values]
    scope = {"method": "POST", "raw_path": b"/songs/1", "query_string": b"", "headers": headers}
    return PlatformWire().request(scope).prompt_parts


class Decoded(unittest.TestCase):
    """Reading the parts of a prompt."""

    def test_last_part_belongs_to_the_request(self) -> None:
        found = parts_of(b"5c1e07a2:800,91bd3f06:410,e4402b7d:250")
        self.assertEqual(
            found, (part_fingerprint(b"m", b"5c1e07a2"), part_fingerprint(b"m", b"91bd3f06"))
        )
        self.assertEqual(parts_of(b"e4402b7d:250"), ())
        self.assertEqual(parts_of(), ())
        self.assertEqual(parts_of(b""), ())

    def test_same_part_with_another_count_in_another_place_or_case(self) -> None:
        first = parts_of(b"5c1e07a2:800,91bd3f06:410,0:1")
        again = parts_of(b"91BD3F06:7, 5c1e07a2 :1,0:1")
        self.assertEqual(set(first), set(again))
        self.assertEqual(len(parts_of(b"5c1e07a2:800,5c1e07a2:800,0:1")), 1)
        self.assertEqual(parts_of(b"5c1e07a2:800,91bd3f06:410", b"0:1"), first)

    def test_part_is_another_one_for_another_model(self) -> None:
        self.assertFalse(set(parts_of(b"5c:8,0:1")) & set(parts_of(b"5c:8,0:1", model=b"n")))

    def test_header_that_is_not_in_its_form_is_no_error(self) -> None:
        self.assertEqual(parts_of(b",,:800,,0:1"), ())
        self.assertEqual(len(parts_of(b"\xff\x00,zz,5c:x:y,0:1")), 3)

    def test_prompt_of_thousands_of_parts_costs_no_more_than_a_bounded_number(self) -> None:
        many = b",".join(b"%x:9" % number for number in range(3000))
        self.assertEqual(len(parts_of(many)), MAX_PARTS)

    def test_part_is_never_taken_for_a_request(self) -> None:
        self.assertNotEqual(PART_FINGERPRINT_BYTES, FINGERPRINT_BYTES)
        self.assertEqual(len(part_fingerprint(b"m", b"5c")), PART_FINGERPRINT_BYTES)


class Logged(unittest.TestCase):
    """The line about an answer that broke off."""

    def test_line_names_the_parts_of_the_prompt_and_how_far_the_answer_came(self) -> None:
        """Guards against logs that cannot show what requests at ended endpoints have in common."""
        found = []
        sink = logger.add(lambda each: found.append(each.record["extra"]), level="INFO")

        async def ends(stream, taken) -> None:
            harness.endpoints[0].end()

        async def scenario(harness: EntryHarness) -> None:
            header = b"Carawayhub-Prompt-Prefix: 5c1e07a2:800,e4402b7d:250\r\n"
            await harness.ask(harness.request(extra=header))

        harness = EntryHarness([ends], repeat=Repeat.ONCE)
        harness.run(scenario)
        logger.remove(sink)
        (line,) = [each for each in found if "listening" in each]
        self.assertEqual(line["parts"], [part_fingerprint(b"", b"5c1e07a2").hex()])
        self.assertEqual(line["events"], 0)

    def test_attempt_without_an_event_does_not_inherit_those_of_the_one_before(self) -> None:
        """Guards against blame or clearing by events that another endpoint sent."""
        found = []
        sink = logger.add(lambda each: found.append(each.record["extra"]), level="INFO")

        async def breaks(stream, taken) -> None:
            if "last-event-id" not in taken.headers:
                await stream.send(stream_head(taken) + chunk(event(1)) + chunk(event(2)))
            raise ClosedError

        async def scenario(harness: EntryHarness) -> None:
            await harness.ask()

        EntryHarness([breaks, breaks], attempts=2).run(scenario)
        logger.remove(sink)
        self.assertEqual([each["events"] for each in found if "listening" in each], [2, 0])


if __name__ == "__main__":
    unittest.main()
