"""The configuration reference tells of every key what the checks hold it to."""

import unittest
from collections.abc import Iterator
from pathlib import Path

from carawayhub.config.check import build
from carawayhub.config.defaults import default
from carawayhub.config.files import ConfigFile, read_folder
from carawayhub.config.kinds import Choice, Field, Flag, Kind, Many, Number, Part
from carawayhub.config.schema import FIELDS
from carawayhub.config.syntax import Section

DOCS = Path(__file__).parent.parent / "docs"
PAGES = (DOCS / "configuration.md", DOCS / "migration-step.md")


def rows(section: Section, fields: tuple[Field, ...], path: tuple[str, ...] = ()) -> Iterator[str]:
    for field in fields:
        here = (*path, field.key)
        inner = field.kind.item if isinstance(field.kind, Many) else field.kind
        known = "required" if field.required else written(default(section, here))
        yield f"| `{'.'.join(here)}` | {type_of(field.kind)} | {known} | {range_of(field.kind)} |"
        if isinstance(inner, Part):
            yield from rows(section, inner.fields, here)


def written(value: object) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, int | float):
        return f"{value:g}" if value < 1_000_000 else str(value)
    return "none" if value in (None, []) else str(value)


def type_of(kind: Kind) -> str:
    match kind:
        case Many(item=item):
            return f"list of {type_of(item)}"
        case Number(whole=whole):
            return "whole number" if whole else "number"
        case Flag():
            return "true or false"
        case Part():
            return "object"
        case _:
            return "string"


def range_of(kind: Kind) -> str:
    match kind:
        case Number(low=low, high=high):
            return f"{low:,.10g} to {high:,.15g}"
        case Choice(options=options):
            return ", ".join(str(option.value) for option in options)
        case Many(least=least):
            return f"{least} or more" if least else "any"
        case _:
            return "-"


class ReferenceTest(unittest.TestCase):
    """docs/configuration.md against the schema."""

    def test_every_key_stands_there_with_type_default_and_range(self) -> None:
        for section, fields in FIELDS.items():
            with self.subTest(section.value):
                part = PAGES[0].read_text().split(f"## `{section.value}`\n")[1].split("\n## ")[0]
                lines = [line for line in part.splitlines() if line.startswith("| `")]
                told = [f"{line.rsplit(' | ', 1)[0]} |" for line in lines]
                self.assertEqual(told, list(rows(section, fields)))

    def test_the_examples_of_the_reference_make_one_folder(self) -> None:
        files = tuple(blocks(PAGES[0]))
        self.assertEqual(len(files), len(Section))
        self.assertEqual(build(files).problems, ())

    def test_the_steps_of_the_walk_can_be_published_one_after_the_other(self) -> None:
        steps = list(blocks(PAGES[1]))
        names = [step.name for step in steps]
        examples = read_folder(DOCS.parent / "examples" / "le-goff")
        files = [file for file in examples if file.name < names[0]]
        self.assertEqual(len(steps), 2)
        for step in steps:
            files.append(step)
            self.assertEqual(build(tuple(files)).problems, ())
        kept = {file.name: file for file in examples}
        self.assertEqual([name for name in names if name not in kept], [])


def blocks(page: Path) -> Iterator[ConfigFile]:
    for block in page.read_text().split("```jsonc\n")[1:]:
        text = block.split("```")[0]
        yield ConfigFile(text.split("\n")[0].removeprefix("// "), text.encode())


if __name__ == "__main__":
    unittest.main()
