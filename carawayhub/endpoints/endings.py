"""Detects and records endpoints that end under requests, and rejects poison requests."""

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
from carawayhub.limits.fingerprint import RequestTraits
from carawayhub.limits.poison import PoisonRecords

PROBE_ATTEMPTS = 2
"""Maximum probes of an endpoint that broke off an answer, made while none is answered: on a link
that loses 3 of 100 packets, a single probe would miss one end in twenty."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenAnswer:
    """An answer that an endpoint broke off.

    Attributes:
        request: Id of the request, for logs.
        traits: What the request may have in common with others.
        endpoint: Id of the endpoint.
        service: Service of the endpoint.
        address: Address it listens on.
        lifetime: Key of the endpoint's current lifetime.
        planned: Whether the endpoint was known to be leaving.
        sent_at: When the request was sent to it.
        events: Number of events of the answer that came before it broke off.
    """

    request: str
    traits: RequestTraits
    endpoint: str
    service: str
    address: Address
    lifetime: int
    planned: bool
    sent_at: float
    events: int = 0


class Endings:
    """Keeps requests under which endpoints ended from being sent to further endpoints.

    Args:
        upstream: Connections to endpoints.
        records: Records of the requests under which endpoints ended.
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
        self._waiting: dict[RequestTraits, set[anyio.CancelScope]] = {}
        records.on_update = self._cancel_waiting

    def admit(self, traits: RequestTraits) -> None:
        """Record a caller's request, and reject it if it is a poison request.

        Raises:
            RequestError: POISON_REQUEST.
        """
        self._records.record_request(traits)
        self.check(traits)

    def check(self, traits: RequestTraits) -> None:
        """Reject a poison request.

        Raises:
            RequestError: POISON_REQUEST.
        """
        if not self._records.is_poison(traits):
            return
        self._records.record_repeat(traits)
        raise self._rejection(traits)

    def may_resend(self, traits: RequestTraits, sends: int, *, begun: bool = False) -> bool:
        """Return whether a request may be sent again within one attempt of its caller.

        Where one more end would make the request poison, an attempt is sent to one endpoint only
        and the caller has to retry. Resent while groups form anew, such a request reached
        replicas four times where three ends were still needed to reject it, in 2 of 20 simulated
        fleets that had lost all entries.

        Args:
            traits: What the request may have in common with others.
            sends: Number of times this attempt was sent.
            begun: Whether a part of the answer came. Such a stream is resumed unless its whole
                content is suspected, since causes act when an answer begins.
        """
        if self._records.is_poison(traits):
            return False
        if not sends:
            return True
        return not self._records.may_become_poison(
            RequestTraits(traits.content) if begun else traits
        )

    @contextmanager
    def waiting(self, traits: RequestTraits) -> Iterator[None]:
        """Let a request wait for a slot, but only until it is known to be a poison request.

        Raises:
            RequestError: POISON_REQUEST, as soon as a peer reports it.
        """
        scopes = self._waiting.setdefault(traits, set())
        scope = anyio.CancelScope()
        scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            scopes.discard(scope)
            if not scopes:
                self._waiting.pop(traits, None)
        if scope.cancelled_caught:
            raise self._rejection(traits)

    def answered(self, traits: RequestTraits) -> None:
        """Record a complete answer."""
        self._records.record_answer(traits)

    async def broke_off(self, broken: BrokenAnswer) -> bool:
        """Return whether an endpoint that broke off an answer has ended, and record it if so.

        Ranks of a group that lost another rank break off answers as well, and so does a replica
        that fails a single request; both keep listening. An endpoint that leaves as planned ends
        with its drain.
        """
        listening = await self._probe(broken.address)
        ended = listening is Listening.NO and not broken.planned
        if ended:
            self._on_end(broken.service)
            self._records.record_end(broken.traits, broken.lifetime, broken.events)
        elif listening is Listening.YES:
            self._records.record_survival(broken.traits, broken.events)
        logger.bind(
            request=broken.request,
            content=broken.traits.content.hex(),
            parts=broken.traits.logged_parts,
            events=broken.events,
            endpoint=broken.endpoint,
            listening=listening.value,
            planned=broken.planned,
            ends=self._records.ends(broken.traits),
            seconds=round(self._clock.monotonic() - broken.sent_at, 3),
        ).info("endpoint ended under a request" if ended else "answer broke off")
        return ended

    async def verify_end(self, address: Address) -> bool:
        """Return whether an answer that ended with its connection is known to be complete.

        An endpoint that ends closes its connections as well, but it accepts no further ones. One
        that leaves as planned may end before its answers are complete, too.

        Args:
            address: Address of the endpoint.

        Raises:
            RequestError: ANSWER_CUT, the endpoint ended.
        """
        listening = await self._probe(address)
        if listening is Listening.NO:
            raise RequestError(Code.ANSWER_CUT, "the endpoint ended with its connection")
        return listening is Listening.YES

    async def _probe(self, address: Address) -> Listening:
        for _ in range(PROBE_ATTEMPTS):
            found = await self._upstream.probe(address)
            if found is not Listening.UNKNOWN:
                return found
        return Listening.UNKNOWN

    def _cancel_waiting(self) -> None:
        for traits, scopes in self._waiting.items():
            if not self._records.is_poison(traits):
                continue
            for scope in scopes:
                scope.cancel()

    def _rejection(self, traits: RequestTraits) -> RequestError:
        ends = self._records.ends(traits)
        cause = self._records.cause(traits)
        what = f"part {cause.hex()}" if cause in traits.parts else "it"
        return RequestError(Code.POISON_REQUEST, f"{ends} endpoints ended under {what}")
