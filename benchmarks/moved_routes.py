"""Whether requests ran by a configuration that still held, judged by what ran where and when."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

CONFIG_APPLY = 2.0
"""Seconds after which a configuration must be in force everywhere."""

IN_TOUCH = 3.0
"""Seconds without a disturbance after which that holds for an entry."""

SETTLED = 0.25
"""Seconds after which a process must not go back to a configuration older than one it has shown."""


@dataclass(slots=True)
class Probe:
    """A request to one entry.

    Attributes:
        entry: The entry.
        process: Its process.
        sent_at: When it was sent.
        ended_at: When its answer was there; what was published later cannot have routed it.
        service: Number of the service that ran it, -1 for none.
    """

    entry: str
    process: int
    sent_at: float
    ended_at: float
    service: int = -1


@dataclass(frozen=True, slots=True)
class Published:
    """A configuration, which sends the probes' route to one service.

    Attributes:
        service: Number of the service.
        acked_at: When it was acknowledged.
    """

    service: int
    acked_at: float


@dataclass(frozen=True, slots=True)
class Broken:
    """A broken promise.

    Attributes:
        probe: The request that showed it.
        text: What was promised and what was seen.
    """

    probe: Probe
    text: str


@dataclass(slots=True)
class Disturbance:
    """A time in which something happens to an entry or its links.

    Attributes:
        entry: The entry.
        began_at: When it began.
        ended_at: When it ended.
    """

    entry: str
    began_at: float
    ended_at: float


def late(
    probes: Iterable[Probe],
    published: Sequence[Published],
    disturbed: Sequence[Disturbance],
) -> list[Broken]:
    """Return the probes of undisturbed entries that only a configuration of the past sent there."""
    problems = []
    for each in probes:
        if each.service < 0 or not in_touch(each, disturbed):
            continue
        known = [one for one in published if one.acked_at <= each.ended_at]
        due = [
            at for at, one in enumerate(published) if one.acked_at <= each.sent_at - CONFIG_APPLY
        ]
        oldest = due[-1] if due else 0
        if each.service not in {one.service for one in known[oldest:]}:
            since = each.sent_at - published[oldest].acked_at
            problems.append(
                Broken(
                    each,
                    f"{each.entry} at {each.sent_at:.3f}: ran by s{each.service}, though "
                    f"configuration {oldest} (s{published[oldest].service}) had been acknowledged "
                    f"for {since:.2f} s",
                )
            )
    return problems


def going_back(probes: Iterable[Probe], published: Sequence[Published]) -> list[Broken]:
    """Return the probes that ran by an older configuration than their process had shown before.

    A service serves every few configurations, so of those that may have sent a probe to it the
    oldest is taken that is not older than what the process had shown.
    """
    problems = []
    shown: dict[int, tuple[int, float]] = {}
    for each in sorted(probes, key=lambda probe: probe.sent_at):
        if each.service < 0:
            continue
        least, shown_at = shown.get(each.process, (0, float("-inf")))
        if each.sent_at <= shown_at + SETTLED:
            continue
        fitting = [
            at
            for at, one in enumerate(published)
            if at >= least and one.service == each.service and one.acked_at <= each.ended_at
        ]
        if not fitting:
            text = f"{each.entry} at {each.sent_at:.3f}: went back to s{each.service}"
            problems.append(Broken(each, text))
            continue
        if fitting[0] > least:
            shown[each.process] = (fitting[0], each.sent_at)
    return problems


def in_touch(probe: Probe, disturbed: Sequence[Disturbance]) -> bool:
    """Return whether bounds in time hold for an entry as a probe is sent to it."""
    return not any(
        each.entry == probe.entry
        and each.began_at <= probe.sent_at
        and probe.sent_at < each.ended_at + IN_TOUCH
        for each in disturbed
    )
