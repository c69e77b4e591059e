"""Starts a daemon without the command line library.

``typer`` takes some 11 MB of resident memory once it has parsed a command, of the 64 MB that a
process may use, and a daemon would hold them to its end. So the plain forms of the two commands
that run a daemon are recognised here; everything else, help and misuse included, goes to
``typer``, which remains the definition of the command line.
"""

from collections.abc import Callable, Sequence
from pathlib import Path

from carawayhub.context import Environment
from carawayhub.status import ExitStatus

ENTRY = "entry"
AGENT = "agent"
SETTINGS = ("--settings", "-s")
WORDS = 3

Command = Callable[[Environment], ExitStatus]


def daemon_command(words: Sequence[str]) -> Command | None:
    """Return what the words run, None where they are not the plain start of a daemon.

    Example:
        >>> daemon_command(["entry", "--settings", "entry-1.json"]) is None
        False
        >>> daemon_command(["entry", "--help"]) is None
        True
    """
    if len(words) != WORDS or words[0] not in (ENTRY, AGENT) or words[1] not in SETTINGS:
        return None
    path = Path(words[2])
    if not path.is_file():
        return None
    return lambda env: _run(words[0], env, path)


def _run(name: str, env: Environment, path: Path) -> ExitStatus:
    from carawayhub.cli import daemons

    return daemons.entry(env, path) if name == ENTRY else daemons.agent(env, path)
