"""Remembers the parts of prompts that were requested and answered recently."""

from collections import Counter, OrderedDict, deque

from carawayhub.clock import Clock

ANSWER_SECONDS = 600.0
"""Time for which an answer speaks for a part: what reads it may change with a release."""

MAX_ANSWERED = 1024
"""Answered parts remembered, 0.2 MB; those not answered for longest are dropped first. The popular
parts, which stand beside most ends, are answered every few seconds."""

RECENT_REQUESTS = 64
"""Requests among which the share of those with a part is taken."""

MIN_REQUESTS = 16
"""Requests below which no part counts as common."""

COMMON_SHARE = 0.5
"""Share of the requests from which on a part is common: rejecting it would close the service."""


class PartHistory:
    """The parts in recent requests and complete answers of this entry.

    Args:
        clock: Source of time.
    """

    __slots__ = ("_answered_at", "_clock", "_recent", "_requests")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._answered_at: OrderedDict[bytes, float] = OrderedDict()
        self._recent: deque[tuple[bytes, ...]] = deque()
        self._requests: Counter[bytes] = Counter()

    def record_request(self, parts: tuple[bytes, ...]) -> None:
        """Record a request with some parts."""
        self._recent.append(parts)
        self._requests.update(parts)
        if len(self._recent) > RECENT_REQUESTS:
            self._requests.subtract(self._recent[0])
            for each in self._recent.popleft():
                if not self._requests[each]:
                    del self._requests[each]

    def record_answer(self, parts: tuple[bytes, ...]) -> None:
        """Record a complete answer to a request with some parts."""
        for each in parts:
            self._answered_at[each] = self._clock.monotonic()
            self._answered_at.move_to_end(each)
            if len(self._answered_at) > MAX_ANSWERED:
                self._answered_at.popitem(last=False)

    def was_answered(self, part: bytes) -> bool:
        """Return whether a request with a part was answered completely."""
        answered_at = self._answered_at.get(part)
        return answered_at is not None and self._clock.monotonic() - answered_at < ANSWER_SECONDS

    def is_common(self, part: bytes) -> bool:
        """Return whether a large share of the requests have a part."""
        known = len(self._recent)
        return known >= MIN_REQUESTS and self._requests[part] >= COMMON_SHARE * known
