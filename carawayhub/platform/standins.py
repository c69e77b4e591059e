"""Simulated replicas of the platform, for tests with the real programs."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec

from carawayhub.clock import SystemClock
from carawayhub.constants import STREAM_TYPE
from carawayhub.entry.calls import Receive, Send
from carawayhub.platform.headers import (
    DEADLINE,
    EXPECT_INSTANCE,
    LAST_EVENT_ID,
    NOT_RUN,
    ORGANISATION,
    REQUEST_ID,
    SEAL,
)
from carawayhub.platform.standin_store import answer_json
from carawayhub.standins.stated import Stated, StatedArrival

EVENTS_PER_STREAM = 8
"""Number of events in each stream."""

EVENT_INTERVAL_SECONDS = 0.04
PLAIN_ANSWER_SECONDS = 0.02


@dataclass(slots=True)
class RecordedRun:
    """One execution of a request at a replica.

    Attributes:
        request: Id of the request.
        instance: Incarnation that ran it.
        organisation: Organisation that the fleet sent.
        at: Monotonic time at which it began.
    """

    request: str
    instance: str
    organisation: str
    at: float


@dataclass(slots=True)
class StandinReplica:
    """A replica that answers plain requests with one body and others with a stream of events.

    Attributes:
        instance: The current incarnation.
        places: Concurrent requests; more are rejected.
        streams_to_break: Number of coming streams to cut off midway.
        answers_to_lose: Number of coming plain answers to drop after the request ran.
        runs: Executed requests, over all incarnations.
        busy: Number of requests running now.
        misdirected: Rejected requests for another incarnation, counted by request id.
        stated: Backoffs and leavings that it states, and requests that reached it.
        rng: Draws which requests it turns away.
    """

    instance: str
    places: int = 6
    streams_to_break: int = 0
    answers_to_lose: int = 0
    runs: list[RecordedRun] = field(default_factory=list)
    busy: int = 0
    misdirected: Counter[str] = field(default_factory=Counter)
    stated: Stated = field(default_factory=Stated)
    rng: random.Random = field(default_factory=random.Random)

    async def __call__(self, scope: dict[str, Any], receive: Receive, send: Send) -> None:
        """Answer a request."""
        headers = dict(scope["headers"])
        request = headers.get(REQUEST_ID, b"").decode()
        while (await receive()).get("more_body"):
            pass
        if headers.get(EXPECT_INSTANCE, b"").decode() != self.instance:
            self.misdirected[request] += 1
            await answer_json(send, 421, {})
            return
        entry, now = scope["client"][0], SystemClock().monotonic()
        self.stated.arrivals.append(StatedArrival(now, entry, self.instance, request))
        if self.stated.turns_away(self.instance, self.rng):
            refusal = self.stated.headers(self.instance, entry, now, refusal=True)
            await answer_json(send, 503, {}, [(NOT_RUN, b"1"), *refusal])
            return
        stated = self.stated.headers(self.instance, entry, now)
        if self.busy >= self.places or DEADLINE not in headers:
            await answer_json(send, 503, {}, [(NOT_RUN, b"1"), *stated])
            return
        self.busy += 1
        organisation = headers.get(ORGANISATION, b"").decode()
        self.runs.append(
            RecordedRun(request, self.instance, organisation, SystemClock().monotonic())
        )
        sealed = [(REQUEST_ID, request.encode()), (SEAL, self.instance.encode()), *stated]
        try:
            if "/stream/" in scope["path"]:
                await self._stream(headers, send, sealed)
            else:
                await self._plain(request, send, sealed)
        finally:
            self.busy -= 1

    async def _plain(self, request: str, send: Send, sealed: list[tuple[bytes, bytes]]) -> None:
        await anyio.sleep(PLAIN_ANSWER_SECONDS)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            return
        await answer_json(send, 200, {"request": request}, sealed)

    async def _stream(
        self, headers: dict[bytes, bytes], send: Send, sealed: list[tuple[bytes, bytes]]
    ) -> None:
        first = int(headers.get(LAST_EVENT_ID, b"0")) + 1
        kind = [(b"content-type", STREAM_TYPE)]
        await send({"type": "http.response.start", "status": 200, "headers": sealed + kind})
        for number in range(first, EVENTS_PER_STREAM + 1):
            await anyio.sleep(EVENT_INTERVAL_SECONDS)
            event = b"id: %d\ndata: line %d\n\n" % (number, number)
            if self.streams_to_break and number > EVENTS_PER_STREAM // 2:
                self.streams_to_break -= 1
                await send({"type": "http.response.body", "body": event[:7], "more_body": True})
                return
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


def registration(
    service: str, address: str, state: str = "ready", zone: str = "z1"
) -> dict[str, Any]:
    """Return the entry that a replica writes to the store."""
    return {
        "Service": service,
        "Address": address,
        "Zone": zone,
        "Version": "v1",
        "Slots": 6,
        "State": state,
        "ColdLeftMs": 0,
        "Seq": 1,
    }


def configuration(version: int, keys: list[str], routes: dict[str, tuple[str, str]]) -> Any:
    """Return a configuration.

    Args:
        version: Version of the configuration.
        keys: Keys of the only organisation.
        routes: Kind and service of each route, by prefix.
    """
    return {
        "Version": version,
        "Routes": [
            {
                "Name": prefix,
                "Host": "soak.example",
                "Prefix": prefix,
                "Kind": kind,
                "TimeoutMs": 4000,
                "FullCreditMs": 400,
                "Priority": 1,
                "Service": service,
                "MaxAttempts": 1 if kind == "non_idempotent" else 2,
                "Resumable": kind == "streaming",
                "GapTargetMs": 120,
            }
            for prefix, (kind, service) in routes.items()
        ],
        "Services": [{"Name": name} for name in sorted({each for _, each in routes.values()})],
        "Tenants": [{"Name": "soak", "Keys": keys}],
    }


def settings(ip: str, seeds: list[str], store: str, zone: str = "z1") -> str:
    """Return the text of a settings file for an entry on a loopback address."""
    return f"""
Node = "{ip}"
Ip = "{ip}"
Zone = "{zone}"
Region = "r1"
PortRange = [29340,29350]
Seeds = {msgspec.json.encode([f"{seed}:29229" for seed in seeds]).decode()}
BeatIntervalMs = 600
[ListenAddrs]
Front = "{ip}:29227"
Ready = "{ip}:29220"
Directory = "{ip}:29224"
[Bounds]
RevokeMs = 5000
DrainMs = 2000
GraceS = 6
[Platform]
Address = "{store}"
"""


def request_head(path: str, request: str, key: str, deadline_ms: int, body: bytes) -> bytes:
    """Return the bytes of a caller's request."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: soak.example\r\nCarawayhub-Request-Id: {request}\r\n"
        f"Carawayhub-Request-Deadline: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body
