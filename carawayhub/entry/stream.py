"""Checks on a model's stream of server-sent events while it passes.

A caller must never get tokens of another request, a token twice, or a short answer that looks
whole. Each event carries the request's id and, from engines that number them, its offset; the
stream ends with ``data: [DONE]``. An event that does not fit ends the connection to the endpoint.
"""

import re

from carawayhub.codes import Code
from carawayhub.errors import RequestError

END_OF_EVENT = b"\n\n"
DATA = b"data:"
DONE = b"[DONE]"
OFFSET = b'"offset":'
ID = b'"id":'
NOT_FINISHED = b'"finish_reason":null'
NOT_FINISHED_SPACED = b'"finish_reason": null'
NUMBER = re.compile(rb" *([0-9]+)")
LONGEST_END = len(DATA) + 1 + len(DONE)
MAX_EVENT_BYTES = 1_048_576


class StreamCheck:
    """Follows one stream over all the connections it takes.

    Args:
        request_id: Id that each event must carry.

    Attributes:
        tokens: Tokens let through, which is the offset at which a resumed stream must go on.
        ended: Whether the explicit end was seen.
        fault: What is wrong with the event after those let through, None for nothing.
    """

    __slots__ = ("_id", "_rest", "ended", "fault", "tokens")

    def __init__(self, request_id: str) -> None:
        self._id = request_id.encode()
        self._rest = b""
        self.tokens = 0
        self.ended = False
        self.fault: RequestError | None = None

    def reconnected(self) -> None:
        """Forget the incomplete event and the fault of a connection that broke."""
        self._rest = b""
        self.fault = None

    def feed(self, data: bytes) -> bytes:
        """Return the complete events in what came so far, checked; the rest waits for more.

        An event that does not fit, ANSWER_MIXED, is noted in ``fault``; those before it in the same
        read are returned. They count as let through, and a stream that is resumed goes on after
        them: kept back, they would be missing from the answer.
        """
        text = self._rest + data if self._rest else data
        end = text.rfind(END_OF_EVENT)
        if end < 0:
            self._keep(text)
            return b""
        whole = text[: end + len(END_OF_EVENT)]
        self._keep(text[end + len(END_OF_EVENT) :])
        passed = 0
        for event in whole.split(END_OF_EVENT):
            if event.startswith(DATA):
                self.fault = self._check(event)
                if self.fault is not None:
                    return whole[:passed]
            passed += len(event) + len(END_OF_EVENT)
        return whole

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise RequestError(Code.ENDPOINT_ERROR, "an event of the stream has no end")
        self._rest = rest

    def _check(self, event: bytes) -> RequestError | None:
        if self.ended:
            return RequestError(Code.ANSWER_MIXED, "an event came after the end of the stream")
        if len(event) <= LONGEST_END and event.endswith(DONE):
            self.ended = True
            return None
        if self._id not in event and ID in event:
            return RequestError(Code.ANSWER_MIXED, "an event carries another request's id")
        place = event.find(OFFSET)
        if place >= 0:
            offset = _number(event, place + len(OFFSET))
            if offset != self.tokens:
                detail = f"an event has offset {offset} where {self.tokens} is due"
                return RequestError(Code.ANSWER_MIXED, detail)
        if NOT_FINISHED in event or NOT_FINISHED_SPACED in event:
            self.tokens += 1
        return None


def _number(event: bytes, start: int) -> int:
    """Return the number at ``start``, -1 where there is none."""
    found = NUMBER.match(event, start)
    return int(found[1]) if found else -1
