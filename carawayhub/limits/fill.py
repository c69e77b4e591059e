"""Max-min fair division of a quantity."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

K = TypeVar("K", bound=Hashable)


def water_fill(total: float, wanted: Mapping[K, float]) -> dict[K, float]:
    """Divide ``total`` max-min fairly, so that no key gets more than it wants.

    Keys that want less than an even share get all they want; the others share the rest evenly.

    Example:
        >>> water_fill(10.0, {"a": 2.0, "b": 9.0, "c": 9.0})
        {'a': 2.0, 'b': 4.0, 'c': 4.0}
    """
    parts: dict[K, float] = {}
    left = max(0.0, total)
    remaining = len(wanted)
    for key in sorted(wanted, key=lambda key: wanted[key]):
        part = min(wanted[key], left / remaining)
        parts[key] = part
        left -= part
        remaining -= 1
    return parts
