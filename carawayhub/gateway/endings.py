"""Endpoints that end under requests: found out, remembered, and kept from the next repetition."""

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.endpoints.upstream import Listening, Upstream
from carawayhub.errors import RequestError
from carawayhub.gateway.calls import Admitted
from carawayhub.gateway.loads import work_key
from carawayhub.gateway.model import Endpoint
from carawayhub.gateway.tally import Tally
from carawayhub.gateway.view import FleetView
from carawayhub.limits.poison import ENDS_OF_POISON, PoisonRecords

LOOKS = 2
"""Looks at an endpoint that broke an answer off, while nothing answers at all: on a link that loses
3 of 100 packets, one alone would miss one end in twenty."""


class Endings:
    """Sees to it that what endpoints end under is not sent to the next ones.

    Args:
        upstream: Connections to endpoints.
        view: What is known of the fleet.
        records: Under which requests endpoints ended.
        tally: Takes measurements.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_records", "_tally", "_upstream", "_view", "_waiting")

    def __init__(
        self,
        upstream: Upstream,
        view: FleetView,
        records: PoisonRecords,
        tally: Tally,
        clock: Clock,
    ) -> None:
        self._upstream = upstream
        self._view = view
        self._records = records
        self._tally = tally
        self._clock = clock
        self._waiting: dict[bytes, set[anyio.CancelScope]] = {}
        records.on_poison = self._wake

    def is_poison(self, call: Admitted) -> bool:
        """Return whether a request may be sent no more."""
        return self._records.is_poison(call.fingerprint)

    def is_sent_once(self, call: Admitted) -> bool:
        """Return whether an attempt of a caller goes to one endpoint alone.

        One more end and the request is refused, so it is left to the caller to come again. Sent on
        while groups formed anew, such requests reached replicas four times where three ends were
        still needed, in 2 of 20 fleets that had lost all entries.
        """
        return self._records.ends(call.fingerprint) >= ENDS_OF_POISON - 1

    def check(self, call: Admitted) -> None:
        """Refuse a request under which endpoints ended, before anything waits for it.

        Raises:
            RequestError: POISON_REQUEST.
        """
        if not self.is_poison(call):
            return
        self._records.came_again(call.fingerprint)
        raise self._refusal(call)

    @contextmanager
    def waiting(self, call: Admitted) -> Iterator[None]:
        """Let a request wait for a place, but no longer than until it is known to be refused.

        Raises:
            RequestError: POISON_REQUEST, as soon as a peer tells so.
        """
        scopes = self._waiting.setdefault(call.fingerprint, set())
        scope = anyio.CancelScope()
        scopes.add(scope)
        try:
            with scope:
                yield
        finally:
            scopes.discard(scope)
            if not scopes:
                self._waiting.pop(call.fingerprint, None)
        if scope.cancelled_caught:
            raise self._refusal(call)

    def answered(self, call: Admitted) -> None:
        """Note a whole answer."""
        self._records.answered(call.fingerprint)

    async def broke_off(self, call: Admitted, endpoint: Endpoint, sent_at: float) -> frozenset[str]:
        """See whether an endpoint has ended that broke an answer off.

        Ranks of a group that lost another one break off answers as well, and so does a replica that
        fails a single request; both go on listening. What leaves as planned ends with its drain.

        Returns:
            The endpoints that cannot run the request now: where a rank ended, those of its group,
            which stand still and refuse until it has formed anew.
        """
        planned = self._view.endpoint(endpoint.id) is None
        listening = Listening.UNKNOWN
        for _ in range(LOOKS):
            listening = await self._upstream.look(endpoint.address)
            if listening is not Listening.UNKNOWN:
                break
        ended = listening is Listening.NO and not planned
        if ended:
            self._tally.endpoint_ended(endpoint.service)
            self._records.ended(call.fingerprint, work_key(endpoint.id))
        logger.bind(
            request=call.req.id.decode("latin-1"),
            content=call.fingerprint.hex(),
            endpoint=endpoint.id,
            listening=listening.value,
            planned=planned,
            ends=self._records.ends(call.fingerprint),
            seconds=round(self._clock.monotonic() - sent_at, 3),
        ).info("endpoint ended under a request" if ended else "answer broke off")
        return self._view.group_of(endpoint) if ended else frozenset()

    def _wake(self, fingerprint: bytes) -> None:
        for scope in self._waiting.get(fingerprint, ()):
            scope.cancel()

    def _refusal(self, call: Admitted) -> RequestError:
        ends = self._records.ends(call.fingerprint)
        return RequestError(Code.POISON_REQUEST, f"{ends} endpoints ended under it")
