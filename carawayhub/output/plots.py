"""SVG plots: a line chart above a bar chart, with a shared time axis."""

from collections.abc import Sequence
from dataclasses import dataclass
from xml.sax.saxutils import escape

WIDTH = 860
LEFT, RIGHT = 64, 16
LINES_TOP, LINES_HEIGHT = 48, 200
BARS_TOP, BARS_HEIGHT = 284, 90
HEIGHT = 428
TICKS = 5
COLOURS = ("#0b6fa4", "#b5531c", "#4f7d2f")


@dataclass(frozen=True, slots=True)
class Line:
    """A named series of values, one for each time."""

    name: str
    values: Sequence[float]


@dataclass(frozen=True, slots=True, kw_only=True)
class Plot:
    """Contents of a plot.

    Attributes:
        title: Title shown above the plot.
        times: Times in seconds, ascending.
        lines: Series of the upper panel.
        lines_label: Axis label of the upper panel.
        bars: Height of the bar at each time; 0 for none.
        bars_label: Axis label of the lower panel.
    """

    title: str
    times: Sequence[float]
    lines: Sequence[Line]
    lines_label: str
    bars: Sequence[float]
    bars_label: str


@dataclass(frozen=True, slots=True)
class _Scale:
    low: float
    high: float
    start: float
    end: float

    def at(self, value: float) -> float:
        """Return the coordinate of ``value``."""
        part = (value - self.low) / (self.high - self.low) if self.high > self.low else 0.0
        return self.start + part * (self.end - self.start)

    def ticks(self) -> list[float]:
        """Return evenly spaced values from low to high."""
        step = (self.high - self.low) / (TICKS - 1)
        return [self.low + index * step for index in range(TICKS)]


def draw(plot: Plot) -> str:
    """Return ``plot`` as an SVG document.

    Raises:
        ValueError: If the plot has no times, or the length of a series differs from theirs.
    """
    series = [*(line.values for line in plot.lines), plot.bars]
    if not plot.times or any(len(values) != len(plot.times) for values in series):
        raise ValueError("every series of a plot needs one value for each of its times")
    x_scale = _Scale(plot.times[0], plot.times[-1], LEFT, WIDTH - RIGHT)
    values = [value for line in plot.lines for value in line.values]
    upper = _Scale(min(values), max(values), LINES_TOP + LINES_HEIGHT, LINES_TOP)
    lower = _Scale(0.0, max(plot.bars) or 1.0, BARS_TOP + BARS_HEIGHT, BARS_TOP)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}"'
        ' font-family="sans-serif" font-size="12">',
        f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
        _text(LEFT, 20, plot.title, size=15),
        *_axis(upper, plot.lines_label),
        *_axis(lower, plot.bars_label),
        *_time_axis(x_scale),
        *(_polyline(plot.times, line, x_scale, upper, n) for n, line in enumerate(plot.lines)),
        *_legend(plot.lines),
        *_bars(plot, x_scale, lower),
        "</svg>",
    ]
    return "\n".join(parts) + "\n"


def _axis(scale: _Scale, label: str) -> list[str]:
    parts = [_text(LEFT, scale.end - 6, label)]
    for value in scale.ticks():
        y = scale.at(value)
        parts.append(
            f'<line x1="{LEFT}" x2="{WIDTH - RIGHT}" y1="{y:.1f}" y2="{y:.1f}" stroke="#ddd"/>'
        )
        parts.append(_text(LEFT - 6, y + 4, f"{value:.3g}", anchor="end"))
    return parts


def _time_axis(x_scale: _Scale) -> list[str]:
    y = BARS_TOP + BARS_HEIGHT + 18
    unit, name = (3600.0, "hours") if x_scale.high - x_scale.low > 7200 else (60.0, "minutes")
    marks = [
        _text(x_scale.at(value), y, f"{(value - x_scale.low) / unit:.3g}", anchor="middle")
        for value in x_scale.ticks()
    ]
    return [*marks, _text((LEFT + WIDTH) / 2, y + 18, f"{name} since the start", anchor="middle")]


def _polyline(
    times: Sequence[float], line: Line, x_scale: _Scale, scale: _Scale, number: int
) -> str:
    points = " ".join(
        f"{x_scale.at(time):.1f},{scale.at(value):.1f}"
        for time, value in zip(times, line.values, strict=True)
    )
    colour = COLOURS[number % len(COLOURS)]
    return f'<polyline fill="none" stroke="{colour}" stroke-width="1.5" points="{points}"/>'


def _legend(lines: Sequence[Line]) -> list[str]:
    parts = []
    for number, line in enumerate(lines):
        colour = COLOURS[number % len(COLOURS)]
        x = WIDTH - RIGHT - 170 * (len(lines) - number)
        parts.append(f'<rect x="{x}" y="28" width="14" height="4" fill="{colour}"/>')
        parts.append(_text(x + 20, 34, line.name))
    return parts


def _bars(plot: Plot, x_scale: _Scale, scale: _Scale) -> list[str]:
    floor = scale.at(0.0)
    return [
        f'<rect x="{x_scale.at(time) - 1:.1f}" y="{scale.at(value):.1f}" width="2"'
        f' height="{floor - scale.at(value):.1f}" fill="{COLOURS[0]}"/>'
        for time, value in zip(plot.times, plot.bars, strict=True)
        if value > 0
    ]


def _text(x: float, y: float, text: str, *, anchor: str = "start", size: int = 12) -> str:
    return (
        f'<text x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" font-size="{size}"'
        f' fill="#222">{escape(text)}</text>'
    )
