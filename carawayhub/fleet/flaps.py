"""Keeps a peer that comes and goes out of use for a while."""

from dataclasses import dataclass

from carawayhub.clock import Clock

HALF_LIFE = 60.0
OUT_ABOVE = 3.0
BACK_BELOW = 1.0
HIGHEST = 6.0


@dataclass(slots=True)
class _Penalty:
    value: float
    at: float
    out: bool = False


class FlapDamping:
    """Counts how often each peer came back, with a penalty that halves each minute.

    An endpoint behind a loose cable answers one heartbeat and misses the next three. Each return
    would bring it new work that fails. After more than ``OUT_ABOVE`` returns in short order it
    stays out of use until the penalty has fallen below ``BACK_BELOW``, two to three minutes later.
    """

    __slots__ = ("_clock", "_penalties")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._penalties: dict[str, _Penalty] = {}

    def returned(self, peer: str) -> None:
        """Note that ``peer`` came back after it was suspected."""
        now = self._clock.monotonic()
        penalty = self._penalties.setdefault(peer, _Penalty(0.0, now))
        penalty.value = min(HIGHEST, _decayed(penalty, now) + 1.0)
        penalty.at = now
        penalty.out = penalty.out or penalty.value > OUT_ABOVE

    def is_out(self, peer: str) -> bool:
        """Return whether ``peer`` is kept out of use."""
        penalty = self._penalties.get(peer)
        if penalty is None:
            return False
        value = _decayed(penalty, self._clock.monotonic())
        if value < BACK_BELOW:
            penalty.out = False
        return penalty.out

    def forget(self, peer: str) -> None:
        """Drop what is known of ``peer``."""
        self._penalties.pop(peer, None)


def _decayed(penalty: _Penalty, now: float) -> float:
    return penalty.value * 0.5 ** ((now - penalty.at) / HALF_LIFE)
