"""What a configuration costs a process at the planned size: the first load and one small step.

Run ``python -m benchmarks.configuration [--json]``. The size is 5,400 endpoints in groups of eight,
19 models, 380 organisations and 780 entries, plus a few hundred earlier steps.
"""

import gc
import json
import sys
import time
import tracemalloc
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from statistics import median, quantiles

from carawayhub.config.check import build
from carawayhub.config.files import ConfigFile
from carawayhub.config.syntax import outline
from carawayhub.config.version import Accepted, HighWater

SEED = 20270110
ENDPOINTS = 5_400
ENTRIES = 780
ORGANISATIONS = 380
MODELS = 19
GROUP_SIZE = 8
DOMAINS = 16
PER_FILE = 1_000
EARLIER_STEPS = 300
MANY_STEPS = 3_000
STEPS = 200
STEP_INTERVAL = 3.2
PERCENT = 100
MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure.

    Attributes:
        name: What was measured.
        value: The figure.
        unit: Its unit.
    """

    name: str
    value: float
    unit: str


def main(argv: list[str]) -> int:
    """Print the figures as a table, or as JSON with ``--json``."""
    rows = run()
    if "--json" in argv:
        print(json.dumps([asdict(row) for row in rows]))
        return 0
    for row in rows:
        print(f"{row.name:<58} {row.value:>12.3f} {row.unit}")
    return 0


def run(steps: int = STEPS) -> list[Row]:
    """Measure and return all figures."""
    files = full_size_files()
    rows = [Row("files", len(files), ""), Row("bytes of all files", _size(files), "bytes")]
    held = HighWater()
    gc.collect()
    before = _status("VmRSS")
    rows.append(Row("first load, processor time", _offer(held, 1, files) * 1000, "ms"))
    gc.collect()
    rows.append(Row("first load, resident memory gained", _status("VmRSS") - before, "MB"))
    rows.append(Row("first load, peak above what was before", _status("VmHWM") - before, "MB"))
    rows += _step_rows(held, files, steps)
    return [*rows, *_many_rows(steps), *_parse_rows(), *_memory_rows(files)]


def full_size_files(earlier_steps: int = EARLIER_STEPS) -> tuple[ConfigFile, ...]:
    """Return a folder at the planned size, with a few hundred earlier steps in it."""
    names = [f"ep-{number:04d}" for number in range(ENDPOINTS)]
    endpoints = {name: _endpoint(number) for number, name in enumerate(names)}
    files = [_file("00-fleet", {"fleet": {"answer_size": 3}, "entries": _entries()})]
    files.append(_file("01-organisations", {"organisations": _organisations()}))
    for place in range(0, ENDPOINTS, PER_FILE):
        part = {name: endpoints[name] for name in names[place : place + PER_FILE]}
        files.append(_file(f"02-endpoints-{place:04d}", {"endpoints": part}))
    files.append(_file("03-groups", {"groups": _groups(names)}))
    shares = {f"model-{number}": {"old": 60, "new": 40} for number in range(MODELS)}
    files.append(_file("04-shares", {"shares": shares}))
    rng = Random(SEED)
    files += [_step_file(number, rng) for number in range(earlier_steps)]
    return tuple(files)


def _parse_rows() -> list[Row]:
    whole = {f"ep-{number}": _endpoint(number) for number in range(ENDPOINTS)}
    names = list(whole)
    content = json.dumps({"endpoints": whole}, indent=1).encode()
    while len(content) > MEGABYTE:
        names = names[: int(len(names) * 0.99)]
        content = json.dumps({"endpoints": {n: whole[n] for n in names}}, indent=1).encode()
    file = ConfigFile("big.json", content)
    begin = time.process_time()
    held = outline(file)
    seconds = time.process_time() - begin
    if held.problems:
        raise RuntimeError(str(held.problems[0]))
    return [Row(f"outline of one file of {len(content)} bytes", seconds * 1000, "ms")]


def _memory_rows(files: tuple[ConfigFile, ...]) -> list[Row]:
    gc.collect()
    tracemalloc.start()
    made = build(files)
    gc.collect()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    if made.problems:
        raise RuntimeError(str(made.problems[0]))
    return [
        Row("kept in memory by the build, files apart", kept / MEGABYTE, "MB"),
        Row("peak of Python memory while building", peak / MEGABYTE, "MB"),
    ]


def _step_rows(held: HighWater, files: tuple[ConfigFile, ...], steps: int) -> list[Row]:
    rng = Random(SEED + 1)
    fresh: list[float] = []
    changed: list[float] = []
    for number in range(steps):
        name = EARLIER_STEPS + number
        files = (*files[1:], _step_file(name, rng), files[0])
        fresh.append(_offer(held, number + 2, files))
    for number in range(steps):
        files = (*files[:-1], ConfigFile(files[-1].name, files[-1].content + b"\n"))
        changed.append(_offer(held, steps + number + 2, files))
    return [
        *_spread("one new step file", fresh),
        *_spread("one file of the base rewritten, same objects", changed),
        Row(
            f"share of a core at one step each {STEP_INTERVAL} s",
            median(fresh) / STEP_INTERVAL * PERCENT,
            "%",
        ),
    ]


def _many_rows(steps: int) -> list[Row]:
    rng = Random(SEED + 2)
    files = full_size_files(MANY_STEPS)
    held = HighWater()
    _offer(held, 1, files)
    spent: list[float] = []
    for number in range(steps):
        files = (*files, _step_file(MANY_STEPS + number, rng))
        spent.append(_offer(held, number + 2, files))
    return _spread(f"one new step file after {MANY_STEPS} others", spent)


def _spread(name: str, seconds: list[float]) -> list[Row]:
    cuts = quantiles(seconds, n=100)
    return [
        Row(f"{name}, median processor time", median(seconds) * 1000, "ms"),
        Row(f"{name}, 99th percentile", cuts[98] * 1000, "ms"),
    ]


def _offer(held: HighWater, version: int, files: tuple[ConfigFile, ...]) -> float:
    begin = time.process_time()
    verdict = held.offer(version, files)
    spent = time.process_time() - begin
    if not isinstance(verdict, Accepted):
        raise RuntimeError(f"the version was not accepted: {verdict}")
    return spent


def _size(files: tuple[ConfigFile, ...]) -> int:
    return sum(len(file.content) for file in files)


def _status(field: str) -> float:
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith(f"{field}:"):
            return int(line.split()[1]) * 1024 / MEGABYTE
    return 0.0


def _step_file(number: int, rng: Random) -> ConfigFile:
    name = f"ep-{rng.randrange(ENDPOINTS):04d}"
    old = rng.randrange(101)
    change = {
        "endpoints": {name: {"capacity": rng.randrange(16, 128)}},
        "shares": {f"model-{rng.randrange(MODELS)}": {"old": old, "new": 100 - old}},
    }
    return _file(f"10-step-{number:05d}", change)


def _file(name: str, content: object) -> ConfigFile:
    return ConfigFile(f"{name}.json", json.dumps(content, indent=1).encode())


def _domain(number: int) -> dict[str, str]:
    domain = number % DOMAINS
    return {"failure_domain": f"domain-{domain}", "region": f"region-{domain % 5}"}


def _entries() -> dict[str, object]:
    return {
        f"entry-{number:03d}": {
            "address": f"10.1.{number // 250}.{number % 250 + 1}:8080",
            "peer_address": f"10.1.{number // 250}.{number % 250 + 1}:7000",
            **_domain(number),
        }
        for number in range(ENTRIES)
    }


def _endpoint(number: int) -> dict[str, object]:
    host = f"10.2.{number // 250}.{number % 250 + 1}"
    return {
        "vm": f"vm-{number:04d}",
        "url": f"http://{host}:8000",
        "agent": f"{host}:7000",
        **_domain(number),
        "provider": "old" if (number // GROUP_SIZE // MODELS) % 2 else "new",
        "capacity": 64,
        "resumes": True,
    }


def _organisations() -> dict[str, object]:
    return {
        f"organisation-{number:03d}": {
            "keys": [f"sha256:{number:064x}"],
            "priority": number % 10,
            "limits": {"rate_per_s": 200, "burst": 400, "concurrency": 300},
        }
        for number in range(ORGANISATIONS)
    }


def _groups(names: list[str]) -> dict[str, object]:
    return {
        f"group-{place // GROUP_SIZE:04d}": {
            "model": f"model-{place // GROUP_SIZE % MODELS}",
            "endpoints": names[place : place + GROUP_SIZE],
            "ranks": 64,
            "experts": 64,
            "layers": 48,
            "spare_slots": 1,
        }
        for place in range(0, ENDPOINTS, GROUP_SIZE)
    }


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
