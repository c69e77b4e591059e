"""The commands on folders: check, show, explain, diff, and the examples they are shown on."""

import io
import json
import shutil
import tempfile
import unittest
from collections.abc import Iterator
from dataclasses import fields, replace
from pathlib import Path
from typing import Any

from carawayhub.cli import configuration
from carawayhub.config.check import build, load
from carawayhub.config.diff import Effect, diff
from carawayhub.config.explain import explain
from carawayhub.config.files import ConfigFile, read_folder
from carawayhub.config.model import Configuration, EndpointState, ServiceRoute
from carawayhub.context import Environment
from carawayhub.errors import ConfigError
from carawayhub.status import ExitStatus
from tests.test_config_check import BASE, step

ROOT = Path(__file__).parent.parent
EXAMPLES = tuple(sorted((ROOT / "examples").iterdir()))


def changed(text: str) -> tuple[Configuration, Configuration]:
    return load((BASE,), 1), load((BASE, step(text)), 2)


class ExplainTest(unittest.TestCase):
    """Which file set a key."""

    def explained(self, key: str, *texts: str) -> list[tuple[object, bool, list[object]]]:
        files = [BASE, *(step(text, f"{place}0.json") for place, text in enumerate(texts, 1))]
        return [
            (each.value, each.is_default, [(s.file, s.line, s.value) for s in each.settings])
            for each in explain(tuple(files), key)
        ]

    def test_the_last_file_decides_and_earlier_ones_are_told(self) -> None:
        steps = (
            '{"shares":\n{"catalogue": {"old": 40, "new": 60}}}',
            '{"shares": {"catalogue": {"old": 0, "new": 100}}}',
        )
        shares_line = BASE.content[: BASE.content.index(b'"shares"')].count(b"\n") + 1
        settings = [("00-base.json", shares_line, 60), ("10.json", 2, 40), ("20.json", 1, 0)]
        self.assertEqual(self.explained("shares.catalogue.old", *steps), [(0, False, settings)])

    def test_defaults_and_removals(self) -> None:
        self.assertEqual(self.explained("fleet.answer_size"), [(3, True, [])])
        self.assertEqual(self.explained("endpoints.brest-1.state"), [("serving", True, [])])
        back = self.explained("fleet.answer_size", '{"fleet": {"answer_size": null}}')
        self.assertEqual(back, [(3, True, [("10.json", 1, None)])])
        (gone,) = self.explained("services.roster.endpoints", '{"services": {"roster": null}}')
        self.assertEqual(gone[:2], (None, False))

    def test_an_object_is_explained_key_by_key(self) -> None:
        keys = [each.key for each in explain((BASE,), "groups.lyrics-old")]
        self.assertEqual(keys, ["groups.lyrics-old.endpoints", "groups.lyrics-old.model"])

    def test_names_with_dots(self) -> None:
        text = '{"groups": {"x": {"model": "m"}, "x.y": {"model": "m.1"}}}'
        self.assertEqual(explain((step(text),), "groups.x.y.model")[0].value, "m.1")

    def test_unknown_keys_are_refused_with_a_hint(self) -> None:
        for key, wanted in (
            ("endpoint.brest-1", "endpoints"),
            ("endpoints.bresd-1", "brest-1"),
            ("fleet.answer_siz", "did you mean 'answer_size'"),
        ):
            with self.assertRaisesRegex(ConfigError, wanted):
                explain((BASE,), key)


