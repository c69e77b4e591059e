"""The commands on configuration folders: check, show, explain and diff."""

import json
from collections.abc import Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

import msgspec

from carawayhub.codes import meaning
from carawayhub.config.check import Build, build, load
from carawayhub.config.diff import Change
from carawayhub.config.diff import diff as compare
from carawayhub.config.explain import Explanation
from carawayhub.config.explain import explain as explanations
from carawayhub.config.files import ConfigFile, digest, read_folder
from carawayhub.config.folded import folded
from carawayhub.config.model import Configuration
from carawayhub.config.problem import ConfigRefusedError, Problem
from carawayhub.context import Environment
from carawayhub.errors import ConfigError
from carawayhub.output.tables import write_table
from carawayhub.status import ExitStatus

INDENT = 2
UNPUBLISHED = 0
"""A folder has no version number until the platform publishes it."""


def check(env: Environment, folder: Path, json_output: bool = False) -> ExitStatus:
    """Check a folder as every process would; list all problems, or say what was accepted."""
    made = _build(folder)
    if json_output:
        _write_json(env, _check_result(made))
    elif made.problems:
        _write_problems(env, made.problems)
    else:
        env.stdout.write(f"{folder}: accepted, {_summary(made)}\n")
        env.stdout.write(f"digest {digest(_files(made))}\n")
    return ExitStatus.CONFIG_REFUSED if made.problems else ExitStatus.SUCCESS


def show(env: Environment, folder: Path, json_output: bool = False) -> ExitStatus:
    """Print the merged result.

    For people it is one file with the meaning of the whole folder, which can take the folder's
    place; as JSON for programs it is the typed configuration with all defaults.
    """
    made = _build(folder)
    if made.problems:
        return _refuse(env, made.problems, json_output)
    if json_output:
        held = made.configuration(UNPUBLISHED, digest(_files(made)))
        _write_json(env, msgspec.to_builtins(held))
    else:
        _write_json(env, folded(made))
    return ExitStatus.SUCCESS


def explain(env: Environment, folder: Path, key: str, json_output: bool = False) -> ExitStatus:
    """Print which file set a key, at which line, and which earlier ones it overrode."""
    try:
        found = explanations(read_folder(folder), key)
    except ConfigRefusedError as exc:
        return _refuse(env, exc.problems, json_output)
    except ConfigError as exc:
        env.stderr.write(f"{exc}\n")
        return ExitStatus.USAGE
    if json_output:
        _write_json(env, [asdict(each) for each in found])
        return ExitStatus.SUCCESS
    for each in found:
        _write_explanation(env, each)
    return ExitStatus.SUCCESS


def diff(env: Environment, before: Path, after: Path, json_output: bool = False) -> ExitStatus:
    """Print what the step from one folder to another changes for callers and endpoints."""
    try:
        changes = compare(_load(before), _load(after))
    except ConfigRefusedError as exc:
        return _refuse(env, exc.problems, json_output)
    if json_output:
        _write_json(env, msgspec.to_builtins(changes))
    elif not changes:
        env.stdout.write("nothing changes\n")
    else:
        _write_changes(env, changes)
    return ExitStatus.SUCCESS


def _build(folder: Path) -> Build:
    try:
        files = read_folder(folder)
    except ConfigRefusedError as exc:
        made = build(())
        return Build(made.outlines, made.scene, exc.problems)
    return build(files)


def _load(folder: Path) -> Configuration:
    return load(read_folder(folder), UNPUBLISHED)


def _files(made: Build) -> tuple[ConfigFile, ...]:
    return tuple(held.file for held in made.outlines.values())


def _summary(made: Build) -> str:
    counts = [f"{len(made.outlines)} files"]
    counts += [
        f"{len(held)} {section.value}"
        for section, held in made.scene.entities.items()
        if section.value != "fleet"
    ]
    return ", ".join(counts)


def _refuse(env: Environment, problems: tuple[Problem, ...], json_output: bool) -> ExitStatus:
    if json_output:
        _write_json(env, {"accepted": False, "problems": _problem_rows(problems)})
    else:
        _write_problems(env, problems)
    return ExitStatus.CONFIG_REFUSED


def _check_result(made: Build) -> dict[str, object]:
    if made.problems:
        return {"accepted": False, "problems": _problem_rows(made.problems)}
    return {"accepted": True, "digest": digest(_files(made)), "problems": []}


def _problem_rows(problems: Iterable[Problem]) -> list[dict[str, Any]]:
    return [
        {
            "file": each.file,
            "line": each.line,
            "key": each.key,
            "code": int(each.code),
            "name": each.code.name,
            "detail": each.detail,
            "action": meaning(each.code).action,
        }
        for each in problems
    ]


def _write_problems(env: Environment, problems: tuple[Problem, ...]) -> None:
    for problem in problems:
        env.stderr.write(f"{problem}\n")
    what = "1 problem" if len(problems) == 1 else f"{len(problems)} problems"
    env.stderr.write(f"refused: {what}; what is in force stays in force\n")


def _write_explanation(env: Environment, explanation: Explanation) -> None:
    env.stdout.write(f"{explanation.key} {_in_force(explanation)}\n")
    last = len(explanation.settings) - 1
    for place in range(last, -1, -1):
        setting = explanation.settings[place]
        given = json.dumps(setting.value, ensure_ascii=False)
        told = f"set to {given}" if setting.value is not None else "removed"
        mark = "" if place == last else ", overridden"
        env.stdout.write(f"  {setting.file}:{setting.line}  {told}{mark}\n")


def _in_force(explanation: Explanation) -> str:
    if explanation.value is None:
        return "is not set"
    value = json.dumps(explanation.value, ensure_ascii=False)
    return f"= {value} (default)" if explanation.is_default else f"= {value}"


def _write_changes(env: Environment, changes: tuple[Change, ...]) -> None:
    rows = [(each.effect.value, each.name or "-", each.text) for each in changes]
    write_table(env.stdout, ("concerns", "name", "what changes"), rows)
    for each in changes:
        if each.risk:
            name = f"{each.effect.value} {each.name}".strip()
            env.stdout.write(f"risk: {name} {each.text}: {each.risk}\n")


def _write_json(env: Environment, value: object) -> None:
    json.dump(value, env.stdout, indent=INDENT, ensure_ascii=False)
    env.stdout.write("\n")
