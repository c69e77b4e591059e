"""Starts one stand-in: ``python -m carawayhub.standins engine --listen 127.0.0.1:9001``.

Each prints ``ready ip:port`` once it can be reached and runs until it is ended.
"""

from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import Annotated

import anyio
import msgspec
import typer

from carawayhub.standins.engine import Engine, EngineOptions
from carawayhub.standins.options import RankOptions
from carawayhub.standins.platform import Platform, PlatformOptions, Vm, VmState
from carawayhub.standins.proxy import Proxy
from carawayhub.standins.rankgroup import RankGroup
from carawayhub.standins.service import Service, ServiceOptions

app = typer.Typer(add_completion=False, no_args_is_help=True, help=__doc__)

Listen = Annotated[str, typer.Option(help="Address as ip:port; port 0 takes a free one.")]
JournalPath = Annotated[Path | None, typer.Option("--journal", help="File for the journal.")]


def _serve(server: AbstractAsyncContextManager[str]) -> None:
    async def main() -> None:
        async with server as address:
            print(f"ready {address}", flush=True)
            await anyio.sleep_forever()

    try:
        anyio.run(main, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        raise typer.Exit(0) from None


def _vm(text: str) -> Vm:
    name, _, failure_domain = text.partition("=")
    return Vm(name, VmState.LIVE, failure_domain)


@app.command()
def platform(
    listen: Listen = "127.0.0.1:0",
    folder: Annotated[Path | None, typer.Option(help="Folder to publish at the start.")] = None,
    vm: Annotated[list[str] | None, typer.Option(help="A live VM as NAME=FAILURE_DOMAIN.")] = None,
    vm_lag_s: float = 0.0,
    reads_per_second: int = 0,
    weights_per_second: float = 50.0,
) -> None:
    """Run the platform: configuration service, list of VMs and weight store."""
    options = PlatformOptions(
        vm_lag_s=vm_lag_s,
        reads_per_second=reads_per_second,
        weights_per_second=weights_per_second,
    )
    stand_in = Platform(options)
    if folder is not None:
        stand_in.publish_folder(folder)
    if vm:
        stand_in.set_vms([_vm(text) for text in vm])
    _serve(stand_in.serving(listen))


@app.command()
def engine(
    listen: Listen = "127.0.0.1:0",
    journal: JournalPath = None,
    capacity: int = 64,
    step_ms: float = 6.0,
    cache_blocks: int = 4096,
    cache_loss: float = 0.0,
    load_lag_s: float = 0.2,
    resumes: bool = False,
    checks_giver: Annotated[str, typer.Option(help="Only giver it obeys.")] = "",
    checks_fencing: bool = False,
    seed: int = 0,
    ranks_at: Annotated[str, typer.Option(help="Where the ranks of its group run.")] = "",
    rank: Annotated[list[int] | None, typer.Option(help="A rank it holds.")] = None,
) -> None:
    """Run a model engine."""
    options = EngineOptions(
        capacity=capacity,
        step_ms=step_ms,
        cache_blocks=cache_blocks,
        cache_loss=cache_loss,
        load_lag_s=load_lag_s,
        resumes=resumes,
        checks_giver=checks_giver,
        checks_fencing=checks_fencing,
        seed=seed,
        ranks_at=ranks_at,
        ranks=tuple(rank or ()),
    )
    _serve(Engine(options, journal).serving(listen))


@app.command()
def ranks(
    listen: Listen = "127.0.0.1:0",
    options: Annotated[str, typer.Option(help="Options as a JSON object.")] = "{}",
) -> None:
    """Run the ranks of one lock-step group; engines hold them with ``--ranks-at``."""
    _serve(RankGroup(msgspec.json.decode(options, type=RankOptions)).serving(listen))


@app.command()
def service(
    listen: Listen = "127.0.0.1:0", journal: JournalPath = None, work_ms: float = 5.0
) -> None:
    """Run a plain service."""
    _serve(Service(ServiceOptions(work_ms=work_ms), journal).serving(listen))


@app.command()
def proxy(
    link: Annotated[list[str], typer.Option(help="NAME=LISTEN=TARGET; may be repeated.")],
    listen: Listen = "127.0.0.1:0",
    seed: int = 0,
) -> None:
    """Run the fault-injecting proxy; ``--listen`` is its control interface."""
    stand_in = Proxy(seed)
    for text in link:
        name, _, addresses = text.partition("=")
        stand_in.add(name, *addresses.split("=", 1))
    _serve(stand_in.serving(listen))


if __name__ == "__main__":
    app()
