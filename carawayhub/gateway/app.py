"""The gateway's interface for callers, as an ASGI application."""

from collections.abc import Callable
from typing import Any

import anyio
from loguru import logger

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.entry.calls import Receive, Scope, Send
from carawayhub.errors import RequestError
from carawayhub.gateway.admission import AdmissionControl
from carawayhub.gateway.answer import CallerAnswer
from carawayhub.gateway.calls import Admitted, CallerRequest, CallerWire
from carawayhub.gateway.model import CallerLimits
from carawayhub.gateway.relay import GatewayRelay
from carawayhub.gateway.tally import Tally
from carawayhub.inbound.requests import receive_part


class GatewayApp:
    """Accepts requests of callers and ensures that each gets exactly one answer.

    Args:
        clock: Source of time.
        wire: Wire format of requests.
        admission: Admits requests.
        relay: Forwards requests to endpoints.
        limits: Returns the limits on what callers may send.
        tally: Records metrics.

    Attributes:
        closing: Whether answers close their connections, as they do before the process stops.
        running: Number of requests in progress.
    """

    __slots__ = (
        "_clock",
        "_admission",
        "_limits",
        "_relay",
        "_tally",
        "_wire",
        "closing",
        "running",
    )

    def __init__(
        self,
        clock: Clock,
        wire: CallerWire,
        admission: AdmissionControl,
        relay: GatewayRelay,
        limits: Callable[[], CallerLimits],
        tally: Tally,
    ) -> None:
        self._clock = clock
        self._wire = wire
        self._admission = admission
        self._relay = relay
        self._limits = limits
        self._tally = tally
        self.closing = False
        self.running = 0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        self.running += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.running -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        arrived_at = self._clock.monotonic()
        answer = CallerAnswer(send, closing=self.closing, clock=self._clock)
        req: CallerRequest | None = None
        call: Admitted | None = None
        code, detail = Code.OK, ""
        try:
            req = self._wire.request(scope)
            req.body = await self._read_body(req, arrived_at, scope, receive)
            call = self._admission.admit(req, arrived_at)
            if not await self._relay_request(call, answer, receive):
                code = Code.CALLER_LEFT
        except RequestError as exc:
            code, detail = exc.code, exc.detail
            if exc.retry_after is not None:
                self._admission.refused()
            await self._send_failure(answer, exc)
        finally:
            self._record_end(req, call, answer, code, detail, arrived_at)

    async def _relay_request(self, call: Admitted, answer: CallerAnswer, receive: Receive) -> bool:
        """Relay a request; return False if the caller disconnected before the end.

        The request is cancelled when its caller disconnects. Otherwise the endpoint would keep a
        slot occupied that other requests wait for.
        """
        failure: RequestError | None = None
        left = False
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                nonlocal left
                while (await receive())["type"] != "http.disconnect":
                    pass
                left = True
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            try:
                await self._relay.run(call, answer)
            except RequestError as exc:
                failure = exc
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return not left or answer.ended

    async def _read_body(
        self, req: CallerRequest, arrived_at: float, scope: Scope, receive: Receive
    ) -> bytes:
        """Return the body of a request.

        The rest of a body that did not arrive with the head is read only if the request has a
        route and a valid key, and only until its caller gives up.
        """
        first = await receive_part(scope, receive)
        if not first.get("more_body", False):
            return await self._read_parts(first, scope, receive)
        ends_at = self._admission.check_head(req, arrived_at)
        with anyio.move_on_after(ends_at - self._clock.monotonic()):
            return await self._read_parts(first, scope, receive)
        raise RequestError(Code.DEADLINE_PASSED, "the body is incomplete")

    async def _read_parts(self, first: dict[str, Any], scope: Scope, receive: Receive) -> bytes:
        max_bytes = self._limits().body_bytes
        body = bytearray()
        message = first
        while True:
            if message["type"] == "http.disconnect":
                raise RequestError(Code.CALLER_LEFT)
            body += message.get("body", b"")
            if len(body) > max_bytes:
                raise RequestError(Code.BODY_TOO_LARGE)
            if not message.get("more_body", False):
                return bytes(body)
            message = await receive_part(scope, receive)

    async def _send_failure(self, answer: CallerAnswer, exc: RequestError) -> None:
        """Send an error to the caller, or break off an answer that has started.

        If this returns while the answer has no end, the server closes the connection without the
        last chunk, so that the partial answer does not look complete.
        """
        if answer.started or exc.code is Code.CALLER_LEFT:
            return
        await answer.refuse(exc)

    def _record_end(
        self,
        req: CallerRequest | None,
        call: Admitted | None,
        answer: CallerAnswer,
        code: Code,
        detail: str,
        arrived_at: float,
    ) -> None:
        seconds = self._clock.monotonic() - arrived_at
        route = call.route.name if call else ""
        organisation = call.organisation.name if call and call.organisation else ""
        self._tally.ended(route, organisation, code, answer.status, seconds)
        logger.bind(
            request=req.id.decode("latin-1") if req else "",
            content=call.traits.content.hex() if call else "",
            route=route,
            service=call.service if call else "",
            version=call.version if call else 0,
            organisation=organisation,
            code=int(code),
            detail=detail,
            status=answer.status,
            whole=answer.ended,
            returned=call.returned if call else False,
            seconds=round(seconds, 4),
            longest_pause=round(answer.longest_pause, 4),
        ).info("request ended")
