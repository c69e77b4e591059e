"""What agents last reported, for choices that are not the router's."""

from dataclasses import dataclass

from carawayhub.peers.messages import EndpointReport, ServingState


@dataclass(frozen=True, slots=True)
class HeardReport:
    """A report and the clock reading until which its permit lasts."""

    report: EndpointReport
    permit_until: float


class Reports:
    """The latest report of each endpoint's agent."""

    __slots__ = ("_heard",)

    def __init__(self) -> None:
        self._heard: dict[str, HeardReport] = {}

    def observe(self, report: EndpointReport, asked_at: float) -> None:
        """Take a report that answers a heartbeat sent at clock reading ``asked_at``."""
        self._heard[report.endpoint] = HeardReport(report, asked_at + report.permit)

    def lost(self, endpoint: str) -> None:
        """Drop what is known: the agent cannot be reached."""
        self._heard.pop(endpoint, None)

    def latest(self, endpoint: str) -> EndpointReport | None:
        """Return the latest report, None where the agent was not heard since it was lost."""
        heard = self._heard.get(endpoint)
        return None if heard is None else heard.report

    def serving(self, endpoint: str, now: float) -> EndpointReport | None:
        """Return the latest report if it lets new work go to the endpoint at ``now``."""
        heard = self._heard.get(endpoint)
        if heard is None or heard.permit_until <= now:
            return None
        return heard.report if heard.report.state is ServingState.SERVING else None
