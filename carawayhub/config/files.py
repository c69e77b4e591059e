"""The files of one configuration version: names, contents and their digest."""

import hashlib
from dataclasses import dataclass, field
from operator import attrgetter
from pathlib import Path

from carawayhub.codes import Code
from carawayhub.config.problem import ConfigRefusedError, Problem

MAX_FILE_BYTES = 1_000_000
PATTERN = "*.json"
LENGTH_BYTES = 8
DIGEST_BYTES = 32


@dataclass(frozen=True, slots=True)
class ConfigFile:
    """One file as it was published.

    Attributes:
        name: Its name within the folder, which also gives its place in the order.
        content: Its bytes.
    """

    name: str
    content: bytes
    _marks: list[bytes] = field(default_factory=list, init=False, repr=False, compare=False)

    @property
    def digest(self) -> str:
        """SHA-256 of the content as lower-case hex."""
        return self.mark[-DIGEST_BYTES:].hex()

    @property
    def mark(self) -> bytes:
        """Length of the name, name and SHA-256 of the content, worked out once."""
        if not self._marks:
            name = self.name.encode("utf-8", "surrogatepass")
            size = len(name).to_bytes(LENGTH_BYTES, "big")
            self._marks.append(size + name + hashlib.sha256(self.content).digest())
        return self._marks[0]


def digest(files: tuple[ConfigFile, ...]) -> str:
    """Return the digest of a whole version as lower-case hex.

    It is the SHA-256 over each file's name (UTF-8, after its length in eight bytes) and the SHA-256
    of its content, in the order of the names. Hashing the contents' digests in place of the
    contents keeps a version that changes one file cheap, and peers can compare file by file.
    """
    marks = [file.mark for file in sorted(files, key=attrgetter("name"))]
    return hashlib.sha256(b"".join(marks)).hexdigest()


def read_folder(path: Path | str) -> tuple[ConfigFile, ...]:
    """Return the ``*.json`` files of a folder in the order of their names.

    Raises:
        ConfigRefusedError: The folder or a file in it cannot be read, or it holds no such file.
    """
    folder = Path(path)
    try:
        paths = sorted(_listed(folder), key=lambda each: each.name)
    except OSError as exc:
        detail = f"the folder cannot be listed: {exc.strerror}"
        problem = Problem(str(folder), 0, "", Code.CONFIG_FILE_UNREADABLE, detail)
        raise ConfigRefusedError((problem,)) from exc
    if not paths:
        detail = f"{folder} holds no {PATTERN} file"
        raise ConfigRefusedError((Problem(str(folder), 0, "", Code.CONFIG_NO_FILES, detail),))
    return _read_all(paths)


def _listed(folder: Path) -> list[Path]:
    # glob() skips a folder that is missing; iterdir() says so.
    return [path for path in folder.iterdir() if path.match(PATTERN) and path.name[0] != "."]


def _read_all(paths: list[Path]) -> tuple[ConfigFile, ...]:
    files: list[ConfigFile] = []
    problems: list[Problem] = []
    for path in paths:
        try:
            files.append(ConfigFile(path.name, path.read_bytes()))
        except OSError as exc:
            detail = f"the file cannot be read: {exc.strerror}"
            problems.append(Problem(path.name, 0, "", Code.CONFIG_FILE_UNREADABLE, detail))
    if problems:
        raise ConfigRefusedError(tuple(problems))
    return tuple(files)
