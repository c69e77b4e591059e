"""Continuous batching: a fixed number of requests advance by one token in each step."""

import heapq
from collections import deque
from dataclasses import dataclass, field

import anyio

from carawayhub.clock import Clock
from carawayhub.standins.journal import Journal, RunRecord, RunState

RATE_WINDOW_S = 1.0
STEP_SAMPLES = 32


@dataclass(slots=True)
class Job:
    """One request inside the engine.

    Attributes:
        run: Its line in the journal.
        priority: Lower is admitted first.
        prefill_steps: Steps until the first token.
        total: Tokens to generate, counted from the start of the answer.
        produced: Tokens generated so far.
        progress: Set when something changed; the reader replaces it.
        stopped: Whether its slot was taken away.
    """

    run: RunRecord
    priority: int
    prefill_steps: int
    total: int
    produced: int = 0
    progress: anyio.Event = field(default_factory=anyio.Event)
    stopped: bool = False

    @property
    def done(self) -> bool:
        """Whether all tokens are there."""
        return self.produced >= self.total


@dataclass(slots=True, frozen=True)
class Load:
    """What an engine says of its load."""

    running: int
    queued: int
    capacity: int
    step_seconds: float
    tokens_rate: float


class Batch:
    """Runs jobs in steps, in the order of priority and then arrival.

    Args:
        capacity: Jobs that run at once.
        step_seconds: Time of one step.
        journal: Where runs are noted.
        clock: Time.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_durations",
        "_journal",
        "_pace_changed",
        "_queue",
        "_running",
        "_slow_factor",
        "_stalled_until",
        "_tokens",
        "_work",
        "capacity",
        "step_seconds",
    )

    def __init__(self, capacity: int, step_seconds: float, journal: Journal, clock: Clock) -> None:
        self.capacity = capacity
        self.step_seconds = step_seconds
        self._slow_factor = 1.0
        self._stalled_until = 0.0
        self._pace_changed = anyio.Event()
        self._journal = journal
        self._clock = clock
        self._queue: list[tuple[int, int, Job]] = []
        self._running: dict[int, Job] = {}
        self._arrivals = 0
        self._work = anyio.Event()
        self._durations: deque[float] = deque(maxlen=STEP_SAMPLES)
        self._tokens: deque[tuple[float, int]] = deque()

    def submit(self, job: Job) -> None:
        """Queue ``job``; one with nothing left to generate ends at once."""
        if job.done:
            self._journal.start(job.run)
            self._journal.end(job.run, RunState.COMPLETED)
            job.progress.set()
            return
        self._arrivals += 1
        heapq.heappush(self._queue, (job.priority, self._arrivals, job))
        self._work.set()

    def set_pace(self, slow_factor: float, stalled_until: float) -> None:
        """Make each step longer by a factor, and none before ``stalled_until``."""
        self._slow_factor = slow_factor
        self._stalled_until = stalled_until
        self._pace_changed.set()
        self._pace_changed = anyio.Event()

    def stop(self, job: Job, state: RunState) -> None:
        """Free the slot or the place in the queue of ``job``; nothing if it has ended."""
        job.stopped = True
        self._running.pop(job.run.number, None)
        self._journal.end(job.run, state)
        job.progress.set()

    def load(self) -> Load:
        """Return the load at this moment."""
        now = self._clock.monotonic()
        while self._tokens and self._tokens[0][0] < now - RATE_WINDOW_S:
            self._tokens.popleft()
        tokens = sum(count for _, count in self._tokens)
        mean = sum(self._durations) / len(self._durations) if self._durations else 0.0
        queued = sum(1 for _, _, job in self._queue if not job.stopped)
        return Load(len(self._running), queued, self.capacity, mean, tokens / RATE_WINDOW_S)

    async def run(self) -> None:
        """Step for as long as the engine lives."""
        began = self._clock.monotonic()
        while True:
            if not self._queue and not self._running:
                self._work = anyio.Event()
                await self._work.wait()
                began = self._clock.monotonic()
                self._admit()
            due = await self._sleep_until_due(began)
            now = self._clock.monotonic()
            self._durations.append(now - began)
            # A late wake-up is caught up with, so that the mean step time holds.
            began = max(due, now - self.step_seconds)
            self._step(now)

    async def _sleep_until_due(self, began: float) -> float:
        """Sleep to the end of the step that began at ``began`` and return when it was due."""
        while True:
            due = max(began + self.step_seconds * self._slow_factor, self._stalled_until)
            remaining = due - self._clock.monotonic()
            if remaining <= 0:
                return due
            with anyio.move_on_after(remaining):
                await self._pace_changed.wait()

    def _step(self, now: float) -> None:
        tokens = 0
        for job in list(self._running.values()):
            if job.prefill_steps > 0:
                job.prefill_steps -= 1
                continue
            job.produced += 1
            tokens += 1
            if job.done:
                del self._running[job.run.number]
                self._journal.end(job.run, RunState.COMPLETED)
            job.run.tokens = job.produced
            job.progress.set()
        self._tokens.append((now, tokens))
        self._admit()

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.capacity:
            _, _, job = heapq.heappop(self._queue)
            if job.stopped:
                continue
            self._journal.start(job.run)
            self._running[job.run.number] = job
