"""What an endpoint really ran, kept for an outside observer.

Times are readings of the machine's clock that runs through suspensions. The stand-ins and their
observer share one machine, so these readings may be compared; the product never does that.
"""

from dataclasses import dataclass
from enum import Enum
from pathlib import Path

import msgspec

from carawayhub.clock import Clock, SystemClock


class RunState(Enum):
    """Where a run stands."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    CANCELLED = "cancelled"
    CUT = "cut"


@dataclass(slots=True, kw_only=True)
class RunRecord:
    """One arrival of a request at an endpoint.

    Attributes:
        number: Position in the journal.
        request_id: Header ``x-request-id`` as received.
        idempotency_key: Header ``idempotency-key`` as received, empty without one.
        content: Digest that identifies the request by what it asks.
        accepted: When it arrived, in seconds.
        started: When its work began, None while it never did.
        ended: When its work ended.
        state: Where it stands.
        tokens: Tokens generated.
        offset: Token at which a resumed stream went on, 0 for a run from the start.
    """

    number: int
    request_id: str
    idempotency_key: str
    content: str
    accepted: float
    started: float | None = None
    ended: float | None = None
    state: RunState = RunState.QUEUED
    tokens: int = 0
    offset: int = 0


class Journal:
    """All runs of one endpoint; with ``path`` they survive its end as JSON lines."""

    __slots__ = ("_clock", "_file", "runs")

    def __init__(self, path: Path | None = None, clock: Clock | None = None) -> None:
        self.runs: list[RunRecord] = []
        self._clock = clock or SystemClock()
        self._file = path.open("ab") if path else None

    def accept(
        self, request_id: str, idempotency_key: str, content: str, offset: int = 0
    ) -> RunRecord:
        """Note the arrival of a request."""
        run = RunRecord(
            number=len(self.runs),
            request_id=request_id,
            idempotency_key=idempotency_key,
            content=content,
            accepted=self._clock.monotonic(),
            offset=offset,
        )
        self.runs.append(run)
        self._write(run)
        return run

    def start(self, run: RunRecord) -> None:
        """Note that the work of ``run`` begins."""
        run.started = self._clock.monotonic()
        run.state = RunState.RUNNING
        self._write(run)

    def end(self, run: RunRecord, state: RunState) -> None:
        """Note how ``run`` ended; only the first end counts."""
        if run.ended is not None:
            return
        run.ended = self._clock.monotonic()
        run.state = state
        self._write(run)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()

    def _write(self, run: RunRecord) -> None:
        if self._file is None:
            return
        self._file.write(msgspec.json.encode(run) + b"\n")
        self._file.flush()


def read_journal(path: Path) -> list[RunRecord]:
    """Return the last state of each run in a journal file; a torn last line is left out.

    The file of an endpoint that was started again holds several journals, one after the other.
    """
    finished: list[RunRecord] = []
    current: dict[int, RunRecord] = {}
    for line in path.read_bytes().splitlines():
        try:
            run = msgspec.json.decode(line, type=RunRecord)
        except msgspec.DecodeError:
            continue
        known = current.get(run.number)
        if known is not None and known.accepted != run.accepted:
            finished.extend(current.values())
            current = {}
        current[run.number] = run
    return [*finished, *current.values()]
