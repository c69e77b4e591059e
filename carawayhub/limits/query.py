"""Input and result of admission control."""

import math
from dataclasses import dataclass

from carawayhub.routing.query import Target


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmitQuery:
    """The properties of a request that admission control needs.

    Attributes:
        organisation: Organisation that sent the request.
        target: Target of the request.
        priority: From 0, served first, to 9, shed first.
        deadline: Timestamp after which the answer is useless.
        cost: Expected work, 1.0 for an ordinary request; the unit is up to the calling code, for
            example expected tokens relative to the usual number.
    """

    organisation: str
    target: Target
    priority: int = 5
    deadline: float = math.inf
    cost: float = 1.0


class Admitted:
    """An admitted request, which must be passed to ``Admission.release`` when it ends.

    Attributes:
        query: The request.
        at: Timestamp of its admission.
        first_byte_at: Timestamp of the first byte of its answer, None before that.
        released: Whether it was released.
    """

    __slots__ = ("at", "first_byte_at", "query", "released")

    def __init__(self, query: AdmitQuery, at: float) -> None:
        self.query = query
        self.at = at
        self.first_byte_at: float | None = None
        self.released = False
