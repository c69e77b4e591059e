"""Flap damping: temporarily excludes a peer that fails and recovers repeatedly."""

from dataclasses import dataclass

from carawayhub.clock import Clock

HALF_LIFE_SECONDS = 60.0
DAMP_ABOVE = 3.0
REUSE_BELOW = 1.0
MAX_PENALTY = 6.0


@dataclass(slots=True)
class _Penalty:
    value: float
    updated_at: float
    damped: bool = False


class FlapDamping:
    """Keeps a penalty per peer that grows by one with each recovery and halves each minute.

    An endpoint behind a loose cable may answer one heartbeat and miss the next three; after each
    recovery it would receive requests that fail. A peer whose penalty exceeds ``DAMP_ABOVE`` is
    excluded until the penalty is below ``REUSE_BELOW``, two to three minutes later.
    """

    __slots__ = ("_clock", "_penalties")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._penalties: dict[str, _Penalty] = {}

    def record_recovery(self, peer: str) -> None:
        """Record that ``peer`` answered again after it was suspected."""
        now = self._clock.monotonic()
        penalty = self._penalties.setdefault(peer, _Penalty(0.0, now))
        penalty.value = min(MAX_PENALTY, _decayed(penalty, now) + 1.0)
        penalty.updated_at = now
        penalty.damped = penalty.damped or penalty.value > DAMP_ABOVE

    def is_damped(self, peer: str) -> bool:
        """Return whether ``peer`` is excluded from use."""
        penalty = self._penalties.get(peer)
        if penalty is None:
            return False
        value = _decayed(penalty, self._clock.monotonic())
        if value < REUSE_BELOW:
            penalty.damped = False
        return penalty.damped

    def forget(self, peer: str) -> None:
        """Remove the penalty of ``peer``."""
        self._penalties.pop(peer, None)


def _decayed(penalty: _Penalty, now: float) -> float:
    return penalty.value * 0.5 ** ((now - penalty.updated_at) / HALF_LIFE_SECONDS)
