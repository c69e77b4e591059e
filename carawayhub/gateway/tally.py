"""Counters and latencies of a gateway, as text for metric collectors."""

from collections import Counter
from collections.abc import Callable

from carawayhub.codes import Code
from carawayhub.output.metrics import Recorder, summary_lines


class Tally:
    """What one entry measured since it started.

    Args:
        unreadable_entries: Gives the entries of endpoints so far that could not be read.
    """

    __slots__ = ("_ended_under_requests", "_ends", "_times", "_unreadable_entries")

    def __init__(self, unreadable_entries: Callable[[], int] = lambda: 0) -> None:
        self._unreadable_entries = unreadable_entries
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
        lines.append("# TYPE carawayhub_gateway_milliseconds summary")
        for route, recorder in sorted(self._times.items()):
            labels = f'route="{route}"'
            lines += summary_lines("carawayhub_gateway_milliseconds", labels, recorder)
        return "\n".join(lines) + "\n"
