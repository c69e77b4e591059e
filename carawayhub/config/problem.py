"""What is wrong with a configuration, at which line, and what to do about it."""

from dataclasses import dataclass

from carawayhub.codes import Code, meaning
from carawayhub.errors import ConfigError


@dataclass(frozen=True, slots=True, order=True)
class Problem:
    """One fault in the files of a version.

    Attributes:
        file: Name of the file.
        line: Line in it, counted from 1; 0 where no line is concerned.
        key: Dotted path of the key, for example ``endpoints.brest-1.state``; empty for the file.
        code: Its number.
        detail: What was found and what is wanted.
    """

    file: str
    line: int
    key: str
    code: Code
    detail: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        subject = f"{self.key}: " if self.key else ""
        known = meaning(self.code)
        return (
            f"{place}: {subject}{known.text}: {self.detail} (code {int(self.code)}; {known.action})"
        )


class ConfigRefusedError(ConfigError):
    """A version is refused.

    Attributes:
        problems: All that is wrong with it, in the order of files and lines.
    """

    __slots__ = ("problems",)

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        first = problems[0]
        more = f" and {len(problems) - 1} more" if len(problems) > 1 else ""
        super().__init__(first.code, f"{first}{more}")
        self.problems = problems

    def __str__(self) -> str:
        return self.detail
