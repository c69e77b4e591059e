"""Stand-in of a model engine: model callers' request shape, batching, faults, a journal."""

import math
from collections import deque
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import msgspec

from carawayhub.clock import SystemClock
from carawayhub.standins.answers import AnswerShape
from carawayhub.standins.batching import Batch, Job, Load
from carawayhub.standins.content import GenerateBody, decode_generate_body
from carawayhub.standins.faults import EngineFault
from carawayhub.standins.journal import Journal, RunState
from carawayhub.standins.options import EngineOptions
from carawayhub.standins.prefixcache import PrefixCache, prefix_blocks
from carawayhub.standins.rankgroup import Pulse
from carawayhub.standins.rankshare import RankShare
from carawayhub.standins.web import (
    CutError,
    Reply,
    Request,
    Router,
    StreamReply,
    error_reply,
    json_reply,
    serving,
    until_disconnect,
)

LOAD_SAMPLE_S = 0.05
DEFAULT_PRIORITY = 5
FOR_EVER = math.inf


@dataclass(slots=True, kw_only=True)
class Order:
    """An order to load something or to change role, as it was given.

    Attributes:
        kind: For example ``load_model``, ``load_adapter``, ``load_version`` or ``change_role``.
        fencing: Number that rises with each new giver.
        giver: Who gives it.
        target: What it is about.
        accepted: Whether the engine obeyed.
    """

    kind: str
    fencing: int
    giver: str
    target: str = ""
    accepted: bool = False


@dataclass(slots=True)
class _Sampled:
    at: float
    load: Load = field(default_factory=lambda: Load(0, 0, 0, 0.0, 0.0))


