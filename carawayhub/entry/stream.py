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
        tokens: Tokens seen, which is the offset at which a resumed stream must go on.
        ended: Whether the explicit end was seen.
    """

    __slots__ = ("_id", "_rest", "ended", "tokens")

    def __init__(self, request_id: str) -> None:
        self._id = request_id.encode()
        self._rest = b""
        self.tokens = 0
        self.ended = False

    def reconnected(self) -> None:
        """Forget the incomplete event of a connection that broke."""
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events in what came so far, checked; the rest waits for more.

        Raises:
            RequestError: ANSWER_MIXED where an event is another request's or out of its place.
        """
        text = self._rest + data if self._rest else data
        end = text.rfind(END_OF_EVENT)
        if end < 0:
            self._keep(text)
            return b""
        whole = text[: end + len(END_OF_EVENT)]
        self._keep(text[end + len(END_OF_EVENT) :])
        for event in whole.split(END_OF_EVENT):
            if event.startswith(DATA):
                self._check(event)
        return whole

    def _keep(self, rest: bytes) -> None:
        if len(rest) > MAX_EVENT_BYTES:
            raise RequestError(Code.ENDPOINT_ERROR, "an event of the stream has no end")
        self._rest = rest

    def _check(self, event: bytes) -> None:
        if self.ended:
            raise RequestError(Code.ANSWER_MIXED, "an event came after the end of the stream")
        if len(event) <= LONGEST_END and event.endswith(DONE):
            self.ended = True
            return
        if self._id not in event and ID in event:
            raise RequestError(Code.ANSWER_MIXED, "an event carries another request's id")
        place = event.find(OFFSET)
        if place >= 0:
            self._check_offset(event, place + len(OFFSET))
        if NOT_FINISHED in event or NOT_FINISHED_SPACED in event:
            self.tokens += 1

    def _check_offset(self, event: bytes, place: int) -> None:
        offset = _number(event, place)
        if offset != self.tokens:
            detail = f"an event has offset {offset} where {self.tokens} is due"
            raise RequestError(Code.ANSWER_MIXED, detail)


def _number(event: bytes, start: int) -> int:
    """Return the number at ``start``, -1 where there is none."""
    found = NUMBER.match(event, start)
    return int(found[1]) if found else -1
