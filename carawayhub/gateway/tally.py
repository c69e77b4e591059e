"""Counters and latencies of a gateway in the Prometheus text format."""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from carawayhub.codes import Code
from carawayhub.gateway.revision import Revision
from carawayhub.gateway.serviceorder import OrderStatus
from carawayhub.gateway.statements import StatementCounts
from carawayhub.limits.poison import PoisonCounts
from carawayhub.output.metrics import Recorder, counter_lines, summary_lines


@dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Rate limits reported by replicas, and their effect.

    Attributes:
        limits: Requests per second, by key of the replica.
        held_back: Number of times that a request wasn't sent to a replica because of its limit.
        cold: Number of cold replicas by service.
        held_back_cold: Number of times that requests weren't sent to cold replicas.
    """

    limits: Mapping[int, float] = field(default_factory=dict)
    held_back: int = 0
    cold: Mapping[str, int] = field(default_factory=dict)
    held_back_cold: int = 0


@dataclass(frozen=True, slots=True)
class ViewStatus:
    """Status of an entry's view of the published state.

    Attributes:
        version: Version of the active configuration, 0 if there is none.
        revision: Published revision up to which everything is known.
        era_changes: How often the entry learned that the published state is in another era.
        era_rejections: Stated eras that were not believed.
        age: Seconds since this revision was last proved to be the newest.
        reads: Whether this entry reads the store for its peers.
        evacuated: Evacuated failure domains with the revisions of the requests.
        evacuation_rejections: Requests rejected since all endpoints are evacuated, by service.
        region_rejections: Requests rejected since no endpoint is in their allowed regions, by
            service.
    """

    version: int = 0
    revision: Revision = Revision()
    age: float = 0.0
    reads: bool = False
    era_changes: int = 0
    era_rejections: int = 0
    evacuated: Mapping[str, Revision] = field(default_factory=dict)
    evacuation_rejections: Mapping[str, int] = field(default_factory=dict)
    region_rejections: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LocalityCounts:
    """Decisions by failure domain; empty where failure domains are ignored.

    Attributes:
        requests: Requests sent, by service and origin; see ``Locality``.
        answers: Answers of the directory by kind; see ``EntryDirectory``.
    """

    requests: Mapping[str, Mapping[str, int]] = field(default_factory=dict)
    answers: Mapping[str, int] = field(default_factory=dict)


class Tally:
    """Metrics of one entry since it started.

    Args:
        unreadable_entries: Returns the number of malformed endpoint registrations so far.
        replica_limits: Returns the rate limits of replicas.
        view_status: Returns the status of the view of the published state.
        statement_counts: Returns how often replicas stated something about themselves.
        poison_counts: Returns how many requests were rejected since they end endpoints.
        locality_counts: Returns the decisions by failure domain.
        pass_bounds: Returns the bounds on the requests in flight of groups, by group.
        slot_order: Returns the requests by priority and organisation, by service.
        task_failures: Returns how often each task of the process failed.
    """

    __slots__ = (
        "_cut_answers",
        "_ended_under_requests",
        "_ends",
        "_locality_counts",
        "_table_delays",
        "_task_failures",
        "_pass_bounds",
        "_poison_counts",
        "_replica_limits",
        "_slot_order",
        "_statement_counts",
        "_times",
        "_unreadable_entries",
        "_view_status",
    )

    def __init__(
        self,
        unreadable_entries: Callable[[], int] = lambda: 0,
        replica_limits: Callable[[], ReplicaLimits] = ReplicaLimits,
        view_status: Callable[[], ViewStatus] = ViewStatus,
        statement_counts: Callable[[], StatementCounts] = StatementCounts,
        poison_counts: Callable[[], PoisonCounts] = PoisonCounts,
        locality_counts: Callable[[], LocalityCounts] = LocalityCounts,
        pass_bounds: Callable[[], Mapping[str, int]] = dict,
        slot_order: Callable[[], Mapping[str, OrderStatus]] = dict,
        task_failures: Callable[[], Mapping[str, int]] = dict,
    ) -> None:
        self._task_failures = task_failures
        self._slot_order = slot_order
        self._unreadable_entries = unreadable_entries
        self._replica_limits = replica_limits
        self._view_status = view_status
        self._statement_counts = statement_counts
        self._poison_counts = poison_counts
        self._locality_counts = locality_counts
        self._pass_bounds = pass_bounds
        self._table_delays = Recorder()
        self._ends: Counter[tuple[str, str, Code, int]] = Counter()
        self._times: dict[str, Recorder] = {}
        self._ended_under_requests: Counter[str] = Counter()
        self._cut_answers: Counter[tuple[str, Code]] = Counter()

    def ended(self, route: str, organisation: str, code: Code, status: int, seconds: float) -> None:
        """Record a completed request."""
        self._ends[(route, organisation, code, status)] += 1
        recorder = self._times.get(route)
        if recorder is None:
            recorder = self._times[route] = Recorder()
        recorder.record(seconds)

    def answer_cut(self, service: str, code: Code) -> None:
        """Record an answer of an endpoint that was cut off here."""
        self._cut_answers[(service, code)] += 1

    def table_applied(self, late_at_most: float) -> None:
        """Record the maximum delay between publication and activation of a configuration.

        Args:
            late_at_most: Upper bound in seconds; infinite for the first configuration of a
                process, which isn't recorded.
        """
        if not math.isinf(late_at_most):
            self._table_delays.record(late_at_most)

    def endpoint_ended(self, service: str) -> None:
        """Count a request during which its endpoint crashed or stopped."""
        self._ended_under_requests[service] += 1

    def page(self) -> str:
        """Return all metrics as text."""
        lines = ["# TYPE carawayhub_gateway_requests_total counter"]
        for (route, organisation, code, status), count in sorted(self._ends.items()):
            labels = (
                f'route="{route}",organisation="{organisation}",code="{int(code)}",'
                f'status="{status}"'
            )
            lines.append(f"carawayhub_gateway_requests_total{{{labels}}} {count}")
        lines.append("# TYPE carawayhub_gateway_unreadable_entries_total counter")
        lines.append(f"carawayhub_gateway_unreadable_entries_total {self._unreadable_entries()}")
        lines.append("# TYPE carawayhub_gateway_cut_by_endpoint_ends_total counter")
        for service, count in sorted(self._ended_under_requests.items()):
            labels = f'service="{service}"'
            lines.append(f"carawayhub_gateway_cut_by_endpoint_ends_total{{{labels}}} {count}")
        lines.append("# TYPE carawayhub_gateway_cut_answers_total counter")
        for (service, code), count in sorted(self._cut_answers.items()):
            labels = f'service="{service}",code="{int(code)}"'
            lines.append(f"carawayhub_gateway_cut_answers_total{{{labels}}} {count}")
        met = self._replica_limits()
        lines.append("# TYPE carawayhub_gateway_replica_limit gauge")
        for key, per_second in sorted(met.limits.items()):
            lines.append(f'carawayhub_gateway_replica_limit{{replica="{key}"}} {per_second}')
        lines.append("# TYPE carawayhub_gateway_held_back_total counter")
        lines.append(f"carawayhub_gateway_held_back_total {met.held_back}")
        lines.append("# TYPE carawayhub_gateway_group_pass_bound gauge")
        for group, bound in sorted(self._pass_bounds().items()):
            lines.append(f'carawayhub_gateway_group_pass_bound{{group="{group}"}} {bound}')
        lines += _cold_lines(met)
        lines += self._poison_lines()
        lines += self._statement_lines()
        lines += self._view_lines()
        lines += _locality_lines(self._locality_counts())
        lines += _order_lines(self._slot_order())
        lines += counter_lines(
            "carawayhub_gateway_task_failures_total", "task", self._task_failures()
        )
        lines.append("# TYPE carawayhub_gateway_milliseconds summary")
        for route, recorder in sorted(self._times.items()):
            labels = f'route="{route}"'
            lines += summary_lines("carawayhub_gateway_milliseconds", labels, recorder)
        return "\n".join(lines) + "\n"

    def _poison_lines(self) -> list[str]:
        counts = self._poison_counts()
        name = "carawayhub_gateway_poison"
        return [
            f"# TYPE {name}_rejections_total counter",
            f'{name}_rejections_total{{trait="content"}} {counts.rejected}',
            f'{name}_rejections_total{{trait="part"}} {counts.rejected_parts}',
            f"# TYPE {name}_suspects_cleared_total counter",
            f"{name}_suspects_cleared_total {counts.cleared}",
            f"# TYPE {name}_suspects gauge",
            f"{name}_suspects {counts.suspects}",
        ]

    def _statement_lines(self) -> list[str]:
        counts = self._statement_counts()
        lines = []
        for name, by_service in (
            ("carawayhub_gateway_requested_backoffs_total", counts.backoffs),
            ("carawayhub_gateway_announced_leavings_total", counts.leavings),
            ("carawayhub_gateway_backoff_rejections_total", counts.rejections),
        ):
            lines.append(f"# TYPE {name} counter")
            for service, count in sorted(by_service.items()):
                lines.append(f'{name}{{service="{service}"}} {count}')
        return lines

    def _view_lines(self) -> list[str]:
        seen = self._view_status()
        name = "carawayhub_gateway_configuration_late_milliseconds"
        return [
            "# TYPE carawayhub_gateway_configuration_version gauge",
            f"carawayhub_gateway_configuration_version {seen.version}",
            "# TYPE carawayhub_gateway_revision gauge",
            f"carawayhub_gateway_revision {seen.revision.number}",
            "# TYPE carawayhub_gateway_store_era gauge",
            f"carawayhub_gateway_store_era {seen.revision.era}",
            "# TYPE carawayhub_gateway_store_era_changes_total counter",
            f"carawayhub_gateway_store_era_changes_total {seen.era_changes}",
            "# TYPE carawayhub_gateway_store_era_rejections_total counter",
            f"carawayhub_gateway_store_era_rejections_total {seen.era_rejections}",
            "# TYPE carawayhub_gateway_view_age_seconds gauge",
            f"carawayhub_gateway_view_age_seconds {seen.age:.3f}",
            "# TYPE carawayhub_gateway_reads_for_peers gauge",
            f"carawayhub_gateway_reads_for_peers {int(seen.reads)}",
            f"# TYPE {name} summary",
            *summary_lines(name, "", self._table_delays),
            *_evacuation_lines(seen),
            *_region_lines(seen),
        ]


def _cold_lines(met: ReplicaLimits) -> list[str]:
    return [
        "# TYPE carawayhub_gateway_cold_replicas gauge",
        *(
            f'carawayhub_gateway_cold_replicas{{service="{service}"}} {count}'
            for service, count in sorted(met.cold.items())
        ),
        "# TYPE carawayhub_gateway_held_back_cold_total counter",
        f"carawayhub_gateway_held_back_cold_total {met.held_back_cold}",
    ]


def _order_lines(by_service: Mapping[str, OrderStatus]) -> list[str]:
    lines = []
    for name, kind, field_name in (
        ("carawayhub_gateway_order_waiting", "gauge", "waiting"),
        ("carawayhub_gateway_order_in_flight", "gauge", "in_flight"),
        ("carawayhub_gateway_order_held_back_total", "counter", "held_back"),
    ):
        lines.append(f"# TYPE {name} {kind}")
        for service, status in sorted(by_service.items()):
            for priority, count in sorted(getattr(status, field_name).items()):
                lines.append(f'{name}{{service="{service}",priority="{priority}"}} {count}')
    lines.append("# TYPE carawayhub_gateway_share_held_back_total counter")
    lines += [
        f'carawayhub_gateway_share_held_back_total{{service="{service}"}} {status.held_back_shares}'
        for service, status in sorted(by_service.items())
    ]
    for name, field_name in (
        ("carawayhub_gateway_organisation_share", "shares"),
        ("carawayhub_gateway_organisation_slots", "uses"),
    ):
        lines.append(f"# TYPE {name} gauge")
        for service, status in sorted(by_service.items()):
            for holder, value in sorted(getattr(status, field_name).items()):
                labels = f'service="{service}",organisation="{holder}"'
                lines.append(f"{name}{{{labels}}} {value:g}")
    return lines


def _evacuation_lines(seen: ViewStatus) -> list[str]:
    domains, rejections = (
        "carawayhub_gateway_evacuated_domains",
        "carawayhub_gateway_evacuation_rejections_total",
    )
    return [
        f"# TYPE {domains} gauge",
        *(
            f'{domains}{{domain="{_escaped(domain)}",revision="{revision.number}"}} 1'
            for domain, revision in sorted(seen.evacuated.items())
        ),
        f"# TYPE {rejections} counter",
        *(
            f'{rejections}{{service="{service}"}} {count}'
            for service, count in sorted(seen.evacuation_rejections.items())
        ),
    ]


def _locality_lines(counts: LocalityCounts) -> list[str]:
    requests, answers = (
        "carawayhub_gateway_locality_requests_total",
        "carawayhub_gateway_directory_answers_total",
    )
    return [
        f"# TYPE {requests} counter",
        *(
            f'{requests}{{service="{service}",origin="{origin}"}} {count}'
            for service, by_origin in sorted(counts.requests.items())
            for origin, count in sorted(by_origin.items())
        ),
        f"# TYPE {answers} counter",
        *(f'{answers}{{kind="{kind}"}} {count}' for kind, count in sorted(counts.answers.items())),
    ]


def _region_lines(seen: ViewStatus) -> list[str]:
    name = "carawayhub_gateway_region_rejections_total"
    return [
        f"# TYPE {name} counter",
        *(
            f'{name}{{service="{service}"}} {count}'
            for service, count in sorted(seen.region_rejections.items())
        ),
    ]


def _escaped(label: str) -> str:
    """Return the value of a label in the text format; the key of a domain may have any content."""
    return label.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
