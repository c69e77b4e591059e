"""Callers for the relay's benchmark: many streams on one event loop, timed as they arrive."""

import asyncio
import re
import time
import uuid
from dataclasses import dataclass, field
from functools import partial
from typing import cast

import msgspec

TOKEN = b'"finish_reason":null'
DONE = b"[DONE]"
LAST_CHUNK = b"0\r\n\r\n"
TAIL_BYTES = 40
OK = b"HTTP/1.1 200"
REFUSED_WAIT = 0.5
END_OF_HEAD = b"\r\n\r\n"
SENT = re.compile(rb'"sent":(\d+)')
PATH = "/v1/chat/completions"
KEY_PLACE = b"{key}"


class Prompt(msgspec.Struct, kw_only=True):
    """The body of a call; see ``benchmarks.relay_engine`` for the pace."""

    max_tokens: int
    step_ms: float = 6.0
    batch: int = 1
    stream: bool = True
    model: str = "model"
    messages: list[dict[str, str]] = msgspec.field(
        default_factory=lambda: [{"role": "user", "content": "a song of the sea " * 12}]
    )


@dataclass(slots=True)
class Tally:
    """What all callers of one measurement saw; times are seconds.

    Attributes:
        first: From the request to the first token, or to a whole answer.
        gaps: Between two arrivals of one stream.
        delays: From the engine's write of a token to its arrival.
        tokens: Tokens that arrived.
        whole: Answers that ended as they should.
        refused: Calls that the entry refused; each is repeated after a moment.
        failed: Answers that broke off.
    """

    timed: bool = True
    first: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    delays: list[float] = field(default_factory=list)
    tokens: int = 0
    whole: int = 0
    refused: int = 0
    failed: int = 0


class _Caller(asyncio.Protocol):
    """One connection; it asks again as soon as an answer has ended, until told to stop."""

    def __init__(self, tally: Tally, request: bytes, stream: bool) -> None:
        self.tally = tally
        self._request = request
        self._stream = stream
        self._transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._asked_at = self._last_at = 0.0
        self._tail = b""
        self.streaming = False
        self.stopped = False
        self.closed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._ask()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.stopped:
            self.tally.failed += 1
        self.closed.set()

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(OK):
            self._refused()
        elif self._stream:
            self._take_part(data)
        elif END_OF_HEAD in data:
            self.tally.first.append(time.monotonic() - self._asked_at)
            self._ended()

    def abort(self) -> None:
        """Go away at once."""
        self.stopped = True
        self._transport.abort()

    def _ask(self) -> None:
        if self.stopped:
            return
        self._asked_at, self._last_at, self._tail = time.monotonic(), 0.0, b""
        self.streaming = False
        self._transport.write(self._request.replace(KEY_PLACE, uuid.uuid4().hex.encode(), 1))

    def _take_part(self, data: bytes) -> None:
        tally = self.tally
        found = data.count(TOKEN)
        tally.tokens += found
        self.streaming = self.streaming or found > 0
        if tally.timed and found:
            self._time(data)
        self._tail = (self._tail + data)[-TAIL_BYTES:]
        if self._tail.endswith(LAST_CHUNK) and DONE in self._tail:
            self._ended()

    def _time(self, data: bytes) -> None:
        now = time.monotonic()
        if self._last_at:
            self.tally.gaps.append(now - self._last_at)
        else:
            self.tally.first.append(now - self._asked_at)
        self._last_at = now
        for each in SENT.findall(data):
            self.tally.delays.append(now - int(each) / 1e9)

    def _refused(self) -> None:
        self.tally.refused += 1
        asyncio.get_running_loop().call_later(REFUSED_WAIT, self._ask)

    def _ended(self) -> None:
        self.tally.whole += 1
        self._ask()


class Callers:
    """A number of callers of one address, each with one call at a time.

    Args:
        port: Port on the loopback interface.
        key: The organisation's key, empty towards an engine.
    """

    def __init__(self, port: int, key: str = "") -> None:
        self._port = port
        self._key = key
        self._callers: list[_Caller] = []
        self.tally = Tally()

    async def open(self, count: int, prompt: Prompt, spread: float = 0.0) -> None:
        """Begin ``count`` calls, spread evenly over ``spread`` seconds."""
        body = msgspec.json.encode(prompt)
        await self._open(count, self._request("POST", PATH, body), prompt.stream, spread)

    async def open_service(self, count: int, method: str, path: str, keyed: bool) -> None:
        """Begin ``count`` calls of a plain service, each with a key of its own if ``keyed``."""
        line = b"idempotency-key: " + KEY_PLACE + b"\r\n" if keyed else b""
        await self._open(count, self._request(method, path, b"{}", line), False, 0.0)

    async def _open(self, count: int, request: bytes, stream: bool, spread: float) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(count):
            caller = _Caller(self.tally, request, stream)
            await loop.create_connection(partial(_same, caller), "127.0.0.1", self._port)
            self._callers.append(caller)
            if spread:
                await asyncio.sleep(spread / count)

    @property
    def streaming(self) -> int:
        """Callers that have had a token of the answer that runs."""
        return sum(caller.streaming for caller in self._callers)

    def restart(self, timed: bool) -> Tally:
        """Count anew from now on."""
        fresh = Tally(timed=timed)
        self.tally = fresh
        for caller in self._callers:
            caller.tally = fresh
        return fresh

    async def close(self) -> None:
        """Go away with all callers."""
        for caller in self._callers:
            caller.abort()
        for caller in self._callers:
            await caller.closed.wait()
        self._callers.clear()

    def _request(self, method: str, path: str, body: bytes, line: bytes = b"") -> bytes:
        head = (
            f"{method} {path} HTTP/1.1\r\nhost: 127.0.0.1\r\ncontent-type: application/json\r\n"
            f"content-length: {len(body)}\r\n"
        )
        if self._key:
            head += f"authorization: Bearer {self._key}\r\n"
        return head.encode() + line + b"\r\n" + body


def _same(caller: _Caller) -> _Caller:
    return caller
