"""Reads a trace and names file, line, key and code of what is wrong with it."""

import re
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

from carawayhub.codes import Code
from carawayhub.config.files import ConfigFile
from carawayhub.config.problem import ConfigRefusedError, Problem
from carawayhub.config.spelling import hint
from carawayhub.config.syntax import Array, Node, Object, Scalar, read_object
from carawayhub.replay.references import Reference, references
from carawayhub.replay.trace import Trace

_PATH = re.compile(r" - at `\$(?P<path>[^`]*)`$")
_STEP = re.compile(r"\.([^.\[\]]+)|\[(\d+|\.\.\.)\]")
_CODES = (
    ("unknown field", Code.CONFIG_UNKNOWN_KEY),
    ("missing required field", Code.CONFIG_MISSING_KEY),
    ("Expected", Code.CONFIG_WRONG_TYPE),
)
_UNKNOWN = re.compile(r"unknown field `([^`]+)`")

Step = str | int


def read_trace(path: Path) -> Trace:
    """Return the trace in a file.

    Raises:
        ConfigRefusedError: It is no trace; each problem has file, line, key and code.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        detail = exc.strerror or str(exc)
        problem = Problem(str(path), 0, "", Code.CONFIG_FILE_UNREADABLE, detail)
        raise ConfigRefusedError((problem,)) from exc
    return parse_trace(content, str(path))


def parse_trace(content: bytes, name: str) -> Trace:
    """Return the trace in the bytes of a file called ``name``; see ``read_trace``."""
    problems: list[Problem] = []
    root = read_object(ConfigFile(name, content), problems)
    if root is None or problems:
        raise ConfigRefusedError(tuple(problems))
    try:
        trace = msgspec.convert(_plain(root), type=Trace)
    except msgspec.ValidationError as exc:
        raise ConfigRefusedError((_explain(str(exc), root, name),)) from exc
    problems = [_dangling(each, root, name) for each in references(trace) if not each.holds]
    if problems:
        raise ConfigRefusedError(tuple(sorted(problems)))
    return trace


def _plain(node: Node) -> Any:
    match node:
        case Scalar(value=value):
            return value
        case Array(items=items):
            return [_plain(item) for item in items]
        case Object(members=members):
            return {name: _plain(member) for name, member in members.items()}


def _explain(text: str, root: Object, name: str) -> Problem:
    """Turn what the decoder says into a problem with its line."""
    found = _PATH.search(text)
    steps = _steps(found["path"]) if found else []
    detail = text[: found.start()] if found else text
    unknown = _UNKNOWN.search(detail)
    if unknown:
        steps.append(unknown[1])
    code = next((code for mark, code in _CODES if mark in detail), Code.CONFIG_VALUE_OUT_OF_RANGE)
    return Problem(name, _line(root, steps), _key(steps), code, detail)


def _dangling(reference: Reference, root: Object, name: str) -> Problem:
    steps = list(reference.steps)
    if reference.known is None:
        code, detail = Code.CONFIG_VALUE_OUT_OF_RANGE, reference.detail
    else:
        code = Code.CONFIG_DANGLING_REFERENCE
        detail = f"no {reference.detail} {hint(reference.name, reference.known)}"
    return Problem(name, _line(root, steps), _key(steps), code, detail)


def _steps(path: str) -> list[Step]:
    steps: list[Step] = []
    for member, place in _STEP.findall(path):
        if place == "...":
            # The decoder does not say which key of a mapping it means: name the mapping.
            break
        steps.append(member or int(place))
    return steps


def _line(root: Object, steps: Iterable[Step]) -> int:
    """Return the line of the innermost value on the path that stands in the file."""
    node: Node = root
    for step in steps:
        match node, step:
            case Object(members=members), str() if step in members:
                node = members[step]
            case Array(items=items), int() if step < len(items):
                node = items[step]
            case _:
                break
    return node.line


def _key(steps: Iterable[Step]) -> str:
    text = "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in steps)
    return text.removeprefix(".")
