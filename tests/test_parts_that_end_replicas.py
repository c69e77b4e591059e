"""A part of prompts that ends each replica which begins a request with it."""

import unittest
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import anyio
from loguru import logger

from benchmarks.request_fleet import RequestFleet
from carawayhub.limits.blame import Suspects
from carawayhub.limits.endrate import POISON_THRESHOLD
from carawayhub.limits.fingerprint import part_fingerprint
from carawayhub.limits.parthistory import PartHistory
from carawayhub.platform import headers

LATE_SENDS_ALLOWED = 3
"""Requests with a part that may reach replicas after its fifth end."""

SERVED_SHARE = 0.5
"""Least part of the sound requests that is served while refused ones keep coming."""

REFUSED_FOR_GOOD = 400
SPOILT = b"bad0"

Story = Callable[[], Awaitable[None]]


def setUpModule() -> None:
    logger.disable("carawayhub")


def tearDownModule() -> None:
    logger.enable("carawayhub")


class Shared(unittest.TestCase):
    """A part of prompts ends replicas; sound requests share its callers and its other parts."""

    def play(
        self,
        fleet: RequestFleet,
        seconds: float,
        gap: float,
        trouble: Story | None = None,
        rate: float = 10.0,
    ) -> None:
        """Let requests with the part come among others, and check the bounds.

        Args:
            fleet: The fleet.
            seconds: How long.
            gap: Seconds between two requests with the part.
            trouble: What happens meanwhile.
            rate: Sound requests per second.
        """
        fleet.ending_parts = {SPOILT}

        async def sound() -> None:
            for at in range(int(seconds * rate)):
                parts = (b"a%d" % (at % 3), b"b%d" % (at % 20))
                fleet.start(self.ask, fleet, b"sound %d" % at, parts)
                await anyio.sleep(1.0 / rate)

        async def story() -> None:
            fleet.start(sound)
            if trouble is not None:
                fleet.start(trouble)
            for at in range(int(seconds / gap)):
                parts = (b"a0", SPOILT, b"b%d" % (at % 20))
                fleet.start(self.ask, fleet, b"spoilt %d" % at, parts)
                await anyio.sleep(gap)

        fleet.play(story)
        ends = fleet.part_ends[SPOILT]
        self.assertGreaterEqual(len(ends), 3)
        self.assertLessEqual(len(fleet.late_part_sends(SPOILT)), LATE_SENDS_ALLOWED, ends)
        told = [each for each in fleet.told if each.content.startswith(b"sound")]
        self.assertNotIn(REFUSED_FOR_GOOD, {each.status for each in told})
        since = ends[min(4, len(ends) - 1)] + 6.0
        after = [each for each in told if each.asked_at > since]
        self.assertGreater(len(after), 20)
        self.assertGreater(sum(each.served for each in after), SERVED_SHARE * len(after))

    async def ask(self, fleet: RequestFleet, content: bytes, parts: tuple[bytes, ...]) -> None:
        await fleet.ask(content, parts=parts)

    def test_part_under_which_five_replicas_ended_is_sent_no_more(self) -> None:
        """One group of 12 ranks, which each end breaks for seconds."""
        self.play(RequestFleet(entries=7), 60.0, 0.7)

    def test_request_with_the_part_every_quarter_of_a_second(self) -> None:
        self.play(RequestFleet(entries=6, groups=2, ranks=12), 40.0, 0.25)

    def test_request_with_the_part_every_three_seconds(self) -> None:
        self.play(RequestFleet(entries=6, groups=2, ranks=12), 60.0, 3.0)

    def test_plain_service_without_groups(self) -> None:
        fleet = RequestFleet(entries=6, groups=12, ranks=1, plain=True, first_seconds=0.2)
        self.play(fleet, 40.0, 0.7)

    def test_45_entries_that_lose_datagrams(self) -> None:
        fleet = RequestFleet(entries=45, groups=3, ranks=24, lost=0.03)
        self.play(fleet, 30.0, 0.7, rate=20.0)

    def test_98_entries_before_192_replicas_that_lose_datagrams(self) -> None:
        fleet = RequestFleet(entries=98, groups=3, ranks=64, lost=0.03)
        self.play(fleet, 20.0, 0.25, rate=40.0)

    def test_entries_that_start_anew_one_after_the_other(self) -> None:
        fleet = RequestFleet(groups=2, ranks=12, lost=0.03)

        async def restart() -> None:
            while True:
                for ip in fleet.ips:
                    fleet.restart_entry(ip)
                    await anyio.sleep(1.5)

        self.play(fleet, 40.0, 0.7, restart)

    def test_entries_that_were_cut_off_are_told_when_they_are_back(self) -> None:
        fleet = RequestFleet(groups=2, ranks=12, lost=0.03)

        async def cut() -> None:
            while True:
                await fleet.cut_entry(fleet.rng.choice(fleet.ips), 4.0)
                await anyio.sleep(1.0)

        self.play(fleet, 40.0, 0.7, cut)

    def test_replicas_that_end_of_themselves_meanwhile(self) -> None:
        """The first part of a third of the requests is at most of these ends."""
        fleet = RequestFleet(groups=3, ranks=8, events=20)

        async def end_replicas() -> None:
            while True:
                await anyio.sleep(2.0)
                fleet.rng.choice(list(fleet.by_host.values())).end()

        self.play(fleet, 60.0, 0.7, end_replicas)

    def test_streams_that_end_with_their_connection(self) -> None:
        fleet = RequestFleet(groups=2, ranks=12, unframed=True)
        self.play(fleet, 40.0, 0.7)
        served = {each.events for each in fleet.told if each.served}
        self.assertEqual(served, {fleet.events})

    def test_entries_that_are_all_lost_at_once_learn_it_once_more(self) -> None:
        """The request comes seldom, so that entries are in touch again when it is found anew."""
        fleet = RequestFleet(groups=2, ranks=12)

        async def lose_all() -> None:
            await anyio.sleep(20.0)
            for ip in fleet.ips:
                fleet.restart_entry(ip)

        self.play(fleet, 60.0, 3.0, lose_all)
        self.assertGreater(len(fleet.part_ends[SPOILT]), 3)

    def test_part_beside_a_request_that_ends_replicas_itself(self) -> None:
        """Neither hides the other."""
        fleet = RequestFleet(groups=3, ranks=8, ending={b"cursed"})

        async def repeat() -> None:
            while True:
                await fleet.ask(b"cursed", parts=(b"a0", b"b7"))
                await anyio.sleep(1.1)

        self.play(fleet, 60.0, 0.7, repeat)
        self.assertGreaterEqual(len(fleet.ends[b"cursed"]), 3)
        self.assertLessEqual(len(fleet.late_sends(b"cursed")), LATE_SENDS_ALLOWED)

    def test_two_parts_at_once(self) -> None:
        fleet = RequestFleet(groups=3, ranks=8)

        async def other() -> None:
            fleet.ending_parts.add(b"bad1")
            for at in range(60):
                parts = (b"a1", b"bad1", b"b%d" % (at % 20))
                fleet.start(self.ask, fleet, b"other %d" % at, parts)
                await anyio.sleep(0.9)

        self.play(fleet, 60.0, 0.7, other)
        self.assertLessEqual(len(fleet.late_part_sends(b"bad1")), LATE_SENDS_ALLOWED)


