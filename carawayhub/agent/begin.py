"""What the ledger answers when a request asks to be run."""

from dataclasses import dataclass

import anyio

from carawayhub.agent.messages import Answer, LookUp, RunId
from carawayhub.codes import Code


@dataclass(slots=True, frozen=True)
class Run:
    """Run it now, and tell ``Ledger.finish`` how it ended."""

    run: RunId


@dataclass(slots=True, frozen=True)
class Replay:
    """It ran; this is its answer.

    Attributes:
        answer: The endpoint's answer.
        remaining: Seconds for which the answer is still kept.
    """

    answer: Answer
    remaining: float


@dataclass(slots=True, frozen=True)
class Wait:
    """It runs here now; begin again once ``done`` is set, or answer RUN_STILL_RUNNING."""

    done: anyio.Event


@dataclass(slots=True, frozen=True)
class Ask:
    """Another agent began it; ask that one, give the reply to ``Ledger.resolve``, begin again."""

    look_up: LookUp


@dataclass(slots=True, frozen=True)
class Refuse:
    """It is not run now.

    Attributes:
        code: Why.
        retry_after: Seconds after which asking again is sensible, 0 for never.
        detail: What is particular to this case.
    """

    code: Code
    retry_after: float = 0.0
    detail: str = ""


Begin = Run | Replay | Wait | Ask | Refuse
