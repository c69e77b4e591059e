"""The audit trail: what changed in a process, when, why, and from which version.

The trail is a ring in memory, since VMs keep nothing; each entry also goes out as a log line, which
is where a lasting copy comes from.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from carawayhub.clock import Clock

ENTRIES_KEPT = 2_000


class Subject(Enum):
    """What a change concerns."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    GROUP = "group"
    MEMBER = "member"
    PROCESS = "process"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One change.

    Attributes:
        sequence: Number of the change within this process, from 1.
        at: Wall time in seconds since 1970-01-01 UTC.
        process: Name of the process that saw or made it.
        subject: What it concerns.
        name: Which one, for example an endpoint's name.
        before: What held before.
        after: What holds now.
        reason: Why.
        version: Configuration version in force at the process then.
    """

    sequence: int
    at: float
    process: str
    subject: Subject
    name: str
    before: str
    after: str
    reason: str
    version: int


class AuditTrail:
    """Records changes of one process.

    Args:
        process: Name of the process.
        clock: Source of wall time.
    """

    __slots__ = ("_changes", "_clock", "_next", "_process", "version")

    def __init__(self, process: str, clock: Clock) -> None:
        self._process = process
        self._clock = clock
        self._changes: deque[Change] = deque(maxlen=ENTRIES_KEPT)
        self._next = 1
        self.version = 0

    def record(self, subject: Subject, name: str, before: str, after: str, reason: str) -> None:
        """Add a change and write it to the log."""
        change = Change(
            sequence=self._next,
            at=self._clock.wall(),
            process=self._process,
            subject=subject,
            name=name,
            before=before,
            after=after,
            reason=reason,
            version=self.version,
        )
        self._next += 1
        self._changes.append(change)
        logger.bind(
            subject=subject.value, name=name, before=before, after=after, version=self.version
        ).info("change: {}", reason)

    def since(self, sequence: int = 0) -> tuple[Change, ...]:
        """Return the changes kept whose number is above ``sequence``, oldest first."""
        return tuple(change for change in self._changes if change.sequence > sequence)
