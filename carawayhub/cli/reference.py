"""The command that lists the numbered result codes."""

import msgspec

from carawayhub.codes import Code, meaning
from carawayhub.context import Environment
from carawayhub.output.tables import write_table
from carawayhub.status import ExitStatus


class CodeRow(msgspec.Struct):
    """One result code."""

    code: int
    name: str
    outcome: str
    http_status: int
    text: str
    action: str


def rows() -> list[CodeRow]:
    """Return all result codes in the order of their numbers."""
    found = []
    for code in sorted(Code):
        known = meaning(code)
        found.append(
            CodeRow(
                int(code), code.name, known.outcome.value, known.status, known.text, known.action
            )
        )
    return found


def markdown() -> str:
    """Return all result codes as the table of ``docs/codes.md``."""
    lines = [
        "| code | name | outcome | HTTP | what happened | what to do |",
        "|---|---|---|---|---|---|",
    ]
    for row in rows():
        status = row.http_status or ""
        lines.append(
            f"| {row.code} | `{row.name}` | {row.outcome} | {status} | {row.text} | {row.action} |"
        )
    return "\n".join(lines) + "\n"


def codes(env: Environment, json_output: bool) -> ExitStatus:
    """Write all result codes."""
    if json_output:
        env.stdout.write(msgspec.json.encode(rows()).decode() + "\n")
        return ExitStatus.SUCCESS
    headers = ("code", "name", "outcome", "http", "text", "action")
    write_table(
        env.stdout,
        headers,
        [(r.code, r.name, r.outcome, r.http_status, r.text, r.action) for r in rows()],
    )
    return ExitStatus.SUCCESS
