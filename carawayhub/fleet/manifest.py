"""The files of one configuration version, and the differences between versions.

A version is compared, offered and fetched as a mapping of file names to content digests, so that
only changed files are transferred. The VM list uses the same steps, with states as values.
"""

import hashlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

MAX_STEPS = 256


@dataclass(frozen=True, slots=True, order=True)
class VersionId:
    """A version number with the digest of its content.

    If one number was published with two contents, the greater digest counts as newer, as in
    ``carawayhub.config.version``, so that all processes choose the same content.

    Attributes:
        version: Number under which it was published, 0 for none.
        digest: SHA-256 over names and content digests as lower-case hex, empty for none.
    """

    version: int = 0
    digest: str = ""


NOTHING = VersionId()


@dataclass(frozen=True, slots=True)
class Manifest:
    """The files of one version.

    Attributes:
        id: Its number and digest.
        files: SHA-256 of each file's content as lower-case hex, by name.
    """

    id: VersionId = NOTHING
    files: Mapping[str, str] = field(default_factory=dict)

    @classmethod
    def of(cls, version: int, files: Mapping[str, str]) -> "Manifest":
        """Return the manifest of ``files`` with its computed digest."""
        return cls(VersionId(version, manifest_digest(files)), dict(files))


@dataclass(frozen=True, slots=True)
class Delta:
    """The changes that turn one mapping into another.

    Attributes:
        changed: New and changed names with their values.
        removed: Removed names.
    """

    changed: dict[str, str]
    removed: tuple[str, ...]

    def apply(self, base: Mapping[str, str]) -> dict[str, str]:
        """Return ``base`` with the changes applied."""
        files = dict(base)
        for name in self.removed:
            files.pop(name, None)
        files.update(self.changed)
        return files


def manifest_digest(files: Mapping[str, str]) -> str:
    """Return the digest of a version; equal to that of ``carawayhub.config.files.digest``."""
    total = hashlib.sha256()
    for name in sorted(files):
        encoded = name.encode("utf-8", "surrogatepass")
        total.update(len(encoded).to_bytes(8, "big"))
        total.update(encoded)
        total.update(bytes.fromhex(files[name]))
    return total.hexdigest()


def states_digest(states: Mapping[str, str]) -> str:
    """Return the digest of a VM list given as states by name."""
    lines = (f"{name}\0{states[name]}" for name in sorted(states))
    return hashlib.sha256("\n".join(lines).encode("utf-8", "surrogatepass")).hexdigest()


def difference(base: Mapping[str, str], target: Mapping[str, str]) -> Delta:
    """Return the changes that turn ``base`` into ``target``."""
    changed = {name: value for name, value in target.items() if base.get(name) != value}
    removed = tuple(name for name in base if name not in target)
    return Delta(changed, removed)


@dataclass(frozen=True, slots=True)
class _Step:
    base: VersionId
    names: tuple[str, ...]


class History:
    """The names that changed with each of the last versions, to answer peers with deltas.

    A peer that lags by more than ``MAX_STEPS`` versions receives the complete manifest.
    """

    __slots__ = ("_current", "_steps")

    def __init__(self) -> None:
        self._current = Manifest()
        self._steps: deque[_Step] = deque(maxlen=MAX_STEPS)

    @property
    def current(self) -> Manifest:
        """The newest manifest."""
        return self._current

    def advance(self, manifest: Manifest) -> None:
        """Make ``manifest`` the newest."""
        delta = difference(self._current.files, manifest.files)
        self._steps.append(_Step(self._current.id, (*delta.changed, *delta.removed)))
        self._current = manifest

    def since(self, base: VersionId) -> Delta | None:
        """Return the changes since ``base``, or None if ``base`` isn't in the history."""
        if base == self._current.id:
            return Delta({}, ())
        names: set[str] = set()
        for step in reversed(self._steps):
            names.update(step.names)
            if step.base == base:
                return self._delta_of(names)
        return None

    def _delta_of(self, names: set[str]) -> Delta:
        files = self._current.files
        changed = {name: files[name] for name in sorted(names) if name in files}
        removed = tuple(name for name in sorted(names) if name not in files)
        return Delta(changed, removed)