class Beside(unittest.TestCase):
    """Requests with a part that was never answered, at a replica that ends of itself."""

    def test_stream_that_has_begun_goes_on_at_another_group(self) -> None:
        """Guards against broken streams for a part of which nothing is known yet."""
        fleet = RequestFleet(groups=2, ranks=6, events=30)

        async def story() -> None:
            for at in range(30):
                fleet.start(self.ask, fleet, at)
            await anyio.sleep(0.5)
            max(fleet.by_host.values(), key=lambda each: len(each.running)).end()
            await anyio.sleep(6.0)

        fleet.play(story)
        self.assertEqual([each.served for each in fleet.told], [True] * 30)

    async def ask(self, fleet: RequestFleet, at: int) -> None:
        await fleet.ask(b"sound %d" % at, parts=(b"new%d" % at,))


class Variants(unittest.TestCase):
    """Variants of the product that blame too much or too little fail the plays above."""

    def test_variant_that_knows_whole_requests_only_is_found(self) -> None:
        with (
            patch.object(headers, "_shared_parts", lambda *args: ()),
            self.assertRaisesRegex(AssertionError, "not less than or equal to 3"),
        ):
            Shared().play(RequestFleet(entries=7), 40.0, 0.7)

    def test_variant_that_blames_every_part_of_the_request_is_found(self) -> None:
        with (
            patch.object(Suspects, "_explains", lambda *args: False),
            patch.object(PartHistory, "was_answered", lambda *args: False),
            self.assertRaisesRegex(AssertionError, "400 unexpectedly found"),
        ):
            Shared().play(RequestFleet(entries=7), 40.0, 0.7)


