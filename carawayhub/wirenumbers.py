"""Bounds of the numbers in messages of other parties."""

from typing import Annotated

import msgspec

MAX_COUNT = 2**53 - 1
"""Largest integer that every JSON decoder reads exactly. Sums of a thousand such numbers still fit
into the 64 bits in which processes exchange them."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number that another party states."""

Sum = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
"""A number that a peer has computed; a difference may be negative for a moment."""
