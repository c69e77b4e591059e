"""The audit trail: what changed in a process, when, why, and from which version.

The trail is a bounded buffer in memory, since VMs have no persistent storage. Each change is also
written to the log, which is the source of any permanent copy.
"""

from collections import deque
from dataclasses import dataclass
from enum import Enum

from loguru import logger

from carawayhub.clock import Clock

MAX_CHANGES = 2_000


class Subject(Enum):
    """Kind of object that changed."""

    CONFIGURATION = "configuration"
    ENDPOINT = "endpoint"
    GROUP = "group"
    MEMBER = "member"
    PROCESS = "process"


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A recorded change.

    Attributes:
        sequence: Number of the change within this process, from 1.
        at: Wall time in seconds since 1970-01-01 UTC.
        process: Name of the process that observed or made the change.
        subject: Kind of object that changed.
        name: Name of the object, for example of an endpoint.
        before: State before the change.
        after: State after the change.
        reason: Reason for the change.
        version: Configuration version that the process used at the time.
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
    """Records the changes of one process.

    Args:
        process: Name of the process.
        clock: Source of wall time.
    """

    __slots__ = ("_changes", "_clock", "_next", "_process", "version")

    def __init__(self, process: str, clock: Clock) -> None:
        self._process = process
        self._clock = clock
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
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
        """Return the retained changes numbered above ``sequence``, oldest first."""
        return tuple(change for change in self._changes if change.sequence > sequence)
