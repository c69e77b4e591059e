"""Forwards a stream from a connection to an endpoint to the caller."""

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.endpoints.upstream import UpstreamResponse
from carawayhub.entry.answer import Answer
from carawayhub.entry.calls import Call
from carawayhub.entry.stream import StreamCheck
from carawayhub.output.metrics import Latency, Metrics


class StreamForwarder:
    """Checks the events of each read of an endpoint's connection and forwards them together.

    Nothing more is read until the caller has accepted them, so a slow caller causes backpressure on
    the endpoint and takes up little memory in this process.

    Args:
        call: The call.
        answer: The answer to the caller.
        check: Validates the stream across all its connections.
        response: The response on this connection.
        clock: Source of time.
        metrics: Records the time between parts.
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
        """Check the data of one read and send its complete events to the caller.

        Raises:
            RequestError: ANSWER_MIXED if an event belongs to another request or is out of order;
                the events before it have been sent.
        """
        events = self._check.feed(data)
        if events:
            await self._forward(events)
        if self._check.fault is not None:
            raise self._check.fault

    async def _forward(self, events: bytes) -> None:
        answer = self._answer
        if answer.started:
            self._gaps.record(self._clock.monotonic() - answer.last_part_at)
        else:
            await answer.start(self._response.status, list(self._response.headers), Code.OK)
        await answer.part(events)
