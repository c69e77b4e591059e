"""The command line as data: commands, options and their help; the work is in other modules.

Modules that a command needs are imported when it runs: a daemon does not carry what the others
need, and ``--help`` answers at once.
"""

from pathlib import Path
from typing import Annotated

import typer

from carawayhub.context import Environment
from carawayhub.status import ExitStatus

app = typer.Typer(
    name="carawayhub",
    help="Load balancer for expert-parallel model groups.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
config_app = typer.Typer(
    help="Check and explain configuration folders.", no_args_is_help=True, rich_markup_mode=None
)
app.add_typer(config_app, name="config")

Json = Annotated[bool, typer.Option("--json", help="Write JSON for programs.")]
Folder = Annotated[Path, typer.Argument(help="Configuration folder.", show_default=False)]
SettingsFile = Annotated[
    Path, typer.Option("--settings", "-s", help="Settings file of this process.")
]
Targets = Annotated[
    list[str],
    typer.Argument(help="Operators' addresses as ip:port, one or more.", show_default=False),
]


def _env(context: typer.Context) -> Environment:
    env: Environment = context.obj
    return env


@app.command()
def entry(context: typer.Context, settings: SettingsFile) -> ExitStatus:
    """Run an entry: it takes callers' requests and relays them to endpoints.

    Example: carawayhub entry --settings entry-1.json
    """
    from carawayhub.cli import daemons

    return daemons.entry(_env(context), settings)


@app.command()
def agent(context: typer.Context, settings: SettingsFile) -> ExitStatus:
    """Run an agent in the slot of an endpoint's VM.

    Example: carawayhub agent --settings brest-1.json
    """
    from carawayhub.cli import daemons

    return daemons.agent(_env(context), settings)


@config_app.command()
def check(context: typer.Context, folder: Folder, json_output: Json = False) -> ExitStatus:
    """Check a folder exactly as every process does before it accepts it.

    Example: carawayhub config check examples/le-goff
    """
    from carawayhub.cli import configuration

    return configuration.check(_env(context), folder, json_output)


@config_app.command()
def show(context: typer.Context, folder: Folder, json_output: Json = False) -> ExitStatus:
    """Print what the files of a folder make when they are merged.

    Example: carawayhub config show examples/le-goff
    """
    from carawayhub.cli import configuration

    return configuration.show(_env(context), folder, json_output)


@config_app.command()
def explain(
    context: typer.Context,
    folder: Folder,
    key: Annotated[str, typer.Argument(help="Dotted path of a key.", show_default=False)],
    json_output: Json = False,
) -> ExitStatus:
    """Say which file set a key and which ones it overrode.

    Example: carawayhub config explain examples/le-goff endpoints.brest-1.state
    """
    from carawayhub.cli import configuration

    return configuration.explain(_env(context), folder, key, json_output)


@config_app.command()
def diff(
    context: typer.Context,
    before: Folder,
    after: Folder,
    json_output: Json = False,
) -> ExitStatus:
    """Say what a step changes for callers and endpoints.

    Example: carawayhub config diff published/ proposed/
    """
    from carawayhub.cli import configuration

    return configuration.diff(_env(context), before, after, json_output)


@app.command()
def status(context: typer.Context, targets: Targets, json_output: Json = False) -> ExitStatus:
    """Show processes, endpoints and groups of a running fleet.

    Example: carawayhub status 127.0.0.1:7101 127.0.0.1:7102
    """
    from carawayhub.cli import observation

    return observation.status(_env(context), targets, json_output)


@app.command()
def audit(
    context: typer.Context,
    targets: Targets,
    since: Annotated[int, typer.Option(help="Only changes above this number.")] = 0,
    json_output: Json = False,
) -> ExitStatus:
    """Show what changed in a running fleet, when, why and from which version.

    Example: carawayhub audit 127.0.0.1:7101 --since 10
    """
    from carawayhub.cli import observation

    return observation.audit(_env(context), targets, since, json_output)


@app.command()
def plan(
    context: typer.Context,
    recording: Annotated[
        Path, typer.Argument(help="Recorded load of a lock-step group.", show_default=False)
    ],
    json_output: Json = False,
    plot: Annotated[
        Path | None, typer.Option(help="SVG file for skew and moves over time.")
    ] = None,
    skew_weight: Annotated[
        float | None, typer.Option(help="Skew weight in place of the recording's, 0 to 1.")
    ] = None,
    rebalancing_weight: Annotated[
        float | None, typer.Option(help="Rebalancing weight in place of the recording's, 0 to 1.")
    ] = None,
) -> ExitStatus:
    """Show what the rebalancing policy would do with a recorded load, and why.

    Example: carawayhub plan saturday.jsonl --plot plan.svg
    """
    from carawayhub.cli import plan as planning

    return planning.plan(
        _env(context), recording, json_output, plot, skew_weight, rebalancing_weight
    )


@app.command()
def codes(context: typer.Context, json_output: Json = False) -> ExitStatus:
    """List the numbered result codes.

    Example: carawayhub codes
    """
    from carawayhub.cli import reference

    return reference.codes(_env(context), json_output)


@app.command()
def replay(
    context: typer.Context,
    trace: Annotated[Path, typer.Argument(help="File of the trace.", show_default=False)],
    json_output: Json = False,
    record: Annotated[
        Path | None, typer.Option(help="Write the trace with its arrivals as they came.")
    ] = None,
) -> ExitStatus:
    """Drive a local fleet through a recorded trace; exit 4 when an outcome is missed.

    Example: carawayhub replay traces/saturday-surge.json
    """
    from carawayhub.cli import replay as replaying

    return replaying.replay(_env(context), trace, json_output, record)


@app.command("explain-request")
def explain_request(
    context: typer.Context,
    request: Annotated[str, typer.Argument(help="Id of the request.", show_default=False)],
    files: Annotated[list[Path], typer.Argument(help="Log files.", show_default=False)],
) -> ExitStatus:
    """Follow one request through the logs to the cause of its end.

    Example: carawayhub explain-request 9c41d07be2a35f68 front-1.log front-2.log
    """
    from carawayhub.cli import explanation

    return explanation.explain_request(_env(context), request, files)


@app.command()
def demo(context: typer.Context) -> ExitStatus:
    """Run the main job in this one process: calls, a migration step, a VM that dies.

    Example: carawayhub demo
    """
    from carawayhub import demo as demonstration

    return demonstration.demo(_env(context))
