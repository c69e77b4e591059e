"""Latest reports of the agents, for decisions made outside the router."""

from dataclasses import dataclass
from math import inf

from carawayhub.config.leaders import group_leaders
from carawayhub.config.model import Configuration
from carawayhub.peers.messages import EndpointReport, ServingState


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """A report with its times on this process's clock.

    Attributes:
        report: The report.
        permit_until: Timestamp at which its permit expires.
        heard_at: Timestamp at which it was received.
    """

    report: EndpointReport
    permit_until: float
    heard_at: float


class Reports:
    """The latest report of each endpoint's agent."""

    __slots__ = ("_received", "_leaders")

    def __init__(self) -> None:
        self._received: dict[str, ReceivedReport] = {}
        self._leaders: dict[str, str] = {}

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration."""
        self._leaders = group_leaders(cfg)

    def observe(self, report: EndpointReport, asked_at: float, heard_at: float) -> None:
        """Store a report received at ``heard_at`` in reply to a heartbeat sent at ``asked_at``."""
        permit_until = asked_at + report.permit
        self._received[report.endpoint] = ReceivedReport(report, permit_until, heard_at)

    def lost(self, endpoint: str) -> None:
        """Discard the report of an agent that cannot be reached."""
        self._received.pop(endpoint, None)

    def latest(self, endpoint: str) -> EndpointReport | None:
        """Return the latest report, None if there is none since the agent was lost."""
        received = self._received.get(endpoint)
        return None if received is None else received.report

    def on_agents_clock(self, endpoint: str, reading: float) -> float:
        """Convert the timestamp ``reading`` of this process's clock to the agent's clock.

        With only the remaining time at sending, an agent would start a delayed request after the
        caller's deadline. ``report.reading`` was taken before the report arrived, so the result is
        too early by the transit time of the report, and a converted deadline is never too late.
        """
        received = self._received.get(endpoint)
        return inf if received is None else received.report.reading + reading - received.heard_at

    def serving(self, endpoint: str, now: float) -> EndpointReport | None:
        """Return the latest report if it permits new work at the endpoint at ``now``."""
        received = self._received.get(endpoint)
        if received is None or received.permit_until <= now:
            return None
        # Only the agent of rank 0 detects that its group cannot step. The other agents still report
        # that they serve, and a run with a ticket for one of them would wait for steps in vain.
        leader = self._received.get(self._leaders.get(endpoint, ""))
        if leader is not None and leader.report.state is ServingState.FAILED:
            return None
        return received.report if received.report.state is ServingState.SERVING else None
