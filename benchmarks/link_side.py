"""The accepting process of measured links: ``python -m benchmarks.link_side agent``.

It prints its port and then obeys one JSON object a line from standard input: each is answered by
one line with what the process has spent. It ends at the end of its input.
"""

import json
import sys
import time
from pathlib import Path

import anyio
import uvloop

from benchmarks.link_parts import Side, make_side
from carawayhub.addresses import Address
from carawayhub.http import bind
from carawayhub.peers.messages import ProcessRole, RunReply, RunRequest
from carawayhub.peers.methods import RUN
from carawayhub.peers.server import PeerServer, UnaryCall

HOST = "127.0.0.1"
ANSWER_BYTES = 256
KIB = 1024


async def serve(role: ProcessRole) -> None:
    """Accept links and calls until the input ends."""
    sock = bind(Address(HOST, 0))
    port = sock.getsockname()[1]
    side = await make_side("endpoint-000", role, Address(HOST, port))
    server = PeerServer(side.exchange, side.prover, (UnaryCall(RUN, _run),))
    await server.start(sock)
    print(port, flush=True)
    while line := await anyio.to_thread.run_sync(sys.stdin.readline):
        _obey(side, json.loads(line))
        print(json.dumps(usage()), flush=True)
    await server.stop()


def usage() -> dict[str, float]:
    """Return this process's processor seconds and resident bytes."""
    return {"cpu": time.process_time(), "resident": resident()}


def resident() -> int:
    """Return the resident bytes of this process."""
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) * KIB for line in lines if line.startswith("VmRSS:"))


def _obey(side: Side, command: dict[str, int]) -> None:
    side.role.events = command.get("events", side.role.events)
    if "push" in command:
        side.exchange.changed.notify()


async def _run(sender: str, req: RunRequest) -> RunReply:
    return RunReply(request_id=req.request_id, code=0, status=201, body=bytes(ANSWER_BYTES))


if __name__ == "__main__":
    uvloop.run(serve(ProcessRole(sys.argv[1])))
