"""Memory that the unanswered requests of a process take together."""

from collections.abc import Callable

from carawayhub.clock import Clock
from carawayhub.inbound.refusals import Refusal

DEFAULT_TOTAL_BYTES = 96 * 1024 * 1024
"""Memory for requests where the memory of the machine is not stated."""

REQUEST_BYTES = 4_096
"""Memory of a request without its head and body: its task, its scope and its events."""

HEADER_BYTES = 160
"""Memory of a decoded header beside its text: a tuple and two byte strings."""

SMALL_BYTES = 65_536
"""Size up to which a request only gives way if it has stalled or nothing else can."""

STALLED_SECONDS = 1.0
"""Time without any byte after which a request gives way before those that still arrive."""

FREED_PART = 8
"""Part of the memory that is freed at a time, so that not each read has to look for a victim."""


class RequestMemory:
    """Bounds the memory of all unanswered requests of a process.

    When it is used up, incomplete requests are refused: first those that have stalled, the longest
    stall first, then the largest ones. A small request is complete as soon as it arrives, so that a
    crowd of large incomplete ones does not displace it. A request that is alone is never refused:
    operators may allow bodies that are larger than the memory for all.

    Args:
        clock: Source of time.
        total: Bytes for all requests together, 0 if unknown.

    Attributes:
        used: Bytes in use.
    """

    __slots__ = ("_clock", "_incomplete", "_total", "used")

    def __init__(self, clock: Clock, total: int = 0) -> None:
        self._clock = clock
        self._total = total or DEFAULT_TOTAL_BYTES
        self._incomplete: dict[HeldRequest, None] = {}
        """Requests that still arrive, in the order of their last bytes."""
        self.used = 0

    def take(self, request: "HeldRequest", more: int) -> None:
        """Add memory to a request that still arrives; this may refuse it or others."""
        request.size += more
        request.moved_at = self._clock.monotonic()
        self.used += more
        self._incomplete.pop(request, None)
        self._incomplete[request] = None
        alone = self.used == request.size
        if self.used > self._total and not alone:
            self._refuse_some()

    def protect(self, request: "HeldRequest") -> None:
        """Note that a request is complete, and therefore not refused any more."""
        self._incomplete.pop(request, None)

    def give_back(self, request: "HeldRequest") -> None:
        """Free the memory of a request."""
        self._incomplete.pop(request, None)
        self.used -= request.size
        request.size = 0

    def _refuse_some(self) -> None:
        enough = self._total - self._total // FREED_PART
        stalled_before = self._clock.monotonic() - STALLED_SECONDS
        stalled = [each for each in self._incomplete if each.moved_at < stalled_before]
        arriving = [each for each in self._incomplete if each.moved_at >= stalled_before]
        arriving.sort(key=lambda each: each.size, reverse=True)
        for each in stalled:
            if self.used <= enough:
                return
            each.refuse_for_memory()
        for each in arriving:
            if self.used <= (enough if each.size > SMALL_BYTES else self._total):
                return
            each.refuse_for_memory()


class HeldRequest:
    """One request, from its first byte until its application has handled it.

    Args:
        memory: Memory that all requests of the process share.
        on_memory_full: Called when the request is refused so that others fit into memory.

    Attributes:
        refusal: Why the rest of the request will not be received, None while it will.
        size: Bytes of memory that it takes.
        moved_at: When its last bytes arrived, by the monotonic clock.
    """

    __slots__ = ("_memory", "_on_memory_full", "_released", "moved_at", "refusal", "size")

    def __init__(self, memory: RequestMemory, on_memory_full: Callable[[], None]) -> None:
        self._memory = memory
        self._on_memory_full = on_memory_full
        self._released = False
        self.refusal: Refusal | None = None
        self.size = 0
        self.moved_at = float("-inf")

    def grow(self, more: int) -> None:
        """Take memory for bytes that have arrived."""
        if self.refusal is None and not self._released:
            self._memory.take(self, more)

    def complete(self) -> None:
        """Note that all of it has arrived."""
        self._memory.protect(self)

    def refuse(self, reason: Refusal) -> None:
        """Note that the rest is not received; its memory is free again."""
        self.refusal = reason
        self._memory.give_back(self)

    def release(self) -> None:
        """Give its memory back at its end."""
        self._released = True
        self._memory.give_back(self)

    def refuse_for_memory(self) -> None:
        """Refuse it so that others fit into memory."""
        self.refuse(Refusal.MEMORY)
        self._on_memory_full()
