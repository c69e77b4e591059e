"""What happened around the first broken promise of a soak, in one time line.

    python -m benchmarks.soak_timeline FOLDER [--before SECONDS] [--after SECONDS]

FOLDER is the one that a failed seed names: the logs of its entries, and what the soak itself did
and found. Lines say what was published, what was disturbed, what each process came to believe, and
how the request ran that broke the promise.
"""

import argparse
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

RECORD = "soak.json"
BEFORE_SECONDS = 4.0
AFTER_SECONDS = 1.0
MOST_LINES = 400
LEFT_OUT = frozenset({"time", "level", "process", "event", "content", "organisation"})
OF_REQUESTS = frozenset(
    {"request ended", "sent to an endpoint", "attempt failed", "nothing came until the caller left"}
)


class Occurrence(msgspec.Struct):
    """Something that the soak did or found.

    Attributes:
        at: When, in seconds since 1970.
        text: What.
        request: Id of the request that it is about, empty for none.
    """

    at: float
    text: str
    request: str = ""


class Record(msgspec.Struct):
    """What a soak leaves beside the logs.

    Attributes:
        did: What it published and disturbed.
        found: Broken promises, in the order of their requests.
    """

    did: list[Occurrence]
    found: list[Occurrence]


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the time line.

    Attributes:
        at: When, in seconds since 1970.
        who: The process, or the soak.
        text: What happened.
    """

    at: float
    who: str
    text: str


def write_record(folder: Path, record: Record) -> None:
    """Leave a record in the folder of a soak."""
    (folder / RECORD).write_bytes(msgspec.json.encode(record))


def time_line(folder: Path, before: float, after: float) -> list[str]:
    """Return the time line around the first broken promise, as text.

    Raises:
        OSError, msgspec.DecodeError: The folder holds no record of a soak.
    """
    record = msgspec.json.decode((folder / RECORD).read_bytes(), type=Record)
    if not record.found:
        return ["no promise was broken"]
    first = record.found[0]
    lines = [Line(each.at, "soak", each.text) for each in (*record.did, first)]
    lines += _logged(folder, first.request)
    near = sorted(
        (each for each in lines if first.at - before <= each.at <= first.at + after),
        key=lambda each: each.at,
    )
    shown = [f"{each.at - first.at:+8.3f}  {each.who:15}  {each.text}" for each in near]
    left = len(shown) - MOST_LINES
    return shown[:MOST_LINES] + ([f"{left} lines left out"] if left > 0 else [])


def _logged(folder: Path, request: str) -> Iterator[Line]:
    for path in sorted(folder.glob("*.log")):
        for row in _rows(path.read_bytes().splitlines()):
            if row.get("event") in OF_REQUESTS and row.get("request") != request:
                continue
            at = datetime.fromisoformat(row["time"]).timestamp()
            rest = " ".join(f"{name}={row[name]}" for name in row if name not in LEFT_OUT)
            yield Line(at, row.get("process", path.stem), f"{row.get('event', '')}  {rest}")


def _rows(lines: Iterable[bytes]) -> Iterator[dict[str, Any]]:
    """Return the log lines that can be read; the last one of a killed process may be cut off."""
    for line in lines:
        try:
            row = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.DecodeError:
            continue
        if "time" in row:
            yield row


def main(argv: list[str]) -> int:
    """Print the time line of a folder."""
    parser = argparse.ArgumentParser(prog="benchmarks.soak_timeline")
    parser.add_argument("folder", type=Path)
    parser.add_argument("--before", type=float, default=BEFORE_SECONDS)
    parser.add_argument("--after", type=float, default=AFTER_SECONDS)
    options = parser.parse_args(argv)
    try:
        lines = time_line(options.folder, options.before, options.after)
    except (OSError, msgspec.DecodeError) as exc:
        print(f"{options.folder} holds no record of a soak: {exc}", file=sys.stderr)
        return 1
    print("\n".join(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