class DiffTest(unittest.TestCase):
    """What a step changes, in words."""

    def texts(self, text: str) -> list[tuple[Effect, str, str, bool]]:
        return [(c.effect, c.name, c.text, bool(c.risk)) for c in diff(*changed(text))]

    def test_a_step_of_a_migration(self) -> None:
        found = self.texts(
            '{"endpoints": {"brest-1": {"state": "leaving"}},'
            ' "shares": {"catalogue": {"old": 0, "new": 100}}}'
        )
        leaving = "takes no new work; what it runs is finished"
        split = "the split moves from new 40, old 60 to new 100, old 0"
        self.assertEqual(
            found,
            [
                (Effect.ENDPOINT, "brest-1", leaving, False),
                (Effect.SHARE, "catalogue", split, False),
            ],
        )

    def test_removing_what_was_not_leaving_is_a_risk(self) -> None:
        """An operator takes an endpoint out in one step, and requests on it are cut.

        It has to leave in a step of its own first, so the diff warns before publication.
        """
        removal = '{"services": {"roster": null}, "endpoints": {"roster-1": null}}'
        risks = [each[:2] for each in self.texts(removal) if each[3]]
        self.assertEqual(risks, [(Effect.ENDPOINT, "roster-1"), (Effect.SERVICE, "roster")])
        leaving = step('{"endpoints": {"roster-1": {"state": "leaving"}}}', "05.json")
        after = load((BASE, leaving, step(removal)), 3)
        found = diff(load((BASE, leaving), 2), after)
        self.assertEqual([(c.effect, bool(c.risk)) for c in found][0], (Effect.ENDPOINT, False))

    def test_a_call_that_may_run_twice_from_now_on_is_a_risk(self) -> None:
        once = '{"method": "POST", "path": "/book", "repeatable": false}'
        routes = '{"services": {"roster": {"routes": [%s]}}}'
        before = load((BASE, step(routes % once)), 1)
        after = load((BASE, step(routes % once.replace("false", "true"))), 2)
        (change,) = diff(before, after)
        self.assertIn("POST /book may run more than once", change.text)
        self.assertTrue(change.risk)
        self.assertEqual([c.risk for c in diff(after, before)], [""])

    def test_limits_keys_and_fleet(self) -> None:
        found = self.texts(
            '{"fleet": {"answer_size": 4}, "organisations": {"bars": {"keys": ["sha256:%s"],'
            ' "limits": {"rate_per_s": 5}}}}' % ("c" * 64)
        )
        self.assertEqual(
            [(effect, text, risk) for effect, _, text, risk in found],
            [
                (Effect.FLEET, "answer size changes from 3 to 4", False),
                (Effect.ORGANISATION, "1 key can be used from now", False),
                (Effect.ORGANISATION, "1 key can no longer be used", True),
                (Effect.ORGANISATION, "rate changes from 100 to 5", False),
            ],
        )

    def test_nothing(self) -> None:
        self.assertEqual(self.texts("{}"), [])

    def test_no_field_of_any_object_can_change_unnoticed(self) -> None:
        """A field is added to the model, and a step that changes it shows no change at all."""
        cfg = load((BASE,), 1)
        sections = ("entries", "endpoints", "organisations", "groups", "services")
        for section in sections:
            name, entity = next(iter(getattr(cfg, section).items()))
            for altered in alterations(entity):
                with self.subTest(section, altered=altered):
                    after = replace(cfg, **{section: {**getattr(cfg, section), name: altered}})
                    self.assertTrue(diff(cfg, after))
        for fleet in alterations(cfg.fleet):
            self.assertTrue(diff(cfg, replace(cfg, fleet=fleet)))


def alterations(entity: Any) -> Iterator[Any]:
    for field in fields(entity):
        value = getattr(entity, field.name)
        match value:
            case _ if field.name == "name":
                continue
            case bool():
                yield replace(entity, **{field.name: not value})
            case int() | float():
                yield replace(entity, **{field.name: value + 1})
            case str():
                yield replace(entity, **{field.name: value + "0"})
            case EndpointState():
                yield replace(entity, **{field.name: EndpointState.LEAVING})
            case (ServiceRoute() as route,):
                for other in alterations(route):
                    yield replace(entity, **{field.name: (other,)})
            case tuple():
                yield replace(entity, **{field.name: (*value, "x")})
            case _:
                for other in alterations(value):
                    yield replace(entity, **{field.name: other})


