"""What admission is asked and what it gives."""

import math
from dataclasses import dataclass

from carawayhub.routing.query import Target


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitQuery:
    """A request as far as admission needs to know it.

    Attributes:
        organisation: Whose request it is.
        target: What the request is for.
        priority: 0 is served first, 9 is shed first.
        deadline: Reading of the clock after which the answer is of no use.
        cost: Expected work, 1.0 for an ordinary request; the unit is the caller's, for example
            expected tokens over the usual number.
    """

    organisation: str
    target: Target
    priority: int = 5
    deadline: float = math.inf
    cost: float = 1.0


class Admitted:
    """A request that was admitted; to be given back to ``Admission.release``.

    Attributes:
        query: The request.
        at: Reading of the clock when it was admitted.
        first_byte_at: Reading of the clock at the first byte of its answer, None before.
        released: Whether it was given back.
    """

    __slots__ = ("at", "first_byte_at", "query", "released")

    def __init__(self, query: AdmitQuery, at: float) -> None:
        self.query = query
        self.at = at
        self.first_byte_at: float | None = None
        self.released = False
