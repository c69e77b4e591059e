"""The command that follows one request through the logs to the cause of its end."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

import msgspec

from carawayhub.codes import Code, meaning
from carawayhub.context import Environment
from carawayhub.errors import CommandError
from carawayhub.output.tables import write_table
from carawayhub.status import ExitStatus

AROUND_SECONDS = 6.0
"""Seconds around a request from which lines about its endpoints and its process are shown: the
longest time for which a belief may be out of date, and a little more."""

BELIEFS = (
    "endpoint published",
    "endpoint is gone",
    "endpoint is gone, another has its address",
    "store did not answer",
    "store is back",
    "phase changes",
    "peer went silent",
    "configuration in force",
    "stopping, out of the directories",
    "log lines dropped",
)
"""Events by which a process changes what it believes."""

_SHOWN_APART = ("time", "level", "process", "event", "request")


@dataclass(frozen=True, slots=True)
class _Line:
    """One log line.

    Attributes:
        at: Time of day in seconds; only compared with lines of the same process.
        fields: Its fields.
    """

    at: float
    fields: dict[str, Any]


def explain_request(env: Environment, request: str, files: Sequence[Path]) -> ExitStatus:
    """Write what the logs say of a request, then what its process came to believe around it."""
    lines = [line for path in files for line in _read(path)]
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        raise CommandError(Code.USAGE, f"no line of these files names request {request}")
    own.sort(key=lambda line: line.at)
    env.stdout.write(f"request {request}\n")
    _write(env, own)
    for line in own:
        _write_meaning(env, line)
    beliefs = _beliefs(lines, own)
    if beliefs:
        env.stdout.write("what its process and endpoints went through\n")
        _write(env, beliefs)
    return ExitStatus.SUCCESS


def _write(env: Environment, lines: Sequence[_Line]) -> None:
    rows = [
        (
            str(line.fields.get("time", "")),
            str(line.fields.get("process", "")),
            str(line.fields.get("event", "")),
            _details(line),
        )
        for line in lines
    ]
    write_table(env.stdout, ("when", "process", "event", "details"), rows)


def _write_meaning(env: Environment, line: _Line) -> None:
    number = line.fields.get("code")
    if not isinstance(number, int) or number == Code.OK or number not in set(Code):
        return
    found = meaning(Code(number))
    env.stdout.write(f"{number}: {found.text}; {found.action}\n")


def _details(line: _Line) -> str:
    rest = {key: value for key, value in line.fields.items() if key not in _SHOWN_APART}
    return " ".join(f"{key}={value}" for key, value in rest.items())


def _beliefs(lines: Sequence[_Line], own: Sequence[_Line]) -> list[_Line]:
    processes = {line.fields.get("process") for line in own}
    endpoints = {line.fields.get("endpoint") for line in own} - {None}
    first, last = own[0].at - AROUND_SECONDS, own[-1].at + AROUND_SECONDS
    found = [
        line
        for line in lines
        if first <= line.at <= last
        and line.fields.get("process") in processes
        and line.fields.get("event") in BELIEFS
        and line.fields.get("endpoint") in endpoints | {None}
    ]
    return sorted(found, key=lambda line: line.at)


def _read(path: Path) -> Iterator[_Line]:
    """Give the lines of a log; what is no JSON object, such as a collector's prefix, is skipped.

    Raises:
        CommandError: USAGE where the file cannot be read.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        raise CommandError(Code.USAGE, f"{path}: {exc.strerror}") from exc
    for raw in content.splitlines():
        start = raw.find(b"{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:], type=dict[str, Any])
            at = msgspec.convert(fields.get("time"), datetime)
        except (msgspec.DecodeError, msgspec.ValidationError):
            continue
        yield _Line(at.timestamp(), fields)
