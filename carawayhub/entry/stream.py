"""Validates a model's stream of server-sent events while it is forwarded.

A caller must never receive tokens of another request, a token twice, or a truncated answer that
appears complete. Each event carries the request's id and, from engines that number them, its
offset; the stream ends with ``data: [DONE]``. An invalid event ends the connection to the endpoint.
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
NUMBER = re.compile(rb" *([0-9]{1,18})")
MAX_DONE_BYTES = len(DATA) + 1 + len(DONE)
MAX_EVENT_BYTES = 1_048_576


class StreamCheck:
    """Validates one stream across all its connections.

    Args:
        request_id: Id that each event must carry.

    Attributes:
        tokens: Number of tokens accepted, which is the offset at which a resumed stream continues.
        ended: Whether the explicit end was received.
        fault: Error of the event after the accepted ones, None if there is none.
    """

    __slots__ = ("_id", "_incomplete", "ended", "fault", "tokens")

    def __init__(self, request_id: str) -> None:
        self._id = request_id.encode()
        self._incomplete = b""
        self.tokens = 0
        self.ended = False
        self.fault: RequestError | None = None

    def reconnected(self) -> None:
        """Discard the incomplete event and the fault of the previous connection."""
        self._incomplete = b""
        self.fault = None

    def feed(self, data: bytes) -> bytes:
        """Return the complete and valid events received so far; an incomplete one is buffered.

        The error of an invalid event, ANSWER_MIXED, is stored in ``fault``, and the events before
        it in the same read are returned. These count as accepted, and a resumed stream continues
        after them: if they were dropped, they would be missing from the answer.
        """
        text = self._incomplete + data if self._incomplete else data
        end = text.rfind(END_OF_EVENT)
        if end < 0:
            self._buffer_incomplete(text)
            return b""
        whole = text[: end + len(END_OF_EVENT)]
        self._buffer_incomplete(text[end + len(END_OF_EVENT) :])
        passed = 0
        for event in whole.split(END_OF_EVENT):
            if event.startswith(DATA):
                self.fault = self._check(event)
                if self.fault is not None:
                    return whole[:passed]
            passed += len(event) + len(END_OF_EVENT)
        return whole

    def _buffer_incomplete(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise RequestError(Code.ENDPOINT_ERROR, "an event of the stream exceeds the size limit")
        self._incomplete = rest

    def _check(self, event: bytes) -> RequestError | None:
        if self.ended:
            return RequestError(Code.ANSWER_MIXED, "event received after the end of the stream")
        if len(event) <= MAX_DONE_BYTES and event.endswith(DONE):
            self.ended = True
            return None
        if self._id not in event and ID in event:
            return RequestError(Code.ANSWER_MIXED, "event has the id of another request")
        position = event.find(OFFSET)
        if position >= 0:
            offset = _number(event, position + len(OFFSET))
            if offset != self.tokens:
                detail = f"event has offset {offset}, expected {self.tokens}"
                return RequestError(Code.ANSWER_MIXED, detail)
        if NOT_FINISHED in event or NOT_FINISHED_SPACED in event:
            self.tokens += 1
        return None


def _number(event: bytes, start: int) -> int:
    """Return the number at ``start``, -1 if there is none."""
    found = NUMBER.match(event, start)
    return int(found[1]) if found else -1
