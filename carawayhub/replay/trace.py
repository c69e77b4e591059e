"""What a trace holds: a fleet, arrivals, faults, configuration steps and the outcomes it states.

Times are seconds since the first arrival could come. The files are JSON with comments; each class
here is one object in them, and its ``kind`` says which one.
"""

from typing import Any

import msgspec

from carawayhub.replay.faults import Fault
from carawayhub.replay.outcomes import Outcome
from carawayhub.replay.parts import Part
from carawayhub.standins.callers import Once
from carawayhub.standins.fleetshape import FleetShape, LockStepShape, OrganisationPlan

OPTIONS: dict[str, int | float] = {"answer_ttl_s": 2, "answer_size": 3, "request_deadline_s": 20}


class OrganisationPart(Part):
    """An organisation; see ``OrganisationPlan``."""

    priority: int = 5
    rate: float = 10_000.0
    concurrency: int = 1000
    retry_share: float = 0.2


class FleetPart(Part):
    """The fleet to run the trace on; see ``FleetShape``.

    Attributes:
        lock_step: Whether a lock-step group stands beside the engines.
        key_quarantine: Whether agents that have just started distrust idempotency keys; false, as
            in a service's first configuration, lets bookings with keys run from the start.
        options: Fleet-wide options as the configuration writes them.
    """

    organisations: dict[str, OrganisationPart]
    failure_domains: tuple[str, ...] = ("attica", "patra", "larisa")
    entries: int = 3
    engines: int = 3
    services: int = 2
    model: str = "repair"
    capacity: int = 32
    step_ms: float = 20.0
    resumes: bool = True
    lock_step: bool = False
    key_quarantine: bool = False
    options: dict[str, int | float] = msgspec.field(default_factory=lambda: dict(OPTIONS))

    def shape(self) -> FleetShape:
        """Return it as the stand-ins take it."""
        organisations = tuple(
            OrganisationPlan(name, part.priority, part.rate, part.concurrency, part.retry_share)
            for name, part in self.organisations.items()
        )
        return FleetShape(
            failure_domains=self.failure_domains,
            entries=self.entries,
            engines=self.engines,
            services=self.services,
            model=self.model,
            capacity=self.capacity,
            step_ms=self.step_ms,
            resumes=self.resumes,
            lock_step=LockStepShape() if self.lock_step else None,
            key_quarantine=self.key_quarantine,
            organisations=organisations,
            options=dict(self.options),
        )


class CallerPart(Part):
    """How all callers of the trace behave; see ``CallerOptions``."""

    attempts: int = 6
    deadline_s: float = 15.0


class Arrival(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """One call, written as a list to keep a line short.

    Attributes:
        at: When it comes.
        organisation: Who calls.
        ask: ``stream``, ``whole``, ``lookup`` or ``booking``.
        tokens: Tokens wanted, 0 for a plain service.
        once: How one run is asked for: ``no``, ``key`` or ``ticket``.
        failure_domain: Where the caller stands, empty to not say.

    Example:
        ``[1.25, "cafes", "stream", 40, "no", "attica"]``
    """

    at: float
    organisation: str
    ask: str
    tokens: int = 0
    once: Once = Once.NO
    failure_domain: str = ""


class LoadShare(Part):
    """A kind of call in a random load and its weight."""

    weight: float
    organisation: str
    ask: str
    tokens: int = 0
    once: Once = Once.NO
    failure_domain: str = ""


class LoadPhase(Part):
    """A stretch of random arrivals, to be played once and recorded as arrivals."""

    begin: float
    end: float
    per_second: float
    mix: tuple[LoadShare, ...]


class Step(Part):
    """One more file in the configuration folder.

    Attributes:
        at: When it is published.
        file: Its name.
        content: What it holds.
    """

    at: float
    file: str
    content: dict[str, Any]

    @property
    def leaving(self) -> list[str]:
        """Endpoints that leave by this step."""
        parts = self.content.get("endpoints", {})
        return [name for name, part in parts.items() if _leaves(part)]


class Trace(Part):
    """One trace.

    Attributes:
        about: What it shows, in a sentence.
        seconds: How long it lasts; calls in flight then are still awaited.
        fleet: The fleet.
        outcomes: What must hold in the end.
        callers: How callers behave.
        arrivals: Recorded calls.
        load: Random calls, in place of recorded ones; ``--record`` makes arrivals of them.
        seed: Seed of ``load``.
        faults: Faults.
        steps: Configuration steps.
    """

    about: str
    seconds: float
    fleet: FleetPart
    outcomes: tuple[Outcome, ...]
    callers: CallerPart = msgspec.field(default_factory=CallerPart)
    arrivals: tuple[Arrival, ...] = ()
    load: tuple[LoadPhase, ...] = ()
    seed: int = 0
    faults: tuple[Fault, ...] = ()
    steps: tuple[Step, ...] = ()


def _leaves(part: object) -> bool:
    return isinstance(part, dict) and part.get("state") == "leaving"