class Lifted(unittest.TestCase):
    """An operator lifts a rejection."""

    def test_part_that_an_operator_lists_is_allowed_at_all_entries(self) -> None:
        fleet = RequestFleet(groups=4, ranks=3, ending_parts={SPOILT})
        logger.enable("carawayhub")
        self.addCleanup(logger.disable, "carawayhub")
        found = []
        sink = logger.add(lambda each: found.append(each.record["extra"].get("detail", "")))
        self.addCleanup(logger.remove, sink)

        async def ask(number: int) -> int:
            return (await fleet.ask(b"%d" % number, parts=(b"a0", SPOILT))).status

        async def story() -> None:
            for number in range(POISON_THRESHOLD):
                await ask(number)
                await anyio.sleep(1.0)
            self.assertEqual(await ask(90), REFUSED_FOR_GOOD)
            self.assertIn(part_fingerprint(b"", SPOILT).hex(), " ".join(found))
            fleet.ending_parts.clear()
            fleet.lifted = frozenset({part_fingerprint(b"", SPOILT)})
            fleet.live[fleet.ips[0]].process._reload()
            await anyio.sleep(1.0)
            self.assertEqual([await ask(100 + at) for at in range(9)], [200] * 9)

        fleet.play(story)


class Innocent(unittest.TestCase):
    """Parts of requests that were at replicas which ended of themselves."""

    def play(self, fleet: RequestFleet, gap: float, seconds: float, count: int = 1) -> None:
        """End replicas again and again, and check that no request is refused for good."""

        async def end_replicas() -> None:
            while True:
                await anyio.sleep(gap)
                for each in fleet.rng.sample(sorted(fleet.by_host), count):
                    fleet.by_host[each].end()

        async def insist(at: int) -> None:
            parts = (b"c0", b"a%d" % (at % 3), b"b%d" % (at % 20))
            for _ in range(4):
                if (await fleet.ask(b"sound %d" % at, parts=parts)).served:
                    return
                await anyio.sleep(0.3)

        async def story() -> None:
            fleet.start(end_replicas)
            for at in range(int(seconds * 10)):
                fleet.start(insist, at)
                await anyio.sleep(0.1)

        fleet.play(story)
        self.assertNotIn(REFUSED_FOR_GOOD, {each.status for each in fleet.told})

    def test_one_group_that_breaks_every_four_seconds_with_a_part_in_every_request(self) -> None:
        for seed in range(4):
            self.play(RequestFleet(groups=1, ranks=12, events=30, seed=seed), 4.3, 60.0)

    def test_groups_that_break_every_two_seconds(self) -> None:
        for seed in range(2):
            self.play(RequestFleet(groups=3, ranks=8, events=30, seed=seed), 2.0, 40.0)

    def test_replicas_that_end_all_the_time_before_anything_was_answered(self) -> None:
        """Guards against blame for a part in every request, which nothing has cleared yet."""
        for seed in (4, 29):
            self.play(RequestFleet(groups=4, ranks=3, events=30, seed=seed), 0.4, 20.0)

    def test_parts_of_a_single_caller_whose_requests_differ(self) -> None:
        """Guards against blame for a part that only one caller sends, again and again."""
        for seed in (4, 30):
            self.play_own_parts(seed)

    def test_parts_of_a_single_caller_that_met_ends_by_chance(self) -> None:
        self.play_own_parts(29)

    def play_own_parts(self, seed: int) -> None:
        """Let replicas end every 0.4 s; each caller has a part of its own and comes five times."""
        fleet = RequestFleet(groups=4, ranks=3, events=30, seed=seed)

        async def end_replicas() -> None:
            while True:
                fleet.rng.choice(list(fleet.by_host.values())).end()
                await anyio.sleep(0.4)

        async def insist(at: int) -> None:
            for attempt in range(5):
                content = b"sound %d %d" % (at, attempt)
                if (await fleet.ask(content, parts=(b"c0", b"u%d" % at))).served:
                    return
                await anyio.sleep(0.3)

        async def story() -> None:
            fleet.start(end_replicas)
            for at in range(400):
                fleet.start(insist, at)
                await anyio.sleep(0.05)

        fleet.play(story)
        self.assertNotIn(REFUSED_FOR_GOOD, {each.status for each in fleet.told})

    def test_replicas_that_end_together(self) -> None:
        """Four of twelve replicas end at one moment, as those of a failure domain do."""
        for seed in range(4):
            fleet = RequestFleet(groups=12, ranks=1, events=30, seed=seed)
            self.play(fleet, 5.0, 40.0, count=4)


if __name__ == "__main__":
    unittest.main()
