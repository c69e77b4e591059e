"""Settings of a process: what is wrong in a file is said with the file and the key."""

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from hypothesis import given, settings
from hypothesis import strategies as st

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.errors import CommandError
from carawayhub.http import bind
from carawayhub.settings import AgentSettings, EntrySettings, load_settings, parse_settings

GOOD = {
    "name": "e1",
    "vm": "vm-1",
    "failure_domain": "brest",
    "region": "west",
    "listen": "10.0.0.1:8080",
    "peer_listen": "[::1]:7000",
    "operator_listen": "10.0.0.1:9000",
    "platform": "http://10.0.0.5:7100",
    "system_key": "0123456789abcdef",
}


def problem(content: bytes) -> str:
    try:
        parse_settings(content, "e1.json", EntrySettings)
    except CommandError as exc:
        assert exc.code is Code.SETTINGS_INVALID
        return exc.detail
    raise AssertionError("the settings were taken")


class SettingsTest(unittest.TestCase):
    """One file."""

    def test_comments_may_stand_anywhere_but_in_texts(self) -> None:
        body = json.dumps(GOOD | {"vm": "a//b /* c */"}, indent=1)
        content = "/* é */" + body.replace(",\n", ', // "x": 1,\n')
        found = parse_settings(content.encode(), "e1.json", EntrySettings)
        self.assertEqual(found.vm, "a//b /* c */")

    def test_an_agent_needs_no_address_for_callers(self) -> None:
        body = {key: value for key, value in GOOD.items() if key != "listen"}
        found = parse_settings(json.dumps(body).encode(), "a.json", AgentSettings)
        self.assertEqual(found.seeds, ())

    def test_a_file_that_is_no_json_is_named_with_its_line(self) -> None:
        for content, words in (
            (b"", "empty"),
            (b" \n", "empty"),
            (b"[]", "object"),
            (b'{\n"name": "e",\n}', "(line 3)"),
            (b'{"name": "\xff"}', "UTF-8"),
            (b"\xff\xfe{\0", "line 1"),
            (b'{"seeds": ' + b"[" * 100_000, "seeds"),
        ):
            found = problem(content)
            self.assertTrue(found.startswith("e1.json: "), found)
            self.assertIn(words, found)

    def test_each_bad_value_is_named_by_its_key(self) -> None:
        for key, value in (
            ("nmae", "e1"),
            ("name", 1),
            ("seeds", "10.0.0.1:80"),
            ("system_key", "short"),
            ("log_level", "loud"),
            ("platform", "10.0.0.5:7100"),
            ("platform", "http://10.0.0.5:99999"),
            ("listen", "10.0.0.1"),
            ("listen", "brest:80"),
            ("peer_listen", "10.0.0.1:\xb2"),
            ("operator_listen", "10.0.0.1:65536"),
            ("peer_address", ":80"),
            ("seeds", ["10.0.0.1:80", "10.0.0.300:80"]),
        ):
            with self.subTest(key=key, value=value):
                self.assertIn(key, problem(json.dumps(GOOD | {key: value}).encode()))
        for key in GOOD:
            left = {name: value for name, value in GOOD.items() if name != key}
            self.assertIn(f"`{key}`", problem(json.dumps(left).encode()))

    def test_a_file_that_cannot_be_read_is_named(self) -> None:
        with TemporaryDirectory() as folder, self.assertRaises(CommandError) as caught:
            load_settings(Path(folder), EntrySettings)
        self.assertIn(folder, caught.exception.detail)

    def test_an_address_that_this_machine_does_not_have_is_a_matter_of_settings(self) -> None:
        with self.assertRaises(CommandError) as caught:
            bind(Address("192.0.2.1", 0))
        self.assertIs(caught.exception.code, Code.SETTINGS_INVALID)
        self.assertIn("192.0.2.1", caught.exception.detail)

    @settings(derandomize=True, deadline=None)
    @given(st.binary())
    def test_no_bytes_are_taken_or_raise_anything_else(self, content: bytes) -> None:
        self.assertTrue(problem(content).startswith("e1.json: "))


if __name__ == "__main__":
    unittest.main()
