"""The command's entry point: every exit status is decided here."""

import sys
from collections.abc import Sequence
from typing import Any

from carawayhub.cli.direct import daemon_command
from carawayhub.codes import Code
from carawayhub.context import Environment
from carawayhub.errors import CarawayhubError, ConfigError
from carawayhub.status import ExitStatus

_STATUS_OF = {
    Code.PORT_IN_USE: ExitStatus.PORT_IN_USE,
    Code.INTERRUPTED: ExitStatus.INTERRUPTED,
    Code.TARGET_UNREACHABLE: ExitStatus.TARGET_UNREACHABLE,
    Code.USAGE: ExitStatus.USAGE,
    Code.SETTINGS_INVALID: ExitStatus.USAGE,
}


def main(args: Sequence[str] | None = None, env: Environment | None = None) -> ExitStatus:
    """Run one command and return its exit status.

    Args:
        args: Words after the command's name; those of this process if None.
        env: The streams of the run; those of this process if None.
    """
    env = env or Environment()
    words = list(sys.argv[1:] if args is None else args)
    try:
        result = _run(words, env)
    except KeyboardInterrupt:
        return _closing(ExitStatus.INTERRUPTED, env)
    except ConfigError as exc:
        env.stderr.write(f"carawayhub: {exc}\n")
        return ExitStatus.CONFIG_REFUSED
    except CarawayhubError as exc:
        env.stderr.write(f"carawayhub: {exc}\nWhat to do: {exc.meaning.action}.\n")
        return _STATUS_OF.get(exc.code, ExitStatus.FAILURE)
    except BrokenPipeError:
        # The reader of the output has gone, as in `carawayhub codes | head`.
        sys.stderr.close()
        return ExitStatus.SUCCESS
    return _closing(result, env)


def _closing(result: Any, env: Environment) -> ExitStatus:
    """Return the status of a command that ended; ``typer`` gives an interrupt as its number."""
    status = ExitStatus(result) if isinstance(result, int) else ExitStatus.SUCCESS
    if status is ExitStatus.INTERRUPTED:
        env.stderr.write("carawayhub: interrupted\n")
    return status


def _run(words: list[str], env: Environment) -> Any:
    """Run the command; an error within a task group comes out as it was raised."""
    daemon = daemon_command(words)
    try:
        return daemon(env) if daemon is not None else _run_typer(words, env)
    except BaseExceptionGroup as group:
        raise _known_error(group) from group


def _run_typer(words: list[str], env: Environment) -> Any:
    import typer
    from typer.main import get_command

    from carawayhub.cli.definition import app

    # Wrong words on the command line. `typer` may carry `click` within itself, where it has no
    # public name, so the error is found through what `typer` exports.
    usage_error: Any = typer.BadParameter.__bases__[0]
    command = get_command(app)
    try:
        return command.main(words, prog_name="carawayhub", standalone_mode=False, obj=env)
    except typer.Exit as exc:
        return ExitStatus(exc.exit_code)
    except usage_error as exc:
        exc.show(file=env.stderr)
        return ExitStatus.USAGE
    except typer.Abort as exc:
        raise KeyboardInterrupt from exc


def _known_error(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first error of the product in a group, the group itself where there is none."""
    for exc in group.exceptions:
        found = _known_error(exc) if isinstance(exc, BaseExceptionGroup) else exc
        if isinstance(found, CarawayhubError | KeyboardInterrupt):
            return found
    return group
