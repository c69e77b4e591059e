"""Reading of JSON with comments: places of values, and what is refused."""

import tempfile
import unittest
from hashlib import sha256
from pathlib import Path

from carawayhub.codes import Code
from carawayhub.config.check import build
from carawayhub.config.files import DIGEST_BYTES, MAX_FILE_BYTES, ConfigFile, digest, read_folder
from carawayhub.config.problem import ConfigRefusedError, Problem
from carawayhub.config.syntax import EntityKey, Object, Section, decode, outline


class SyntaxTest(unittest.TestCase):
    """What the grammar takes and refuses."""

    def assert_refused(self, content: bytes, code: Code, line: int) -> None:
        problems = outline(ConfigFile("x.json", content)).problems
        self.assertEqual([(each.code, each.line) for each in problems], [(code, line)])

    def test_comments_and_lines(self) -> None:
        content = b'// a\n{ /* b */ "fleet": // c\n {"answer_size":\n 4}}\n// d'
        problems: list[Problem] = []
        held = outline(ConfigFile("x.json", content))
        node = decode(held, EntityKey(Section.FLEET, ""), problems)
        assert isinstance(node, Object)
        self.assertEqual(node.members["answer_size"].line, 4)
        self.assertEqual(problems, [])

    def test_faults_of_syntax_name_their_line(self) -> None:
        for content, line in (
            (b'{"fleet": {\n"answer_size": 1,\n}}', 2),
            (b'{"fleet": {}\n', 1),
            (b'{\n\n"fleet": {"answer_size": 01}}', 3),
            (b'{"fleet": {"answer_size": NaN}}', 1),
            (b"{'fleet': {}}", 1),
            (b'{"fleet": {}}\n{"fleet": {}}', 2),
            (b"", 1),
            (b"// nothing", 1),
        ):
            with self.subTest(content):
                self.assert_refused(content, Code.CONFIG_SYNTAX, line)

    def test_faults_of_syntax_say_what_to_look_for(self) -> None:
        for content, wanted in (
            (b'{"fleet": {},}', "column 13: this comma is too many"),
            (b'{"groups": {"a": {"endpoints": ["b",]}}}', "column 36: this comma is too many"),
            (b'{"fleet": [1,2,]}', "a value is missing"),
            (b'{"fleet": {}', "'}' is missing"),
            (b"{", "missing bracket"),
        ):
            with self.subTest(content):
                (problem,) = outline(ConfigFile("x.json", content)).problems
                self.assertIn(wanted, problem.detail)

    def test_half_of_a_surrogate_pair_is_no_text(self) -> None:
        text = b'{"endpoints": {"a": {"provider": "\\ud800"}}}'
        problems = build((ConfigFile("x.json", text),)).problems
        self.assertIn(Code.CONFIG_SYNTAX, [each.code for each in problems])

    def test_files_that_cannot_be_read(self) -> None:
        self.assert_refused(b'{\n"fl\xff": {}}', Code.CONFIG_FILE_UNREADABLE, 2)
        self.assert_refused(b" " * (MAX_FILE_BYTES + 1), Code.CONFIG_FILE_TOO_LARGE, 0)
        self.assert_refused(b"[1]", Code.CONFIG_WRONG_TYPE, 1)

    def test_hostile_contents_end_in_a_problem_and_not_in_a_crash(self) -> None:
        """A generator goes wrong and publishes nonsense.

        Each process of the fleet reads it within seconds; a crash here would end all of them at
        once, and again at each restart.
        """
        for value in (
            b"[" * 20_000 + b"]" * 20_000,
            b"9" * 5_000,
            b"1e999",
        ):
            for text in (b'{"fleet": {"answer_size": %s}}', b'{"endpoints": {"a": %s}}'):
                with self.subTest(value[:20]):
                    made = build((ConfigFile("x.json", text % value),))
                    self.assertTrue(made.problems)
                    # What is told of them must be fit to be written out.
                    "".join(map(str, made.problems)).encode()
        for content in (b"[" * 50_000, b'{"a":' * 50_000, b"\x00", b'{"\\ud800": {}}'):
            self.assertTrue(build((ConfigFile("x.json", content),)).problems)


class FilesTest(unittest.TestCase):
    """Folders and digests."""

    def test_a_folder_is_read_in_the_order_of_names(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            for file in ("20.json", "10.json", "notes.txt", ".30.json"):
                Path(name, file).write_bytes(b"{}")
            self.assertEqual([file.name for file in read_folder(name)], ["10.json", "20.json"])

    def test_folders_without_files(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            for path, code in (
                (name, Code.CONFIG_NO_FILES),
                (f"{name}/none", Code.CONFIG_FILE_UNREADABLE),
            ):
                with self.assertRaises(ConfigRefusedError) as caught:
                    read_folder(path)
                self.assertEqual(caught.exception.code, code)

    def test_the_digest_tells_names_and_contents_apart(self) -> None:
        a, b = ConfigFile("a", b"bc"), ConfigFile("d", b"")
        self.assertEqual(digest((a, b)), digest((b, a)))
        others = [
            (ConfigFile("ab", b"c"), b),
            (ConfigFile("a", b""), ConfigFile("d", b"bc")),
            (a,),
            (),
        ]
        self.assertEqual(len({digest(each) for each in [(a, b), *others]}), 5)

    def test_a_name_cannot_stand_for_another_file(self) -> None:
        """Without lengths, one name could hold another file's name and digest."""
        one = ConfigFile("a", b"1")
        two = ConfigFile("b", b"2")
        forged = ConfigFile(f"a{one.mark[-DIGEST_BYTES:].decode('latin-1')}b", b"2")
        self.assertNotEqual(digest((one, two)), digest((forged,)))
        wanted = bytes(7) + b"\x01a" + sha256(b"1").digest()
        self.assertEqual(digest((one,)), sha256(wanted).hexdigest())


if __name__ == "__main__":
    unittest.main()
