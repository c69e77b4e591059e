"""The status that a process reports to operators."""

import msgspec


class EndpointStatus(msgspec.Struct, kw_only=True):
    """One endpoint as a process sees it; see ``routing.query.EndpointRow``."""

    name: str
    provider: str
    failure_domain: str
    condition: str
    reason: str
    load: float
    capacity: int
    weight: float


class GroupStatusRow(msgspec.Struct, kw_only=True):
    """One lock-step group as the agent at its rank 0 sees it.

    Attributes:
        name: Name of the group.
        map_number: Number of the expert map in force.
        skew: Load of the busiest rank divided by the mean load.
        decision: The last decision.
        reason: Reason for the decision.
        out_of_routing: Why the group takes no requests, empty where it does.
    """

    name: str
    map_number: int
    skew: float
    decision: str
    reason: str
    out_of_routing: str = ""


class ProcessStatus(msgspec.Struct, kw_only=True):
    """Status of one process.

    Attributes:
        name: Its name.
        role: ``entry`` or ``agent``.
        incarnation: Random number drawn at its start.
        failure_domain: Its failure domain.
        version: Configuration version in force.
        digest: Its digest.
        newest_known: Newest version that it knows of.
        ready: Whether it may serve.
        leaving: Whether it is stopping.
        unreached: Peers that did not answer at the start.
        running: Requests in flight here.
        refusals: Versions that were refused and why.
        endpoints: Endpoints as it sees them.
        groups: Groups whose expert map it changes.
    """

    name: str
    role: str
    incarnation: int
    failure_domain: str
    version: int
    digest: str
    newest_known: int
    ready: bool
    leaving: bool
    unreached: tuple[str, ...] = ()
    running: int = 0
    refusals: tuple[str, ...] = ()
    endpoints: tuple[EndpointStatus, ...] = ()
    groups: tuple[GroupStatusRow, ...] = ()