class Engine:
    """A model engine in this process; ``serving`` gives it an address."""

    __slots__ = (
        "_batch",
        "_cache",
        "_clock",
        "_highest_fencing",
        "_jobs",
        "_samples",
        "_share",
        "_spoken",
        "_stalled_until",
        "fault",
        "journal",
        "options",
        "orders",
    )

    def __init__(self, options: EngineOptions, journal_path: Path | None = None) -> None:
        self.options = options
        self.fault = EngineFault()
        self.orders: list[Order] = []
        self.journal = Journal(journal_path)
        self._clock = SystemClock()
        self._batch = Batch(options.capacity, options.step_ms / 1000, self.journal, self._clock)
        self._cache = PrefixCache(
            options.cache_blocks, options.cache_lag_s, options.cache_loss, options.seed
        )
        self._jobs: dict[str, Job] = {}
        self._samples: deque[_Sampled] = deque()
        self._spoken = anyio.Event()
        self._highest_fencing = -1
        self._stalled_until = 0.0
        self._share: RankShare | None = None
        if options.ranks_at:
            self._share = RankShare(
                options.ranks_at, options.ranks, options.checks_giver, self._group_changed
            )
            self._set_pace()

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Run the engine on ``ip:port`` while the ``with`` runs; yields the address in use."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._batch.run)
            tg.start_soon(self._sample_load)
            if self._share is not None:
                tg.start_soon(self._share.run)
            async with serving(self.app(), address) as actual:
                yield actual
            tg.cancel_scope.cancel()

    def app(self) -> Router:
        """Return the HTTP application."""
        router = Router()
        router.add("POST", "/v1/chat/completions", self._generate)
        router.add("POST", "/v1/completions", self._generate)
        router.add("GET", "/health", self._health)
        router.add("GET", "/load", self._load)
        router.add("GET", "/cache/events", self._cache_events)
        router.add("POST", "/orders", self._order)
        router.add("GET", "/control/orders", self._list_orders)
        router.add("GET", "/control/journal", self._list_runs)
        router.add("POST", "/control/fault", self._set_fault)
        if self._share is not None:
            self._share.mount(router)
        return router

    def set_fault(self, fault: EngineFault) -> None:
        """Replace what is wrong with the engine."""
        self.fault = fault
        self._stalled_until = self._clock.monotonic() + fault.stall_s
        self._set_pace()
        self._spoken.set()
        self._spoken = anyio.Event()

    def _set_pace(self) -> None:
        """Step at the pace of the faults, and not while the group of ranks does not."""
        waits = self._share is not None and not self._share.pulse.stepping
        until = FOR_EVER if waits else self._stalled_until
        self._batch.set_pace(self.fault.slow_factor, until)

    def _group_changed(self, before: Pulse, after: Pulse) -> None:
        """Cut what ran in a formation that has ended; ranks lose their requests with it."""
        if before.formation and before.formation != after.formation:
            for job in list(self._jobs.values()):
                self._batch.stop(job, RunState.CUT)
        self._set_pace()

    async def _sample_load(self) -> None:
        while True:
            now = self._clock.monotonic()
            self._samples.append(_Sampled(now, self._batch.load()))
            while len(self._samples) > 1 and self._samples[1].at <= now - self.options.load_lag_s:
                self._samples.popleft()
            await anyio.sleep(LOAD_SAMPLE_S)

    async def _may_speak(self) -> None:
        while self.fault.silent:
            await self._spoken.wait()

    async def _generate(self, req: Request) -> Reply | StreamReply:
        await self._may_speak()
        if self.fault.error_count > 0:
            self.fault.error_count -= 1
            return error_reply(500, "the engine failed")
        body = decode_generate_body(req.body)
        offset = int(req.headers.get("resume-offset", "0"))
        if offset and not self.options.resumes:
            return error_reply(409, "this engine does not resume streams")
        job = self._submit(req, body, offset)
        chat = req.path.endswith("/chat/completions")
        shape = AnswerShape.of(job.run.request_id, body, chat)
        if body.stream:
            return StreamReply(self._stream(job, shape))
        return await self._whole(job, shape, req)

    def _submit(self, req: Request, body: GenerateBody, offset: int) -> Job:
        request_id = req.headers.get("x-request-id", "")
        blocks = prefix_blocks(body.text)
        hits = self._cache.use(blocks, self._clock.monotonic())
        missing = len(blocks) - hits
        run = self.journal.accept(
            request_id, req.headers.get("idempotency-key", ""), body.digest, offset
        )
        job = Job(
            run=run,
            priority=int(req.headers.get("x-priority", DEFAULT_PRIORITY)),
            prefill_steps=-(-missing // self.options.prefill_blocks),
            total=max(body.max_tokens, 1),
            produced=min(offset, body.max_tokens),
        )
        if offset and request_id in self._jobs:
            # The stream goes on over this connection: the run behind the old one gives up its slot.
            self._batch.stop(self._jobs[request_id], RunState.CANCELLED)
        self._jobs[request_id] = job
        self._batch.submit(job)
        return job

    async def _stream(self, job: Job, shape: AnswerShape) -> AsyncGenerator[bytes, None]:
        sent = job.produced
        try:
            while not (job.done and sent >= job.total):
                await job.progress.wait()
                job.progress = anyio.Event()
                if job.stopped:
                    raise CutError
                part = b"".join(shape.token_event(index) for index in range(sent, job.produced))
                sent = job.produced
                await self._may_speak()
                self._maybe_cut(job, sent)
                if part:
                    yield part
                if self.fault.end_after is not None and sent >= self.fault.end_after:
                    return
            yield shape.end_events()
        finally:
            self._release(job)

    def _maybe_cut(self, job: Job, sent: int) -> None:
        if self.fault.cut_after is None or self.fault.cut_count <= 0:
            return
        if sent < self.fault.cut_after:
            return
        self.fault.cut_count -= 1
        self._batch.stop(job, RunState.CUT)
        raise CutError

    async def _whole(self, job: Job, shape: AnswerShape, req: Request) -> Reply:
        try:
            async with until_disconnect(req.receive):
                while not job.done:
                    await job.progress.wait()
                    job.progress = anyio.Event()
                    if job.stopped:
                        raise CutError
                await self._may_speak()
                self._maybe_cut(job, job.produced)
        finally:
            self._release(job)
        return json_reply(shape.whole())

    def _release(self, job: Job) -> None:
        self._batch.stop(job, RunState.CANCELLED)
        if self._jobs.get(job.run.request_id) is job:
            del self._jobs[job.run.request_id]

    async def _health(self, req: Request) -> Reply:
        await self._may_speak()
        return json_reply({"status": "ok"})

    async def _load(self, req: Request) -> Reply:
        await self._may_speak()
        return json_reply(self._samples[0].load)

    async def _cache_events(self, req: Request) -> Reply:
        await self._may_speak()
        page = self._cache.page(int(req.number("after")), self._clock.monotonic())
        return json_reply(page)

    async def _order(self, req: Request) -> Reply:
        await self._may_speak()
        order = msgspec.json.decode(req.body, type=Order)
        self.orders.append(order)
        if self.options.checks_giver and order.giver != self.options.checks_giver:
            return error_reply(403, "this engine does not obey this giver")
        if self.options.checks_fencing and order.fencing < self._highest_fencing:
            return error_reply(409, "the fencing number is old")
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        order.accepted = True
        return json_reply(order)

    async def _list_orders(self, req: Request) -> Reply:
        return json_reply(self.orders)

    async def _list_runs(self, req: Request) -> Reply:
        return json_reply(self.journal.runs)

    async def _set_fault(self, req: Request) -> Reply:
        self.set_fault(msgspec.json.decode(req.body, type=EngineFault))
        return json_reply(self.fault)
