"""What agents last reported, for choices that are not the router's."""

from dataclasses import dataclass
from math import inf

from carawayhub.config.leaders import group_leaders
from carawayhub.config.model import Configuration
from carawayhub.peers.messages import EndpointReport, ServingState


@dataclass(frozen=True, slots=True)
class HeardReport:
    """A report and what it means on this process's clock.

    Attributes:
        report: The report.
        permit_until: Clock reading until which its permit lasts.
        heard_at: Clock reading when it came.
    """

    report: EndpointReport
    permit_until: float
    heard_at: float


class Reports:
    """The latest report of each endpoint's agent."""

    __slots__ = ("_heard", "_leaders")

    def __init__(self) -> None:
        self._heard: dict[str, HeardReport] = {}
        self._leaders: dict[str, str] = {}

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force."""
        self._leaders = group_leaders(cfg)

    def observe(self, report: EndpointReport, asked_at: float, heard_at: float) -> None:
        """Take a report that came at ``heard_at`` and answers a heartbeat sent at ``asked_at``."""
        permit_until = asked_at + report.permit
        self._heard[report.endpoint] = HeardReport(report, permit_until, heard_at)

    def lost(self, endpoint: str) -> None:
        """Drop what is known: the agent cannot be reached."""
        self._heard.pop(endpoint, None)

    def latest(self, endpoint: str) -> EndpointReport | None:
        """Return the latest report, None where the agent was not heard since it was lost."""
        heard = self._heard.get(endpoint)
        return None if heard is None else heard.report

    def on_agents_clock(self, endpoint: str, reading: float) -> float:
        """Return what the agent's clock has reached by the time this process's reads ``reading``.

        Guards against a request that is long on its way: told only how much time was left when it
        was sent, the agent would begin it past its caller's deadline. The agent's clock read
        ``report.reading`` some time before the report came, so the sum falls short of the truth by
        the time the report took, and a deadline given so is never too late.
        """
        heard = self._heard.get(endpoint)
        return inf if heard is None else heard.report.reading + reading - heard.heard_at

    def serving(self, endpoint: str, now: float) -> EndpointReport | None:
        """Return the latest report if it lets new work go to the endpoint at ``now``."""
        heard = self._heard.get(endpoint)
        if heard is None or heard.permit_until <= now:
            return None
        # A group that cannot step is known to the agent beside its rank 0 alone; the others say
        # that they serve, and a ticket of theirs would wait for steps that are not made.
        leader = self._heard.get(self._leaders.get(endpoint, ""))
        if leader is not None and leader.report.state is ServingState.FAILED:
            return None
        return heard.report if heard.report.state is ServingState.SERVING else None
