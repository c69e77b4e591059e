"""The version in force: it moves forward only, and every process decides alike."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhub.config.check import Build, build
from carawayhub.config.files import ConfigFile, digest
from carawayhub.config.version import (
    Accepted,
    Conflict,
    HighWater,
    Older,
    Refused,
    Same,
    VersionMark,
)
from tests.test_config_check import BASE, step

BAD = step('{"endpoints": {"brest-1": {"stat": "leaving"}}}')
Edits = st.SearchStrategy[dict[str, object]]
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=100)


def sized(size: int) -> tuple[ConfigFile, ...]:
    return (BASE, step(json.dumps({"fleet": {"answer_size": size}})))


class HighWaterTest(unittest.TestCase):
    """One process and the offers that reach it."""

    def setUp(self) -> None:
        self.held = HighWater()
        self.held.offer(5, (BASE,))

    def test_a_newer_version_takes_over(self) -> None:
        verdict = self.held.offer(6, sized(4))
        assert isinstance(verdict, Accepted)
        self.assertEqual(verdict.previous and verdict.previous.version, 5)
        self.assertEqual(self.held.files, sized(4))
        self.assertIsInstance(self.held.offer(6, sized(4)), Same)

    def test_a_stale_read_does_not_bring_an_older_version_back(self) -> None:
        """Operators would see a retired endpoint come back to life.

        The service answers from a replica that lags and offers version 4 after version 5. The
        cause is that it may be stale for long; the process keeps what it has.
        """
        self.assertEqual(self.held.offer(4, sized(4)), Older(5))
        self.assertEqual(self.held.mark and self.held.mark.version, 5)

    def test_one_bad_file_refuses_all_and_a_later_good_version_goes_through(self) -> None:
        """Operators drop in a step with a misspelt key, see it refused, and mend it.

        Version 6 is refused whole and 5 stays in force. The refused number must not stand in the
        way of 7, nor of 6 itself once its content is mended.
        """
        verdict = self.held.offer(6, (*sized(4)[:1], BAD))
        assert isinstance(verdict, Refused)
        self.assertFalse(verdict.again)
        self.assertEqual(self.held.mark and self.held.mark.version, 5)
        self.assertIsInstance(self.held.offer(6, sized(4)), Accepted)
        self.assertIsInstance(self.held.offer(7, sized(5)), Accepted)

    def test_a_refused_version_is_not_checked_again(self) -> None:
        """A bad version stays published over night, and each read offers it again.

        Checking it each time would spend the processor all night; the first verdict is kept.
        """
        first = self.held.offer(6, (BASE, BAD))
        second = self.held.offer(6, (BASE, BAD))
        assert isinstance(first, Refused) and isinstance(second, Refused)
        self.assertTrue(second.again)
        self.assertEqual(first.problems, second.problems)

    def test_two_contents_under_one_number_end_alike_everywhere(self) -> None:
        """Two operators publish version 6 at once; half of the fleet reads the one, half the other.

        If each process kept what it met first, the halves would differ until version 7. The cause
        is a number that names two contents; the greater digest wins at all.
        """
        one, other = sized(4), sized(5)
        marks = []
        for first, second in ((one, other), (other, one)):
            held = HighWater()
            held.offer(6, first)
            verdict = held.offer(6, second)
            assert isinstance(verdict, Conflict)
            self.assertEqual(verdict.in_force, held.configuration)
            self.assertEqual(verdict.adopted, digest(second) > digest(first))
            marks.append(held.mark)
        self.assertEqual(marks[0], VersionMark(6, max(digest(one), digest(other))))
        self.assertEqual(marks[0], marks[1])

    def test_a_refused_content_does_not_win_a_conflict(self) -> None:
        held = HighWater()
        held.offer(6, sized(4))
        for tail in range(8):
            bad = (BASE, BAD, step("{}", f"{tail}.json"))
            self.assertIsInstance(held.offer(6, bad), Refused | Conflict)
            self.assertEqual(held.mark, VersionMark(6, digest(sized(4))))

    @REPEATABLE
    @given(
        st.permutations([(v, n) for v in (1, 2, 3) for n in (2, 3, 0)]),
    )
    def test_any_order_of_offers_ends_at_the_greatest_good_one(
        self, offers: list[tuple[int, int]]
    ) -> None:
        held = HighWater()
        good = []
        for version, size in offers:
            before = held.mark
            held.offer(version, sized(size))
            if size:
                good.append(VersionMark(version, digest(sized(size))))
            self.assertEqual(held.mark, max(good, default=None))
            self.assertTrue(before is None or (held.mark is not None and held.mark >= before))


ENDPOINTS = st.sampled_from(["brest-1", "brest-2", "roster-1", "extra-1"])
HOSTS = st.sampled_from(["10.0.1.1", "10.0.1.2", "10.0.1.4", "10.0.0.1"])
PROVIDERS = st.sampled_from(["old", "new"])
DIGESTS = st.sampled_from("abc").map(lambda digit: f"sha256:{digit * 64}")


def _endpoint(host: str, provider: str, state: str) -> dict[str, object]:
    return {
        "url": f"http://{host}:8000",
        "agent": f"{host}:7000",
        "failure_domain": "brest",
        "region": "west",
        "provider": provider,
        "state": state,
    }


ENDPOINT = st.one_of(
    st.builds(_endpoint, HOSTS, PROVIDERS, st.sampled_from(["serving", "leaving"])),
    st.builds(lambda host: {"url": f"http://{host}:8000"}, HOSTS),
    st.builds(lambda host, vm: {"agent": f"{host}:7000", "vm": vm}, HOSTS, ENDPOINTS),
    st.builds(lambda state: {"state": state}, st.sampled_from(["serving", "leaving"])),
    st.builds(lambda provider: {"provider": provider}, PROVIDERS),
    st.builds(lambda capacity: {"capacity": capacity}, st.integers(0, 3)),
    st.none(),
)
MEMBERS = st.lists(ENDPOINTS, min_size=1, max_size=2, unique=True)
USERS = st.lists(st.sampled_from(["bars", "clubs"]), max_size=2, unique=True)
GROUP = st.one_of(
    st.builds(
        lambda model, members: {"model": model, "endpoints": members},
        st.sampled_from(["catalogue", "other"]),
        MEMBERS,
    ),
    st.builds(lambda model: {"model": model}, st.sampled_from(["catalogue", "other"])),
    st.builds(lambda users: {"organisations": users}, USERS),
    st.none(),
)
SERVICE = st.one_of(
    st.builds(
        lambda members, path: {
            "endpoints": members,
            "routes": [{"method": "GET", "path": path, "repeatable": True}],
        },
        MEMBERS,
        st.sampled_from(["/slots", "/plays"]),
    ),
    st.builds(lambda users: {"organisations": users}, USERS),
    st.none(),
)
ORGANISATION = st.one_of(
    st.lists(DIGESTS, min_size=1, max_size=2, unique=True).map(lambda keys: {"keys": keys}),
    st.none(),
)
SHARES = st.sampled_from([{"old": 0, "new": 100}, {"old": 100, "new": 0}, {"new": 30}, None])
ENTRY = st.builds(
    lambda host: {
        "address": f"{host}:8080",
        "peer_address": f"{host}:7000",
        "failure_domain": "brest",
        "region": "west",
    },
    HOSTS,
)


def _edits(section: str, names: list[str], values: st.SearchStrategy[object]) -> Edits:
    def edit(name: str, value: object) -> dict[str, object]:
        return {section: {name: value}}

    return st.builds(edit, st.sampled_from(names), values)


EDITS = st.one_of(
    _edits("endpoints", ["brest-1", "brest-2", "roster-1", "extra-1"], ENDPOINT),
    _edits("groups", ["lyrics-old", "lyrics-new", "more"], GROUP),
    _edits("services", ["roster", "plays"], SERVICE),
    _edits("organisations", ["bars", "clubs"], ORGANISATION),
    _edits("shares", ["catalogue", "other"], SHARES),
    _edits("entries", ["entry-1", "entry-2"], ENTRY),
    st.builds(lambda size: {"fleet": {"answer_size": size}}, st.integers(0, 3)),
)
TEXT = st.one_of(*[EDITS.map(json.dumps)] * 9, st.just("{,}"))
FOLDER = st.dictionaries(
    st.sampled_from(["10.json", "20.json", "30.json", "40.json"]), TEXT, max_size=3
)


def _folder(texts: dict[str, str]) -> tuple[ConfigFile, ...]:
    return (BASE, *(ConfigFile(name, text.encode()) for name, text in texts.items()))


class IncrementalTest(unittest.TestCase):
    """A rebuild from an earlier version equals one from nothing."""

    @settings(REPEATABLE, max_examples=400)
    @given(st.lists(FOLDER, min_size=2, max_size=6))
    def test_problems_and_objects_are_the_same(self, folders: list[dict[str, str]]) -> None:
        base: Build = build((BASE,))
        for texts in folders:
            files = _folder(texts)
            step_by_step, full = build(files, base), build(files)
            self.assertEqual(step_by_step.problems, full.problems)
            self.assertEqual(step_by_step.scene.entities, full.scene.entities)
            if not full.problems:
                base = step_by_step

    @REPEATABLE
    @given(st.lists(EDITS, min_size=1, max_size=4))
    def test_taking_a_step_back_gives_what_was_before(
        self, contents: list[dict[str, object]]
    ) -> None:
        before = build((BASE,))
        for content in contents:
            after = build((BASE, step(json.dumps(content))), before)
            undone = build((BASE,), after)
            self.assertEqual(undone.scene.entities, before.scene.entities)
            self.assertEqual(undone.problems, ())

    def test_the_generated_folders_hold_good_and_bad_ones(self) -> None:
        good = bad = 0

        @REPEATABLE
        @given(FOLDER)
        def count(texts: dict[str, str]) -> None:
            nonlocal good, bad
            problems = build(_folder(texts)).problems
            good += not problems
            bad += bool(problems)

        count()
        self.assertGreater(good, 20)
        self.assertGreater(bad, 20)


if __name__ == "__main__":
    unittest.main()
