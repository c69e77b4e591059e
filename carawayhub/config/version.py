"""Keeps the newest accepted version in force and never goes back.

Versions are ordered by number and, where one number was published with two contents, by digest.
Each process ends with the greatest acceptable one it has met, in whatever order it met them, so
two processes that have met the same offers have the same configuration in force.
"""

from collections import OrderedDict
from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.config.check import Build, build
from carawayhub.config.files import ConfigFile, digest
from carawayhub.config.model import Configuration
from carawayhub.config.problem import Problem

MAX_REFUSALS = 16


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offer is now in force.

    Attributes:
        configuration: What it makes.
        previous: What was in force before, None at the start.
    """

    configuration: Configuration
    previous: Configuration | None


@dataclass(frozen=True, slots=True)
class Same:
    """The offer is what is in force already."""


@dataclass(frozen=True, slots=True)
class Older:
    """The offer is older than what is in force, which stays."""

    in_force: int
    code: Code = Code.CONFIG_OLDER_VERSION


@dataclass(frozen=True, slots=True)
class Conflict:
    """The number in force was published with another content.

    Attributes:
        offered: Digest of the offer.
        in_force: The configuration in force after it.
        adopted: Whether the offer was put in force, its digest being the greater one.
        code: Its number.
    """

    offered: str
    in_force: Configuration
    adopted: bool
    code: Code = Code.CONFIG_VERSION_CONFLICT


@dataclass(frozen=True, slots=True)
class Refused:
    """The offer cannot be used; what was in force stays.

    Attributes:
        version: Its number.
        problems: All that is wrong with it.
        again: Whether the same content was refused before, so that nobody need be told.
    """

    version: int
    problems: tuple[Problem, ...]
    again: bool


Verdict = Accepted | Same | Older | Conflict | Refused


@dataclass(frozen=True, slots=True, order=True)
class VersionMark:
    """Place of a version in the order of all versions."""

    version: int
    digest: str


class HighWater:
    """The version in force at one process.

    Not safe for two threads at once. ``offer`` takes below a millisecond for a small step, but
    holds the processor far longer where a file of hundreds of kilobytes is new; ``is_costly``
    tells beforehand, so that an event loop can run that one in a worker thread.

    Example:
        >>> held = HighWater()
        >>> held.offer(1, (ConfigFile("a.json", b"{"),)).problems[0].code.name
        'CONFIG_SYNTAX'
        >>> held.configuration is None
        True
    """

    __slots__ = ("_build", "_configuration", "_refusals")

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._build: Build | None = None
        self._refusals: OrderedDict[VersionMark, tuple[Problem, ...]] = OrderedDict()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None until one was accepted."""
        return self._configuration

    @property
    def mark(self) -> VersionMark | None:
        """Number and digest in force, None until one was accepted."""
        held = self._configuration
        return None if held is None else VersionMark(held.version, held.digest)

    @property
    def files(self) -> tuple[ConfigFile, ...]:
        """The files in force, to hand on to peers."""
        if self._build is None:
            return ()
        return tuple(outline.file for outline in self._build.outlines.values())

    def is_costly(self, files: tuple[ConfigFile, ...]) -> bool:
        """Return whether much of an offer has to be read anew."""
        known = {file.name: file for file in self.files}
        fresh = sum(len(file.content) for file in files if known.get(file.name) != file)
        return fresh > COSTLY_BYTES

    def offer(self, version: int, files: tuple[ConfigFile, ...]) -> Verdict:
        """Put a version in force if it is newer than the one in force and nothing is wrong."""
        mark = VersionMark(version, digest(files))
        held = self.mark
        if held == mark:
            return Same()
        if held is not None and version < held.version:
            return Older(held.version)
        if held is not None and version == held.version and mark < held:
            return Conflict(mark.digest, self._in_force(), adopted=False)
        if mark in self._refusals:
            # A watcher offers a bad version again on each read; checking it each time would spend
            # the processor for as long as the operators leave it published.
            self._refusals.move_to_end(mark)
            return Refused(version, self._refusals[mark], again=True)
        return self._check(mark, files)

    def _check(self, mark: VersionMark, files: tuple[ConfigFile, ...]) -> Verdict:
        made = build(files, self._build)
        if made.problems:
            self._remember(mark, made.problems)
            return Refused(mark.version, made.problems, again=False)
        previous = self._configuration
        self._build = made
        self._configuration = made.configuration(mark.version, mark.digest)
        if previous is not None and previous.version == mark.version:
            return Conflict(mark.digest, self._configuration, adopted=True)
        return Accepted(self._configuration, previous)

    def _remember(self, mark: VersionMark, problems: tuple[Problem, ...]) -> None:
        self._refusals[mark] = problems
        while len(self._refusals) > MAX_REFUSALS:
            self._refusals.popitem(last=False)

    def _in_force(self) -> Configuration:
        if self._configuration is None:
            raise AssertionError("nothing is in force")
        return self._configuration


COSTLY_BYTES = 20_000
