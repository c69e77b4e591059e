"""Replicas of a fleet in virtual time, and the connections of entries to them.

Replicas are ranks of groups, or those of a plain service. A rank that ends closes its connections
and refuses further ones; the others of its group break off what they began 1.5 s later and refuse
requests until it is back, under a new id.
"""

import re
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import anyio
import httpcore

from carawayhub.addresses import Address
from carawayhub.gateway.model import Endpoint, GroupMembership
from carawayhub.gateway.ports import EndpointPublished, EndpointRemoved
from carawayhub.gateway.revision import Revision
from tests.gateway_world import endpoint
from tests.scripted_endpoint import chunk, event

if TYPE_CHECKING:
    from benchmarks.request_fleet import RequestFleet

RUN_SECONDS = 0.08
"""Seconds from the beginning of a request to the end of the replica that it ends."""

PUBLISH_SECONDS = 0.3
COLD_SECONDS = 3.0
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\ncarawayhub-not-executed: 1\r\n%scontent-length: 0\r\n\r\n"
)
NOT_RUN = REFUSAL % b""


@dataclass(frozen=True, slots=True)
class Sent:
    """A request that reached a replica.

    Attributes:
        at: When.
        entry: IP number of the entry that sent it.
        in_touch: Whether that entry was in touch.
        content: Its body.
        replica: Id of the replica.
        parts: Ids of the parts of its prompt.
    """

    at: float
    entry: str
    in_touch: bool
    content: bytes
    replica: str
    parts: tuple[bytes, ...] = ()


@dataclass(slots=True)
class Told:
    """What a caller got.

    Attributes:
        content: Body of its request.
        status: HTTP status, 0 where the entry was gone.
        code: Number of the entry's own answer, 0 for that of a replica.
        whole: Whether the answer has its end.
        seconds: Time to its end.
        asked_at: When it asked.
        retry_after: Seconds after which it is told to come back, negative where it is not.
        first_at: When the first part of its body came, 0 for never.
        events: Events of a stream that came.
    """

    content: bytes
    asked_at: float
    status: int = 0
    code: int = 0
    whole: bool = False
    seconds: float = 0.0
    retry_after: float = -1.0
    first_at: float = 0.0
    events: int = 0

    @property
    def served(self) -> bool:
        """Whether it is a whole answer of a replica."""
        return self.whole and self.status == 200


class Line(httpcore.AsyncNetworkStream):
    """A connection of an entry to a replica."""

    def __init__(self, replica: "Replica", entry: str, run: str) -> None:
        self.replica = replica
        self.entry = entry
        self.run = run
        self.is_cut = False
        self._written = b""
        self._unread: deque[bytes] = deque()
        self._changed = anyio.Event()

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return what the replica sent, nothing once it closed its end."""
        try:
            with anyio.fail_after(timeout):
                while not self._unread and not self.is_cut:
                    await self._changed.wait()
        except TimeoutError as exc:
            raise httpcore.ReadTimeout("silent") from exc
        return self._unread.popleft() if self._unread else b""

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Hand a request to the replica once it is whole."""
        if self.is_cut:
            raise httpcore.WriteError("closed")
        self._written += buffer
        head, mark, body = self._written.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head, re.IGNORECASE)
        if mark and length is not None and len(body) >= int(length.group(1)):
            self._written = b""
            self.replica.take(self, head, body)

    def send(self, data: bytes) -> None:
        """Send bytes to the entry."""
        self._unread.append(data)
        self._wake()

    def cut(self) -> None:
        """Close the replica's end."""
        self.is_cut = True
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def aclose(self) -> None:
        """Close the entry's end; the replica drops what it runs for it."""
        self.cut()
        self.replica.lines.pop(self, None)
        self.replica.running.pop(self, None)

    def get_extra_info(self, info: str) -> Any:
        """Return whether an idle connection was closed, the one thing that is asked for."""
        return self.is_cut if info == "is_readable" else None


