"""The command line that the soaks share: seeds in, a line and a verdict for each out."""

import argparse
import os
import random
import signal
import tempfile
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

import anyio
from loguru import logger

from carawayhub.addresses import Address
from carawayhub.http import HttpServer, bind


class Played(Protocol):
    """What became of one seed.

    Attributes:
        struck: Faults that struck.
        problems: Broken promises.
    """

    struck: Counter[str]
    problems: list[str]

    def line(self) -> str:
        """Return the outcome in one line."""


def main_of(play_one: Callable[[int, Path], Awaitable[Played]], description: str) -> int:
    """Play seeds and print a line for each; the status tells whether all promises were kept.

    Args:
        play_one: Plays one seed, with its logs in a folder.
        description: What the command says of itself.
    """
    signal.signal(signal.SIGINT, signal.default_int_handler)
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, action="append", default=[])
    parser.add_argument("--seeds", type=int, default=0, help="fresh seeds")
    options = parser.parse_args()
    fresh = [random.SystemRandom().randrange(1_000_000) for _ in range(options.seeds)]
    logger.remove()
    failed = 0
    for seed in [*options.seed, *fresh]:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = anyio.run(play_one, seed, folder)
        verdict = "kept" if not soak.problems else f"BROKEN, logs in {folder}"
        print(f"seed {seed}: {soak.line()}, {verdict}", flush=True)
        print(f"  faults: {dict(soak.struck)}", flush=True)
        for problem in soak.problems[:10]:
            print(f"  {problem}", flush=True)
        failed += bool(soak.problems)
    return 1 if failed else 0


def serve(tasks: anyio.abc.TaskGroup, app: object) -> str:
    """Serve a stand-in on a free port until the tasks end; return its address."""
    sock = bind(Address("127.0.0.1", 0))
    tasks.start_soon(HttpServer(app, sock).run)
    host, port = sock.getsockname()
    return f"{host}:{port}"


def subnet() -> str:
    """Return loopback addresses of this process alone: programs stand on fixed ports."""
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{1 + number % 250}"
