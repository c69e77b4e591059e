"""Counters and latencies of a gateway, as text for metric collectors."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from carawayhub.codes import Code
from carawayhub.output.metrics import Recorder, summary_lines


@dataclass(frozen=True, slots=True)
class LimitsMet:
    """Limits that replicas name, and what they cost.

    Attributes:
        limits: Requests a second by the key of the replica.
        held_back: Times that a request did not go to a replica because of its limit.
    """

    limits: Mapping[int, float] = field(default_factory=dict)
    held_back: int = 0


class Tally:
    """What one entry measured since it started.

    Args:
        unreadable_entries: Gives the entries of endpoints so far that could not be read.
        limits_met: Gives the limits of replicas.
    """

    __slots__ = ("_ended_under_requests", "_ends", "_limits_met", "_times", "_unreadable_entries")

    def __init__(
        self,
        unreadable_entries: Callable[[], int] = lambda: 0,
        limits_met: Callable[[], LimitsMet] = LimitsMet,
    ) -> None:
        self._unreadable_entries = unreadable_entries
        self._limits_met = limits_met
        self._ends: Counter[tuple[str, str, Code, int]] = Counter()
        self._times: dict[str, Recorder] = {}
        self._ended_under_requests: Counter[str] = Counter()

    def ended(self, route: str, organisation: str, code: Code, status: int, seconds: float) -> None:
        """Count the end of a request."""
        self._ends[(route, organisation, code, status)] += 1
        recorder = self._times.get(route)
        if recorder is None:
            recorder = self._times[route] = Recorder()
        recorder.record(seconds)

    def endpoint_ended(self, service: str) -> None:
        """Count a request whose endpoint ended while it worked on it."""
        self._ended_under_requests[service] += 1

    def page(self) -> str:
        """Return all counters and latencies."""
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
        met = self._limits_met()
        lines.append("# TYPE carawayhub_gateway_replica_limit gauge")
        for key, per_second in sorted(met.limits.items()):
            lines.append(f'carawayhub_gateway_replica_limit{{replica="{key}"}} {per_second}')
        lines.append("# TYPE carawayhub_gateway_held_back_total counter")
        lines.append(f"carawayhub_gateway_held_back_total {met.held_back}")
        lines.append("# TYPE carawayhub_gateway_milliseconds summary")
        for route, recorder in sorted(self._times.items()):
            labels = f'route="{route}"'
            lines += summary_lines("carawayhub_gateway_milliseconds", labels, recorder)
        return "\n".join(lines) + "\n"
