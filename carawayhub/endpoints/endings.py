"""Endpoints that end under requests: found out, remembered, and kept from the next repetition."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.endpoints.upstream import Listening, Upstream
from carawayhub.errors import RequestError
from carawayhub.limits.poison import POISON_THRESHOLD, PoisonRecords

LOOKS = 2
"""Looks at an endpoint that broke an answer off, while nothing answers at all: on a link that loses
3 of 100 packets, one alone would miss one end in twenty."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenAnswer:
    """An answer that an endpoint broke off.

    Attributes:
        request: Id of the request, for logs.
        fingerprint: Names what it asks.
        endpoint: Id of the endpoint.
        service: What it serves.
        address: Where it listens.
        lifetime: Key of this lifetime of it.
        planned: Whether it was known to leave.
        sent_at: When the request was sent to it.
    """

    request: str
    fingerprint: bytes
    endpoint: str
    service: str
    address: Address
    lifetime: int
    planned: bool
    sent_at: float


class Endings:
    """Sees to it that what endpoints end under is not sent to the next ones.

    Args:
        upstream: Connections to endpoints.
        records: Under which requests endpoints ended.
        clock: Source of time.
        on_end: Called with the service for each request whose endpoint ended under it.
    """

    __slots__ = ("_clock", "_on_end", "_records", "_upstream", "_waiting")

    def __init__(
        self,
        upstream: Upstream,
        records: PoisonRecords,
        clock: Clock,
        on_end: Callable[[str], None],
    ) -> None:
        self._upstream = upstream
        self._records = records
        self._clock = clock
        self._on_end = on_end
        self._waiting: dict[bytes, set[anyio.CancelScope]] = {}
        records.on_poison = self._wake

    def check(self, fingerprint: bytes) -> None:
        """Refuse a request under which endpoints ended, before anything waits for it.

        Raises:
            RequestError: POISON_REQUEST.
        """
        if not self._records.is_poison(fingerprint):
            return
        self._records.record_repeat(fingerprint)
        raise self._refusal(fingerprint)

    def may_go_on(self, fingerprint: bytes, sends: int) -> bool:
        """Return whether a request may be sent again within one attempt of its caller.

        Where one more end would make it refused, an attempt goes to one endpoint alone, and it is
        left to the caller to come again. Sent on while groups formed anew, such requests reached
        replicas four times where three ends were still needed, in 2 of 20 fleets that had lost all
        entries.

        Args:
            fingerprint: Names the request.
            sends: Times that this attempt was sent.
        """
        if self._records.is_poison(fingerprint):
            return False
        return not sends or self._records.ends(fingerprint) < POISON_THRESHOLD - 1

    @contextmanager
    def waiting(self, fingerprint: bytes) -> Iterator[None]:
        """Let a request wait for a place, but no longer than until it is known to be refused.

        Raises:
            RequestError: POISON_REQUEST, as soon as a peer tells so.
        """
        scopes = self._waiting.setdefault(fingerprint, set())
        scope = anyio.CancelScope()
        scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            scopes.discard(scope)
            if not scopes:
                self._waiting.pop(fingerprint, None)
        if scope.cancelled_caught:
            raise self._refusal(fingerprint)

    def answered(self, fingerprint: bytes) -> None:
        """Note a whole answer."""
        self._records.record_answer(fingerprint)

    async def broke_off(self, broken: BrokenAnswer) -> bool:
        """Return whether an endpoint has ended that broke an answer off, and remember it.

        Ranks of a group that lost another one break off answers as well, and so does a replica that
        fails a single request; both go on listening. What leaves as planned ends with its drain.
        """
        listening = await self._look(broken.address)
        ended = listening is Listening.NO and not broken.planned
        if ended:
            self._on_end(broken.service)
            self._records.record_end(broken.fingerprint, broken.lifetime)
        logger.bind(
            request=broken.request,
            content=broken.fingerprint.hex(),
            endpoint=broken.endpoint,
            listening=listening.value,
            planned=broken.planned,
            ends=self._records.ends(broken.fingerprint),
            seconds=round(self._clock.monotonic() - broken.sent_at, 3),
        ).info("endpoint ended under a request" if ended else "answer broke off")
        return ended

    async def _look(self, address: Address) -> Listening:
        for _ in range(LOOKS):
            found = await self._upstream.look(address)
            if found is not Listening.UNKNOWN:
                return found
        return Listening.UNKNOWN

    def _wake(self, fingerprint: bytes) -> None:
        for scope in self._waiting.get(fingerprint, ()):
            scope.cancel()

    def _refusal(self, fingerprint: bytes) -> RequestError:
        ends = self._records.ends(fingerprint)
        return RequestError(Code.POISON_REQUEST, f"{ends} endpoints ended under it")
