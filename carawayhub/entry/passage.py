"""The parts of one stream on their way from one connection of an endpoint to the caller."""

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.endpoints.upstream import UpstreamResponse
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import Call
from carawayhub.entry.stream import StreamCheck
from carawayhub.output.metrics import Latency, Metrics


class Passage:
    """Checks and sends on together what one read of an endpoint's connection brought.

    Until the caller has taken it nothing more is read, so a slow caller holds little in this
    process; the rest waits at the endpoint.

    Args:
        call: The call.
        answer: Towards the caller.
        check: Follows the stream over all its connections.
        response: The head of this connection's answer.
        clock: Source of time.
        metrics: Takes the time between parts.
    """

    __slots__ = ("_answer", "_check", "_clock", "_gaps", "_response")

    def __init__(
        self,
        call: Call,
        answer: Answer,
        check: StreamCheck,
        response: UpstreamResponse,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._answer = answer
        self._check = check
        self._response = response
        self._clock = clock
        self._gaps = metrics.target_recorder(Latency.BETWEEN_TOKENS, call.target.name)

    async def send(self, data: bytes) -> None:
        """Check what one read brought and send its complete events to the caller.

        Raises:
            RequestError: ANSWER_MIXED where an event is another request's or out of its place; the
                events before it have been sent.
        """
        events = self._check.feed(data)
        if events:
            await self._pass_on(events)
        if self._check.fault is not None:
            raise self._check.fault

    async def _pass_on(self, events: bytes) -> None:
        answer = self._answer
        if answer.started:
            self._gaps.record(self._clock.monotonic() - answer.last_part_at)
        else:
            await answer.start(self._response.status, list(self._response.headers), Code.OK)
        await answer.part(events)