class CommandTest(unittest.TestCase):
    """Streams and exit statuses of the commands."""

    def setUp(self) -> None:
        self.env = Environment(io.StringIO(), io.StringIO(), io.StringIO())
        held = tempfile.TemporaryDirectory()
        self.addCleanup(held.cleanup)
        self.folder = Path(held.name, "after")
        shutil.copytree(EXAMPLES[0], self.folder)

    def out(self) -> str:
        stream = self.env.stdout
        assert isinstance(stream, io.StringIO)
        return stream.getvalue()

    def err(self) -> str:
        stream = self.env.stderr
        assert isinstance(stream, io.StringIO)
        return stream.getvalue()

    def test_check_accepts_and_refuses(self) -> None:
        self.assertEqual(configuration.check(self.env, self.folder), ExitStatus.SUCCESS)
        self.assertIn("accepted", self.out())
        (self.folder / "99.json").write_text('{"fleet": {"answer_sise": 3}}')
        self.assertEqual(configuration.check(self.env, self.folder), ExitStatus.CONFIG_REFUSED)
        self.assertIn("99.json:1: fleet.answer_sise", self.err())
        self.assertIn("did you mean 'answer_size'?", self.err())

    def test_check_as_json(self) -> None:
        status = configuration.check(self.env, self.folder / "none", json_output=True)
        self.assertEqual(status, ExitStatus.CONFIG_REFUSED)
        (problem,) = json.loads(self.out())["problems"]
        self.assertEqual((problem["code"], problem["name"]), (1010, "CONFIG_FILE_UNREADABLE"))

    def test_what_show_prints_can_take_the_place_of_the_folder(self) -> None:
        for folder in EXAMPLES:
            with self.subTest(folder.name):
                self.env.stdout = io.StringIO()
                self.assertEqual(configuration.show(self.env, folder), ExitStatus.SUCCESS)
                single = load((ConfigFile("00.json", self.out().encode()),), 1)
                self.assertEqual(diff(load(read_folder(folder), 1), single), ())

    def test_explain_and_diff(self) -> None:
        key = "shares.catalogue.new"
        le_goff = ROOT / "examples" / "le-goff"
        self.assertEqual(configuration.explain(self.env, le_goff, key), ExitStatus.SUCCESS)
        self.assertIn("10-2027-01-brest-joins.json:", self.out())
        self.assertIn(", overridden", self.out())
        self.assertEqual(configuration.explain(self.env, le_goff, "x"), ExitStatus.USAGE)
        (self.folder / "99.json").write_text('{"fleet": {"answer_size": 4}}')
        status = configuration.diff(self.env, EXAMPLES[0], self.folder)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertIn("answer size changes from 3 to 4", self.out())


class ExamplesTest(unittest.TestCase):
    """Both firms' years can be published file by file."""

    def test_each_step_can_be_published_after_the_one_before(self) -> None:
        for folder in EXAMPLES:
            files = read_folder(folder)
            first = next(n for n, file in enumerate(files) if file.name.startswith("10-"))
            self.assertGreaterEqual(len(files) - first, 5)
            for count in range(first, len(files) + 1):
                with self.subTest(folder=folder.name, last=files[count - 1].name):
                    self.assertEqual(build(files[:count]).problems, ())

    def test_no_step_removes_an_endpoint_that_was_not_leaving(self) -> None:
        for folder in EXAMPLES:
            files = read_folder(folder)
            first = next(n for n, file in enumerate(files) if file.name.startswith("10-"))
            held = [load(files[:count], count) for count in range(first, len(files) + 1)]
            for before, after in zip(held, held[1:], strict=False):
                risks = [each for each in diff(before, after) if each.risk]
                self.assertEqual(risks, [])

    def test_calls_that_may_not_be_repeated(self) -> None:
        for firm, service, method, path in (
            ("le-goff", "mood-tags", "POST", "/v1/mood-tags"),
            ("le-goff", "licensing", "POST", "/v1/plays"),
            ("epidiorthosi", "booking", "POST", "/v1/bookings"),
        ):
            cfg = load(read_folder(ROOT / "examples" / firm), 1)
            routes = cfg.services[service].routes
            (route,) = (each for each in routes if (each.method, each.path) == (method, path))
            self.assertFalse(route.repeatable)


if __name__ == "__main__":
    unittest.main()
