"""A replica as a process of its own: ``replica.py INSTANCE HOST:PORT``.

Each line that it prints tells what it does. On ``unframed`` at its standard input it gives one
long answer no length, so that this answer ends with its connection; on ``exit`` or the end of the
input it exits.
"""

import asyncio
import os
import sys
import time
from collections import deque
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standin import answer, json_answer, read_request

SLOTS = 6
EVENT_SECONDS, EVENT_TOKENS = 0.1, 5
LONG_EVENTS = 60
UNFRAMED_SHARE, UNFRAMED_SECONDS = 0.03, 5.0

instance, address = sys.argv[1:3]
busy = 0
unframed_wanted = False
answered: deque[float] = deque()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one connection; an answer without a length is its last."""
    global busy
    try:
        while (req := await read_request(reader)) is not None:
            request = req.headers.get("carawayhub-request-id", "")
            if req.path == "/health":
                writer.write(answer(200, b"", ("Carawayhub-Instance-Id", instance)))
            elif req.headers.get("carawayhub-expect-instance") != instance:
                writer.write(json_answer(421, {}))
            elif busy >= SLOTS:
                names = (("Carawayhub-Request-Id", request), ("Carawayhub-Not-Executed", "1"))
                writer.write(answer(503, b"", *names))
            else:
                busy += 1
                try:
                    events = (
                        int(req.headers["carawayhub-token-counts"].split(",")[1]) // EVENT_TOKENS
                    )
                    after = int(req.headers.get("last-event-id", "0"))
                    if not await stream(request, after, events, writer):
                        return
                finally:
                    busy -= 1
    except ConnectionError:
        print(f"{instance}: a caller's connection broke", flush=True)
    finally:
        writer.close()


def gives_no_length(events: int) -> bool:
    """Return whether this answer has no length: one among enough answers of the last seconds."""
    global unframed_wanted
    oldest = time.monotonic() - UNFRAMED_SECONDS
    while answered and answered[0] < oldest:
        answered.popleft()
    if not unframed_wanted or events < LONG_EVENTS or UNFRAMED_SHARE * len(answered) < 1.0:
        return False
    unframed_wanted = False
    return True


async def stream(request: str, after: int, events: int, writer: asyncio.StreamWriter) -> bool:
    """Send the events after one; return whether the connection is kept."""
    if unframed := gives_no_length(events):
        print(f"{instance}: {request} gets no length, beside {len(answered)} answers", flush=True)
    if events >= LONG_EVENTS or after:
        print(f"{instance}: runs {request} after event {after}", flush=True)
    framing = "Connection: close" if unframed else "Transfer-Encoding: chunked"
    head = (
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        f"Carawayhub-Request-Id: {request}\r\nCarawayhub-Response-Seal: {instance}\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(after + 1, events + 1):
        await asyncio.sleep(EVENT_SECONDS)
        event = f"id: {number}\ndata: {request}\n\n".encode()
        writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
    if not unframed:
        writer.write(b"0\r\n\r\n")
    answered.append(time.monotonic())
    if events >= LONG_EVENTS:
        print(f"{instance}: ends {request}", flush=True)
    return not unframed


async def main() -> None:
    """Serve until told to exit."""
    global unframed_wanted
    host, port = address.split(":")
    await asyncio.start_server(serve, host, int(port))
    print(f"{instance}: serves {address}", flush=True)
    loop = asyncio.get_running_loop()
    while await loop.run_in_executor(None, sys.stdin.readline) == "unframed\n":
        unframed_wanted = True
    print(f"{instance}: exits with {busy} streams in flight", flush=True)
    os._exit(0)


asyncio.run(main())
