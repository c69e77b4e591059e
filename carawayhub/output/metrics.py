"""Latency histograms and counters of one process, for operators.

Latencies are kept in ``hdrhistogram`` histograms in milliseconds with two significant digits. There
is a set for each organisation and one for each model or service, not for each pair: at 380
organisations and 19 models the pairs would need more memory than a process may use.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 2
MAX_PENDING_VALUES = 256
PERCENTILES = (50.0, 95.0, 99.0)
MS = 1000.0


class Latency(Enum):
    """Latencies measured for a request, in chronological order."""

    QUEUE = "queue"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    WHOLE = "whole"


class Dimension(Enum):
    """Dimension by which latencies are grouped."""

    ORGANISATION = "organisation"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class Series:
    """Key of a histogram."""

    dimension: Dimension
    name: str
    latency: Latency


class LatencyRow(msgspec.Struct, kw_only=True):
    """Summary of one histogram; times are in milliseconds."""

    dimension: str
    name: str
    latency: str
    count: int
    p50: float
    p95: float
    p99: float
    max: float


class CountRow(msgspec.Struct, kw_only=True):
    """Number of an organisation's requests that ended with a code.

    The name is empty for requests that ended before their key was known.
    """

    organisation: str
    code: int
    count: int


class MetricsPage(msgspec.Struct, kw_only=True):
    """All metrics of a process since it started."""

    latencies: list[LatencyRow]
    requests: list[CountRow]
    tokens: int
    cut_by_ends: dict[str, int] = {}


class Recorder:
    """Records the measurements of one series; cheap enough for one measurement per token.

    Values are rounded to milliseconds and counted in a dictionary, at 0.1 us each, because
    ``hdrhistogram`` is written in Python and takes 1.2 us for each value. The counts are moved to
    the histogram when it is read or when there are too many different values.
    """

    __slots__ = ("_counts", "_histogram")

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}
        self._histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add one measurement."""
        counts = self._counts
        ms = int(seconds * MS + 0.5)
        counts[ms] = counts.get(ms, 0) + 1
        if len(counts) > MAX_PENDING_VALUES:
            self._flush_pending()

    def histogram(self) -> HdrHistogram:
        """Return the histogram of all measurements."""
        self._flush_pending()
        return self._histogram

    def _flush_pending(self) -> None:
        for ms, count in self._counts.items():
            self._histogram.record_value(max(LOWEST_MS, min(HIGHEST_MS, ms)), count)
        self._counts.clear()


class Metrics:
    """Collects the metrics of the process."""

    __slots__ = ("_codes", "_ended", "_recorders", "tokens")

    def __init__(self) -> None:
        self._recorders: dict[Series, Recorder] = {}
        self._codes: Counter[tuple[str, int]] = Counter()
        self._ended: Counter[str] = Counter()
        self.tokens = 0

    def latency(self, latency: Latency, seconds: float, organisation: str, target: str) -> None:
        """Add one measurement to the organisation's and the target's histogram."""
        self._recorder(Series(Dimension.ORGANISATION, organisation, latency)).record(seconds)
        self.target_recorder(latency, target).record(seconds)

    def target_recorder(self, latency: Latency, target: str) -> Recorder:
        """Return the recorder of the target's histogram, which the caller may keep and reuse."""
        return self._recorder(Series(Dimension.TARGET, target, latency))

    def ended(self, organisation: str, code: int) -> None:
        """Count a request that ended with ``code``."""
        self._codes[(organisation, code)] += 1

    def endpoint_ended(self, target: str) -> None:
        """Count a request whose endpoint ended while processing it."""
        self._ended[target] += 1

    def page(self) -> MetricsPage:
        """Return a summary of all metrics."""
        rows = [_row(series, each.histogram()) for series, each in self._recorders.items()]
        counts = [
            CountRow(organisation=organisation, code=code, count=count)
            for (organisation, code), count in sorted(self._codes.items())
        ]
        return MetricsPage(
            latencies=rows, requests=counts, tokens=self.tokens, cut_by_ends=dict(self._ended)
        )

    def _recorder(self, series: Series) -> Recorder:
        recorder = self._recorders.get(series)
        if recorder is None:
            recorder = self._recorders[series] = Recorder()
        return recorder


def _row(series: Series, histogram: HdrHistogram) -> LatencyRow:
    p50, p95, p99 = (histogram.get_value_at_percentile(each) for each in PERCENTILES)
    return LatencyRow(
        dimension=series.dimension.value,
        name=series.name,
        latency=series.latency.value,
        count=histogram.get_total_count(),
        p50=p50,
        p95=p95,
        p99=p99,
        max=histogram.get_max_value(),
    )


def as_text(page: MetricsPage) -> str:
    """Return the page in the text format that metric collectors read."""
    lines = ["# TYPE carawayhub_latency_milliseconds summary"]
    for row in page.latencies:
        labels = f'{row.dimension}="{_escape_label(row.name)}",latency="{row.latency}"'
        for quantile, value in (("0.5", row.p50), ("0.95", row.p95), ("0.99", row.p99)):
            lines.append(
                f'carawayhub_latency_milliseconds{{{labels},quantile="{quantile}"}} {value}'
            )
        lines.append(f"carawayhub_latency_milliseconds_count{{{labels}}} {row.count}")
    lines.append("# TYPE carawayhub_requests_total counter")
    for count in page.requests:
        labels = f'organisation="{_escape_label(count.organisation)}",code="{count.code}"'
        lines.append(f"carawayhub_requests_total{{{labels}}} {count.count}")
    lines.append("# TYPE carawayhub_cut_by_endpoint_ends_total counter")
    for target, cut in sorted(page.cut_by_ends.items()):
        labels = f'target="{_escape_label(target)}"'
        lines.append(f"carawayhub_cut_by_endpoint_ends_total{{{labels}}} {cut}")
    lines.append("# TYPE carawayhub_tokens_total counter")
    lines.append(f"carawayhub_tokens_total {page.tokens}")
    return "\n".join(lines) + "\n"


def counter_lines(metric: str, label: str, counts: Mapping[str, int]) -> list[str]:
    """Return a counter with one label in the text format.

    Args:
        metric: Name of the metric.
        label: Name of the label.
        counts: The counts by value of the label.
    """
    lines = [f"# TYPE {metric} counter"]
    for name, count in sorted(counts.items()):
        lines.append(f'{metric}{{{label}="{_escape_label(name)}"}} {count}')
    return lines


def summary_lines(metric: str, labels: str, recorder: Recorder) -> list[str]:
    """Return the quantiles and the count of one histogram in the text format.

    Args:
        metric: Name of the metric.
        labels: Formatted labels; empty for none.
        recorder: Recorder of the histogram.
    """
    histogram = recorder.histogram()
    comma = "," if labels else ""
    lines = [
        f'{metric}{{{labels}{comma}quantile="{each / 100:g}"}} '
        f"{histogram.get_value_at_percentile(each)}"
        for each in PERCENTILES
    ]
    braces = f"{{{labels}}}" if labels else ""
    return [*lines, f"{metric}_count{braces} {histogram.get_total_count()}"]


def _escape_label(name: str) -> str:
    """Escape a name for use as a label value."""
    return name.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
