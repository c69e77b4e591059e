"""The outcomes that a trace may state."""

from carawayhub.replay.parts import KindPart


class NoFindings(KindPart, tag="no_findings"):
    """The outside observer finds no broken promise."""


class Completed(KindPart, tag="completed"):
    """Of the calls that are meant, at least this part is answered whole.

    Attributes:
        at_least: Part from 0 to 1.
        ask: Only calls of this kind, empty for all.
        organisation: Only calls of this organisation, empty for all.
        since: Only calls that came at this time or later.
        until: Only calls that came before this time.
    """

    at_least: float
    ask: str = ""
    organisation: str = ""
    since: float = 0.0
    until: float = float("inf")


class NoneRefused(KindPart, tag="none_refused"):
    """No call of an organisation ends in a refusal."""

    organisation: str


class ShedOrder(KindPart, tag="shed_order"):
    """Of calls that came in a span, lower priorities are refused at least as often.

    Attributes:
        at_least: Least part of the calls of the lowest priority that is refused, so that the
            outcome is missed where nothing was shed at all.
    """

    at_least: float = 0.0
    since: float = 0.0
    until: float = float("inf")


class Goodput(KindPart, tag="goodput"):
    """Calls that came in a span and were answered whole, for each second of it."""

    at_least: float
    since: float
    until: float


class NoRunAfter(KindPart, tag="no_run_after"):
    """No new work comes to an endpoint after a time."""

    endpoint: str
    after: float


class RunOnceSettled(KindPart, tag="run_once"):
    """Each run-once call runs at most once, and entries of the failure domains answered some whole.

    Attributes:
        answered: Least part of the run-once calls that is answered whole.
        retried: Least number of them that was asked more than once.
        sides: Failure domains whose entries must each have answered one.
    """

    answered: float
    retried: int = 0
    sides: tuple[str, ...] = ()


class InForce(KindPart, tag="in_force"):
    """The version of a step is in force everywhere within a time and stays so.

    Attributes:
        step: Name of the step's file.
        within_s: Seconds after it was published.
        except_for: Processes that may be later, such as a paused one.
    """

    step: str
    within_s: float
    except_for: tuple[str, ...] = ()


class EndedInOrder(KindPart, tag="ended_in_order"):
    """An entry or agent that was asked to stop did so and did not fail."""

    target: str


class Resumed(KindPart, tag="resumed"):
    """At least so many streams went on at their offset over a new connection and came whole."""

    at_least: int


class BrokeOff(KindPart, tag="broke_off"):
    """At least so many streams broke off visibly at their callers and came whole when asked again.

    It keeps a trace of a death from being met where no stream was in flight.
    """

    at_least: int


class ServesAfter(KindPart, tag="serves_after"):
    """An entry answers calls whole that came to it after a time.

    Attributes:
        at_least: Least number of such calls.
    """

    entry: str
    after: float
    at_least: int = 1


Outcome = (
    NoFindings
    | Completed
    | NoneRefused
    | ShedOrder
    | Goodput
    | NoRunAfter
    | RunOnceSettled
    | InForce
    | EndedInOrder
    | Resumed
    | BrokeOff
    | ServesAfter
)
