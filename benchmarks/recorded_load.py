"""Writes a seeded trace as a recorded load: ``python -m benchmarks.recorded_load TRACE FILE``."""

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from benchmarks.popularity_traces import TRACES, Size, Trace

SEED = 20240
TOKENS = 20_000
RECORDED = Size(name="8x16", ranks=8, experts=16, spare_slots=1, layers=2, real_layers=2)


def recording(size: Size, trace: Trace, *, samples: int) -> str:
    """Return the first ``samples`` intervals of ``trace`` as a recording."""
    group = {
        "name": trace.name,
        "ranks": size.ranks,
        "experts": size.experts,
        "layers": size.layers,
        "spare_slots": size.spare_slots,
    }
    lines = [json.dumps(group)]
    counts = [[0] * size.experts for _ in range(size.layers)]
    for index, shares in enumerate(trace.shares[:samples], start=1):
        for row, layer in zip(counts, shares, strict=True):
            for expert, share in enumerate(layer):
                row[expert] += round(TOKENS * share)
        sample = {
            "at": index * trace.interval,
            "counts": counts,
            "utilisation": round(trace.utilisation[index - 1], 3),
        }
        lines.append(json.dumps(sample, separators=(",", ":")))
    return "\n".join(lines) + "\n"


def main(argv: Sequence[str] | None = None) -> int:
    """Write the file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trace", choices=[make.__name__ for make in TRACES])
    parser.add_argument("file", type=Path)
    parser.add_argument("--samples", type=int, default=360)
    args = parser.parse_args(argv)
    make = next(make for make in TRACES if make.__name__ == args.trace)
    trace = make(RECORDED, SEED)
    args.file.write_text(recording(RECORDED, trace, samples=args.samples))
    return 0


if __name__ == "__main__":
    sys.exit(main())
