"""A caller as the users' programs are: it asks which entries to use and connects there itself."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import Enum
from typing import Any

import anyio
import httpcore
import msgspec

from carawayhub.clock import SystemClock
from carawayhub.standins.asks import (
    Ask,
    Book,
    ErrorEventError,
    Generate,
    StreamChecker,
    Wire,
    WrongAnswerError,
    check_whole,
    to_wire,
)
from carawayhub.standins.records import Attempt, CallRecord, Result

CONNECT_TIMEOUT_S = 2.0
ENTRIES_TIMEOUT_S = 3.0
DEADLINE_MARGIN_S = 2.0
RETRY_PAUSE_S = 0.05

NotSent = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
Broken = (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException, OSError)


class Once(Enum):
    """How a caller asks for one run: not at all, by its own key, or by a ticket."""

    NO = "no"
    KEY = "key"
    TICKET = "ticket"


@dataclass(slots=True, frozen=True, kw_only=True)
class CallerOptions:
    """How a caller behaves.

    Attributes:
        name: Its name, part of its request ids and keys.
        api_key: Key of its organisation.
        seeds: ``ip:port`` of entries that it knows from the start.
        failure_domain: Where it stands, empty to not say.
        deadline_s: Time it allows for each attempt; when asked to wait longer it gives up.
        attempts: Most requests that it sends for a call.
        booking_service: Name of the service that takes bookings.
        keeps_times: Whether the time of each token is noted.
        seed: Seed of its pauses.
    """

    name: str
    api_key: str
    seeds: tuple[str, ...]
    failure_domain: str = ""
    deadline_s: float = 30.0
    attempts: int = 3
    booking_service: str = "booking"
    keeps_times: bool = False
    seed: int = 0


class EntriesAnswer(msgspec.Struct):
    """The answer to which entries a caller should use."""

    class Entry(msgspec.Struct):
        """One entry."""

        address: str

    entries: list[Entry]
    ttl_s: float


class ErrorDetail(msgspec.Struct):
    """What the system says of a request without an answer."""

    code: int
    outcome: str
    message: str = ""
    retry_after_s: float | None = None


class ErrorAnswer(msgspec.Struct):
    """The JSON object around it."""

    error: ErrorDetail


class Caller:
    """Sends calls and notes what came of them; use it inside ``async with caller.open()``."""

    __slots__ = ("_addresses", "_clock", "_count", "_keep_until", "_options", "_pool", "_random")

    def __init__(self, options: CallerOptions) -> None:
        self._options = options
        self._clock = SystemClock()
        self._random = random.Random(f"{options.seed}/{options.name}")
        self._addresses: list[str] = []
        self._keep_until = 0.0
        self._count = 0
        self._pool = httpcore.AsyncConnectionPool(max_connections=None, keepalive_expiry=5.0)

    @asynccontextmanager
    async def open(self) -> AsyncIterator["Caller"]:
        """Close all connections at the end of the ``with``."""
        async with self._pool:
            yield self

    async def call(self, ask: Ask, once: Once = Once.NO) -> CallRecord:
        """Send ``ask``, again at another entry where that is allowed, until it is answered."""
        self._count += 1
        number = f"{self._options.name}-{self._count}"
        wire = to_wire(ask)
        record = CallRecord(
            caller=self._options.name,
            kind=f"{type(ask).__name__.lower()}-{once.value}",
            content=wire.content,
            run_once=once is not Once.NO,
            key=f"key-{number}" if once is Once.KEY else "",
        )
        for attempt_number in range(self._options.attempts):
            if attempt_number:
                if record.attempts[-1].retry_after > self._options.deadline_s:
                    break
                await self._pause(record.attempts[-1])
            addresses = await self.entries()
            entry = addresses[attempt_number % len(addresses)]
            request_id = f"{number}.{attempt_number}"
            attempt = Attempt(entry=entry, request_id=request_id, began=self._clock.monotonic())
            await self._attempt(ask, wire, once, record, attempt)
            record.attempts.append(attempt)
            attempt.ended = self._clock.monotonic()
            if attempt.result in (Result.COMPLETED, Result.WRONG):
                break
        return record

    async def entries(self) -> list[str]:
        """Return the entries to use; the answer is kept for the time it names."""
        if self._clock.monotonic() < self._keep_until:
            return self._addresses
        domain = self._options.failure_domain
        query = f"?failure_domain={domain}" if domain else ""
        for address in [*self._addresses, *self._options.seeds]:
            try:
                with anyio.fail_after(ENTRIES_TIMEOUT_S):
                    response = await self._pool.request(
                        "GET", f"http://{address}/v1/entries{query}"
                    )
                answer = msgspec.json.decode(response.content, type=EntriesAnswer)
            except (*Broken, *NotSent, TimeoutError, msgspec.DecodeError):
                continue
            if not answer.entries:
                continue
            self._addresses = [entry.address for entry in answer.entries]
            self._keep_until = self._clock.monotonic() + answer.ttl_s
            return self._addresses
        return self._addresses or list(self._options.seeds)

    async def _pause(self, last: Attempt) -> None:
        await anyio.sleep(max(last.retry_after, self._random.random() * RETRY_PAUSE_S))

    async def _attempt(
        self, ask: Ask, wire: Wire, once: Once, record: CallRecord, attempt: Attempt
    ) -> None:
        limit = self._options.deadline_s + DEADLINE_MARGIN_S
        if record.ticket and record.never_dispatched:
            # Nothing ran under the old ticket, so another agent may run the call.
            record.ticket = ""
        try:
            with anyio.fail_after(limit):
                if once is Once.TICKET and not record.ticket:
                    await self._fetch_ticket(ask, record, attempt)
                    if not record.ticket:
                        return
                await self._send(ask, wire, record, attempt)
        except NotSent as exc:
            _note(attempt, Result.NOT_SENT, exc)
        except WrongAnswerError as exc:
            _note(attempt, Result.WRONG, exc)
        except (*Broken, ErrorEventError, TimeoutError) as exc:
            answered = 200 <= attempt.status < 300
            _note(attempt, Result.CUT if answered else Result.UNKNOWN, exc)

    async def _fetch_ticket(self, ask: Ask, record: CallRecord, attempt: Attempt) -> None:
        """Ask for a ticket; without one the call itself is never sent."""
        match ask:
            case Generate(model=model):
                wanted = {"model": model}
            case Book():
                wanted = {"service": self._options.booking_service}
            case _:
                raise ValueError("a look-up needs no ticket")
        url = f"http://{attempt.entry}/v1/tickets"
        try:
            response = await self._pool.request(
                "POST", url, headers=self._headers(attempt), content=msgspec.json.encode(wanted)
            )
        except Broken as exc:
            _note(attempt, Result.NOT_SENT, exc)
            return
        if response.status == 200:
            record.ticket = msgspec.json.decode(response.content, type=dict[str, str])["ticket"]
            return
        _read_refusal(attempt, response.status, response.content)

    async def _send(self, ask: Ask, wire: Wire, record: CallRecord, attempt: Attempt) -> None:
        headers = self._headers(attempt)
        if record.key:
            headers.append(("idempotency-key", record.key))
        if record.ticket:
            headers.append(("carawayhub-ticket", record.ticket))
        url = f"http://{attempt.entry}{wire.path}"
        timeouts = {"timeout": {"connect": CONNECT_TIMEOUT_S}}
        async with self._pool.stream(
            wire.method, url, headers=headers, content=wire.body, extensions=timeouts
        ) as response:
            if not 200 <= response.status < 300:
                _read_refusal(attempt, response.status, await response.aread())
                return
            attempt.status = response.status
            await self._read_answer(ask, response, attempt)
        attempt.result = Result.COMPLETED

    async def _read_answer(self, ask: Ask, response: httpcore.Response, attempt: Attempt) -> None:
        if not (isinstance(ask, Generate) and ask.stream):
            body = await response.aread()
            attempt.first_token_at = self._clock.monotonic()
            attempt.tokens = check_whole(ask, body)
            return
        checker = StreamChecker(ask)
        async for part in response.aiter_stream():
            arrived = checker.feed(part)
            self._note_tokens(attempt, arrived)
        checker.end()

    def _note_tokens(self, attempt: Attempt, arrived: int) -> None:
        if not arrived:
            return
        now = self._clock.monotonic()
        if not attempt.tokens:
            attempt.first_token_at = now
        attempt.tokens += arrived
        if self._options.keeps_times:
            attempt.token_times.extend([now] * arrived)

    def _headers(self, attempt: Attempt) -> list[tuple[str, str]]:
        host, _, _ = attempt.entry.partition("/")
        return [
            ("host", host),
            ("authorization", f"Bearer {self._options.api_key}"),
            ("content-type", "application/json"),
            ("x-request-id", attempt.request_id),
            ("x-deadline-ms", f"{self._options.deadline_s * 1000:.0f}"),
        ]


def _note(attempt: Attempt, result: Result, exc: BaseException) -> None:
    attempt.result = result
    attempt.detail = f"{type(exc).__name__}: {exc}"


def _read_refusal(attempt: Attempt, status: int, body: bytes) -> None:
    attempt.status = status
    try:
        error: Any = msgspec.json.decode(body, type=ErrorAnswer).error
    except msgspec.DecodeError:
        attempt.result = Result.UNKNOWN
        attempt.detail = body[:200].decode(errors="replace")
        return
    attempt.result = Result.NOT_RUN if error.outcome == "not_run" else Result.UNKNOWN
    attempt.code = error.code
    attempt.retry_after = error.retry_after_s or 0.0
    attempt.detail = error.message