class Replica:
    """A rank of a group, through all of its lifetimes.

    Args:
        fleet: The fleet that it belongs to.
        at: Its number.
        group: Number of its group.
    """

    def __init__(self, fleet: "RequestFleet", at: int, group: int) -> None:
        self.fleet = fleet
        self.at = at
        self.group = group
        self.address = Address(f"10.9.{at // 200}.{at % 200 + 1}", 8441)
        self.lifetime = 0
        self.listens = True
        self.lines: dict[Line, None] = {}
        self.running: dict[Line, bytes] = {}

    @property
    def id(self) -> str:
        """The id of its present lifetime."""
        return f"i-{self.at}-{self.lifetime}"

    def endpoint(self) -> Endpoint:
        """Return it as it registers itself."""
        found = endpoint(
            self.id,
            address=str(self.address),
            service="plain" if self.fleet.plain else "llm",
            places=self.fleet.places,
            registered=Revision(0, self.lifetime + 1),
            membership=None if self.fleet.plain else self._seat(),
        )
        return replace(found, failure_domain=self.domain, cold_left=self.fleet.cold_left(self.id))

    @property
    def domain(self) -> str:
        """Its failure domain."""
        return f"d{self.at % self.fleet.domains}"

    def _seat(self) -> GroupMembership:
        return GroupMembership(
            f"g{self.group}",
            self.fleet.epochs[self.group],
            self.at // self.fleet.groups,
            self.fleet.formed[self.group],
            self.fleet.ranks,
        )

    def take(self, line: Line, head: bytes, body: bytes) -> None:
        """Take a whole request."""
        parts = _parts(head)
        self.fleet.note_sent(self, line, body, parts)
        if self._stands_still():
            self.fleet.wasted += 1
            if self.fleet.stalls:
                self.fleet.start(self._refuse_late, line)
            else:
                line.send(NOT_RUN)
            return
        found = re.search(rb"carawayhub-request-id: (\S+)", head, re.IGNORECASE)
        if self.fleet.stated.turns_away(self.id, self.fleet.rng):
            line.send(REFUSAL % self._stated_lines(line, refusal=True))
            return
        self.fleet.start(self._serve, line, found.group(1) if found else b"", body, parts)

    async def _refuse_late(self, line: Line) -> None:
        """Refuse a request once the group has noticed its loss."""
        await anyio.sleep(max(0.0, self.fleet.stalled_until[self.group] - _now()))
        line.send(NOT_RUN)

    async def _serve(
        self, line: Line, request: bytes, body: bytes, parts: tuple[bytes, ...]
    ) -> None:
        self.running[line] = body
        if body in self.fleet.ending or self.fleet.ending_parts.intersection(parts):
            await anyio.sleep(RUN_SECONDS)
            if line in self.running and not self._stands_still():
                self.fleet.note_part_ends(parts)
                self.end()
            return
        if self.fleet.plain:
            await self._answer_whole(line, request)
            return
        line.send(
            b"HTTP/1.1 200 OK\r\ncarawayhub-request-id: %s\r\ncarawayhub-response-seal: s\r\n%s"
            b"content-type: text/event-stream\r\n%s\r\n"
            % (
                request,
                self._limit_line(line.entry) + self._stated_lines(line),
                b"" if self.fleet.unframed else b"transfer-encoding: chunked\r\n",
            )
        )
        await anyio.sleep(self.fleet.first_seconds)
        for number in range(1, self.fleet.events + 1):
            await anyio.sleep(self.fleet.event_seconds)
            if line not in self.running or self._stands_still():
                return
            line.send(event(number) if self.fleet.unframed else chunk(event(number)))
        del self.running[line]
        if self.fleet.unframed:
            line.cut()
        else:
            line.send(chunk(b""))

    async def _answer_whole(self, line: Line, request: bytes) -> None:
        """Answer as a plain service does."""
        await anyio.sleep(self.fleet.first_seconds + self.fleet.event_seconds)
        if line not in self.running:
            return
        del self.running[line]
        line.send(
            b"HTTP/1.1 200 OK\r\ncarawayhub-request-id: %s\r\ncarawayhub-response-seal: s\r\n%s"
            b"content-length: 1\r\n\r\nx"
            % (request, self._limit_line(line.entry) + self._stated_lines(line))
        )

    def _stated_lines(self, line: Line, *, refusal: bool = False) -> bytes:
        stated = self.fleet.stated.headers(self.id, line.run, _now(), refusal=refusal)
        lines = b"".join(b"%s: %s\r\n" % each for each in stated)
        if self.fleet.cold_rate:
            left = int(1000.0 * self.fleet.cold_left(self.id))
            lines += b"carawayhub-cold-remaining: %d\r\n" % left
        return lines

    def _limit_line(self, entry: str) -> bytes:
        """Return the header that names its rate limit, nothing where it has none."""
        limit = self.fleet.limits.answered(self.id, _now(), self.fleet.rng)
        if limit is None:
            return b""
        self.fleet.limits.passed_on(self.id, entry, _now())
        return b"server-limit: %s\r\n" % f"{limit:.6f}".encode()

    def _stands_still(self) -> bool:
        return _now() < self.fleet.closed_until[self.group]

    def break_off(self) -> None:
        """Close the connections of all that runs."""
        for line in list(self.running):
            del self.running[line]
            line.cut()

    def end(self) -> None:
        """End as a crashed process does."""
        if not self.listens:
            return
        self.listens = False
        self.fleet.note_ended(self)
        self.break_off()
        for line in self.lines:
            line.cut()
        self.lines.clear()
        self.fleet.start(self._come_back)

    async def _come_back(self) -> None:
        await anyio.sleep(self.fleet.back_seconds)
        before = self.id
        self.lifetime += 1
        self.listens = True
        if self.fleet.cold_rate:
            self.fleet.cold_until[self.id] = _now() + PUBLISH_SECONDS + COLD_SECONDS
        await anyio.sleep(PUBLISH_SECONDS)
        self.fleet.publish(EndpointPublished(self.endpoint()), EndpointRemoved(before))

    def ranks_listening(self) -> list["Replica"]:
        """Return the ranks of its group that live."""
        ranks = self.fleet.by_host.values()
        return [each for each in ranks if each.group == self.group and each.listens]


def _parts(head: bytes) -> tuple[bytes, ...]:
    found = re.search(rb"carawayhub-prompt-prefix: (\S+)", head, re.IGNORECASE)
    entries = found.group(1).split(b",") if found else []
    return tuple(each.partition(b":")[0] for each in entries)


def _now() -> float:
    return anyio.current_time()
