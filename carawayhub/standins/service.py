"""Stand-in of a plain service: bookings that may not be repeated, and look-ups that may."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import msgspec

from carawayhub.standins.content import digest_of
from carawayhub.standins.faults import ServiceFault
from carawayhub.standins.journal import Journal, RunRecord, RunState
from carawayhub.standins.options import ServiceOptions
from carawayhub.standins.web import (
    CutError,
    Reply,
    Request,
    Router,
    error_reply,
    json_reply,
    serving,
)


@dataclass(slots=True, frozen=True)
class BookingRequest:
    """A visitor's wish for a slot at a bench."""

    bench: str
    slot: str
    visitor: str


@dataclass(slots=True, frozen=True)
class Booking:
    """A booking as it was made; nothing here stops a second one for the same bench and slot."""

    number: int
    bench: str
    slot: str
    visitor: str
    idempotency_key: str


class Service:
    """A plain service in this process; ``serving`` gives it an address."""

    __slots__ = ("_spoken", "bookings", "fault", "journal", "options")

    def __init__(
        self, options: ServiceOptions | None = None, journal_path: Path | None = None
    ) -> None:
        self.options = options or ServiceOptions()
        self.fault = ServiceFault()
        self.journal = Journal(journal_path)
        self.bookings: list[Booking] = []
        self._spoken = anyio.Event()

    @asynccontextmanager
    async def serving(self, address: str) -> AsyncIterator[str]:
        """Serve on ``ip:port`` while the ``with`` runs; yields the address in use."""
        async with serving(self.app(), address) as actual:
            yield actual

    def app(self) -> Router:
        """Return the HTTP application."""
        router = Router()
        router.add("POST", "/bookings", self._book)
        for path in ("/roster", "/slots", "/lookup"):
            router.add("GET", path, self._look_up)
        router.add("GET", "/licences/{}", self._licence)
        router.add("GET", "/health", self._health)
        router.add("GET", "/control/journal", self._list_runs)
        router.add("GET", "/control/bookings", self._list_bookings)
        router.add("POST", "/control/fault", self._set_fault)
        return router

    def set_fault(self, fault: ServiceFault) -> None:
        """Replace what is wrong with the service."""
        self.fault = fault
        self._spoken.set()
        self._spoken = anyio.Event()

    async def _may_speak(self) -> None:
        while self.fault.silent:
            await self._spoken.wait()

    async def _run(self, req: Request, content: bytes) -> RunRecord:
        """Do the work of a call; a client that goes away does not stop it."""
        run = self.journal.accept(
            req.headers.get("x-request-id", ""),
            req.headers.get("idempotency-key", ""),
            digest_of(content),
        )
        self.journal.start(run)
        await anyio.sleep(self.options.work_ms / 1000 * self.fault.slow_factor)
        self.journal.end(run, RunState.COMPLETED)
        return run

    async def _answer(self, value: Any, status: int = 200) -> Reply:
        """Answer a call that was run, unless a fault loses or delays the answer."""
        if self.fault.lose_reply_count > 0:
            self.fault.lose_reply_count -= 1
            raise CutError
        if self.fault.delay_s:
            await anyio.sleep(self.fault.delay_s)
        await self._may_speak()
        return json_reply(value, status)

    async def _refusal(self) -> Reply | None:
        await self._may_speak()
        if self.fault.error_count <= 0:
            return None
        self.fault.error_count -= 1
        return error_reply(500, "the service failed")

    async def _book(self, req: Request) -> Reply:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        wish = msgspec.json.decode(req.body, type=BookingRequest)
        run = await self._run(req, req.body)
        booking = Booking(
            len(self.bookings) + 1, wish.bench, wish.slot, wish.visitor, run.idempotency_key
        )
        self.bookings.append(booking)
        return await self._answer(booking, 201)

    async def _look_up(self, req: Request) -> Reply:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        content = look_up_content(req.path, req.query)
        await self._run(req, content)
        return await self._answer(look_up_answer(req.path, req.query))

    async def _licence(self, req: Request) -> Reply:
        refusal = await self._refusal()
        if refusal is not None:
            return refusal
        await self._run(req, look_up_content(req.path, req.query))
        answer = look_up_answer(req.path, req.query)
        return await self._answer(answer | {"cleared": is_cleared(req.parts[0])})

    async def _health(self, req: Request) -> Reply:
        await self._may_speak()
        return json_reply({"status": "ok"})

    async def _list_runs(self, req: Request) -> Reply:
        return json_reply(self.journal.runs)

    async def _list_bookings(self, req: Request) -> Reply:
        return json_reply(self.bookings)

    async def _set_fault(self, req: Request) -> Reply:
        self.set_fault(msgspec.json.decode(req.body, type=ServiceFault))
        return json_reply(self.fault)


def look_up_content(path: str, query: dict[str, str]) -> bytes:
    """Return what identifies a look-up."""
    return f"{path}?{sorted(query.items())}".encode()


def look_up_answer(path: str, query: dict[str, str]) -> dict[str, Any]:
    """Return the answer to a look-up: the question, and a value made from it."""
    digest = digest_of(look_up_content(path, query))
    return {"path": path, "query": query, "value": digest}


def is_cleared(song: str) -> bool:
    """Return whether ``song`` may be played; every other one may."""
    return int(digest_of(song.encode()), 16) % 2 == 0
