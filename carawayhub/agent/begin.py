"""Outcomes of ``Ledger.begin``: what to do with a request that is to be run."""

from dataclasses import dataclass

import anyio

from carawayhub.agent.messages import Answer, LookUp, RunId
from carawayhub.codes import Code


@dataclass(slots=True, frozen=True)
class Run:
    """Run the request now and pass its outcome to ``Ledger.finish``."""

    run: RunId


@dataclass(slots=True, frozen=True)
class Replay:
    """The request has run before; return the kept answer.

    Attributes:
        answer: The endpoint's answer.
        remaining: Remaining seconds for which the answer is kept.
    """

    answer: Answer
    remaining: float


@dataclass(slots=True, frozen=True)
class Wait:
    """The request is running here; retry when ``done`` is set, or answer RUN_STILL_RUNNING."""

    done: anyio.Event


@dataclass(slots=True, frozen=True)
class Ask:
    """Another agent started the request; pass its reply to ``Ledger.resolve``, then retry."""

    look_up: LookUp


@dataclass(slots=True, frozen=True)
class Refuse:
    """The request is refused for now.

    Attributes:
        code: Reason of the refusal.
        retry_after: Seconds after which to retry, 0 for never.
        detail: Details of this refusal.
    """

    code: Code
    retry_after: float = 0.0
    detail: str = ""


Begin = Run | Replay | Wait | Ask | Refuse
