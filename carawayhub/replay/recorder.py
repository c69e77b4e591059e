"""Writes a trace whose arrivals are those of a run."""

import json
from typing import Any

import msgspec

from carawayhub.replay.arrivals import recorded
from carawayhub.replay.player import Played
from carawayhub.replay.trace import Arrival

HEAD = """\
// Recorded by `carawayhub replay --record` from {source}: the arrivals are those of that run.
"""
ARRIVALS_HEAD = "// at (s), organisation, ask, tokens, once, failure domain"


def write_trace(played: Played, source: str) -> str:
    """Return the text of the trace that was played, with its arrivals as they came.

    Args:
        played: The run.
        source: Name of the trace that it began with.
    """
    arrivals = recorded(played.calls, played.began)
    body: dict[str, Any] = msgspec.to_builtins(played.trace)
    for key in ("arrivals", "load"):
        body.pop(key, None)
    parts = [f"  {json.dumps(key)}: {_indented(value)}" for key, value in body.items()]
    rows = ",\n".join(f"    {_row(arrival)}" for arrival in arrivals)
    parts.append(f'  "arrivals": [\n    {ARRIVALS_HEAD}\n{rows}\n  ]')
    return HEAD.format(source=source) + "{\n" + ",\n".join(parts) + "\n}\n"


def _indented(value: object) -> str:
    """Return a list with one item a line, anything else on one line."""
    if not isinstance(value, list | tuple):
        return json.dumps(value, ensure_ascii=False)
    rows = ",\n".join(f"    {json.dumps(item, ensure_ascii=False)}" for item in value)
    return f"[\n{rows}\n  ]"


def _row(arrival: Arrival) -> str:
    return json.dumps(msgspec.to_builtins(arrival))
