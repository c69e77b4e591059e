"""The commands that run a process until it is stopped."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio

from carawayhub.context import Environment
from carawayhub.output.logs import configure_logs
from carawayhub.settings import AgentSettings, EntrySettings, load_settings
from carawayhub.status import ExitStatus


def entry(env: Environment, path: Path) -> ExitStatus:
    """Run an entry with the settings in a file."""
    from carawayhub.entry.process import run_entry

    settings = load_settings(path, EntrySettings)
    configure_logs(env.stderr, settings.log_level, f"entry:{settings.name}")
    return _run(run_entry, settings)


def agent(env: Environment, path: Path) -> ExitStatus:
    """Run an agent with the settings in a file."""
    from carawayhub.agent.process import run_agent

    settings = load_settings(path, AgentSettings)
    configure_logs(env.stderr, settings.log_level, f"agent:{settings.name}")
    return _run(run_agent, settings)


def _run(process: Callable[[Any], Awaitable[None]], settings: Any) -> ExitStatus:
    anyio.run(process, settings, backend_options={"use_uvloop": True})
    return ExitStatus.SUCCESS
