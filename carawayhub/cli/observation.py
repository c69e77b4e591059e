"""The commands that look at a running fleet through its operators' endpoints."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import Any

import anyio
import httpcore
import msgspec

from carawayhub.addresses import Address
from carawayhub.codes import Code
from carawayhub.context import Environment
from carawayhub.errors import CommandError
from carawayhub.output.audit import Change
from carawayhub.output.tables import write_table
from carawayhub.process.status import ProcessStatus
from carawayhub.status import ExitStatus

ANSWER_TIMEOUT = 3.0
OK_STATUS = 200


@dataclass(slots=True)
class _Found:
    """What one target answered; ``error`` is set where it did not."""

    target: str
    value: Any = None
    error: str = ""


def status(env: Environment, targets: Sequence[str], json_output: bool) -> ExitStatus:
    """Write processes, endpoints and groups; targets that do not answer are named."""
    found = anyio.run(_ask_all, targets, "/status", ProcessStatus)
    pages: list[ProcessStatus] = [each.value for each in found if not each.error]
    if json_output:
        env.stdout.write(msgspec.json.encode(pages).decode() + "\n")
    else:
        _write_processes(env, pages)
        _write_endpoints(env, pages)
        _write_groups(env, pages)
    return _closing(env, found)


def audit(env: Environment, targets: Sequence[str], since: int, json_output: bool) -> ExitStatus:
    """Write the changes that the targets saw, in the order of their wall clocks."""
    found = anyio.run(_ask_all, targets, f"/audit?since={since}", tuple[Change, ...])
    changes = [change for each in found if not each.error for change in each.value]
    changes.sort(key=lambda change: change.at)
    if json_output:
        env.stdout.write(msgspec.json.encode(changes).decode() + "\n")
    else:
        headers = ("when", "process", "no", "what", "name", "before", "after", "version", "why")
        write_table(env.stdout, headers, [_change_row(change) for change in changes])
    return _closing(env, found)


async def _ask_all(targets: Sequence[str], path: str, kind: Any) -> list[_Found]:
    found = [_Found(target) for target in targets]
    async with anyio.create_task_group() as tasks:
        for each in found:
            tasks.start_soon(_ask, each, path, kind)
    return found


async def _ask(found: _Found, path: str, kind: Any) -> None:
    try:
        address = Address.parse(found.target)
    except ValueError as exc:
        raise CommandError(Code.USAGE, str(exc)) from exc
    try:
        with anyio.fail_after(ANSWER_TIMEOUT):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", f"http://{address}{path}")
        if response.status != OK_STATUS:
            found.error = f"status {response.status}"
            return
        found.value = msgspec.json.decode(response.content, type=kind)
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError, TimeoutError) as exc:
        found.error = str(exc) or type(exc).__name__
    except (msgspec.DecodeError, RecursionError) as exc:
        found.error = f"its answer cannot be read: {exc}"


def _closing(env: Environment, found: list[_Found]) -> ExitStatus:
    silent = [each for each in found if each.error]
    for each in silent:
        env.stderr.write(f"carawayhub: no usable answer from {each.target}: {each.error}\n")
    return ExitStatus.TARGET_UNREACHABLE if silent else ExitStatus.SUCCESS


def _write_processes(env: Environment, pages: list[ProcessStatus]) -> None:
    headers = ("process", "domain", "version", "newest", "ready", "leaving", "running", "refused")
    rows = [
        (
            f"{page.role}:{page.name}",
            page.failure_domain,
            page.version,
            page.newest_known,
            page.ready,
            page.leaving,
            page.running,
            "; ".join(page.refusals),
        )
        for page in pages
    ]
    write_table(env.stdout, headers, rows)


def _write_endpoints(env: Environment, pages: list[ProcessStatus]) -> None:
    headers = ("seen by", "endpoint", "provider", "condition", "load", "capacity", "why")
    rows = [
        (
            f"{page.role}:{page.name}",
            row.name,
            row.provider,
            row.condition,
            round(row.load, 1),
            row.capacity,
            row.reason,
        )
        for page in pages
        for row in page.endpoints
    ]
    env.stdout.write("\n")
    write_table(env.stdout, headers, rows)


def _write_groups(env: Environment, pages: list[ProcessStatus]) -> None:
    rows = [
        (
            group.name,
            group.map_number,
            round(group.skew, 3),
            group.decision,
            group.reason,
            group.out_of_routing,
        )
        for page in pages
        for group in page.groups
    ]
    if rows:
        env.stdout.write("\n")
        headers = ("group", "map", "skew", "last decision", "why", "out of routing")
        write_table(env.stdout, headers, rows)


def _change_row(change: Change) -> tuple[object, ...]:
    return (
        _time_of_day(change.at),
        change.process,
        change.sequence,
        change.subject.value,
        change.name,
        change.before,
        change.after,
        change.version,
        change.reason,
    )


def _time_of_day(at: float) -> str:
    try:
        return datetime.fromtimestamp(at, UTC).strftime("%H:%M:%S.%f")[:-3]
    except (ValueError, OverflowError, OSError):
        return "-"
