"""Small HTTP helpers that all stand-ins share: routes, replies and an in-process server."""

import re
import socket
from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager, contextmanager
from dataclasses import dataclass, field
from typing import Any, cast
from urllib.parse import parse_qsl, unquote

import anyio
import msgspec
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

Scope = dict[str, Any]
Message = dict[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiApp = Callable[[Scope, Receive, Send], Awaitable[None]]

JSON_TYPE = "application/json"
LISTEN_BACKLOG = 1024
START_POLL_S = 0.005
TRANSPORT = "carawayhub.transport"


@dataclass(slots=True)
class Request:
    """One HTTP request.

    Attributes:
        method: HTTP method in capitals.
        path: Decoded path.
        query: Last value of each query parameter.
        headers: Values by lower-case name.
        body: The whole body.
        parts: What the path's placeholders matched.
        receive: ASGI receive, to notice that the client went away.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    parts: tuple[str, ...]
    receive: Receive

    def number(self, name: str, default: float = 0.0) -> float:
        """Return query parameter ``name`` as a number."""
        return float(self.query.get(name, default))


@dataclass(slots=True)
class Reply:
    """A whole answer."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class StreamReply:
    """An answer in parts; without an end the connection is closed and the client sees a cut."""

    parts: AsyncGenerator[bytes, None]
    content_type: str = "text/event-stream"
    headers: dict[str, str] = field(default_factory=dict)


class CutError(Exception):
    """Raised by a handler or by parts of a stream to close the connection without an end."""


Handler = Callable[[Request], Awaitable[Reply | StreamReply]]


def json_reply(value: Any, status: int = 200, **headers: str) -> Reply:
    """Return ``value`` as a JSON answer; underscores in header names become dashes."""
    named = {name.replace("_", "-"): text for name, text in headers.items()}
    return Reply(status, msgspec.json.encode(value), headers=named)


def error_reply(status: int, text: str, **headers: str) -> Reply:
    """Return an error in the shape that model engines use."""
    return json_reply({"error": {"message": text}}, status, **headers)


class Router:
    """An ASGI application made of routes such as ``GET /files/{}``."""

    __slots__ = ("_routes",)

    def __init__(self) -> None:
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []

    def add(self, method: str, pattern: str, handler: Handler) -> None:
        """Send requests whose path matches ``pattern`` to ``handler``."""
        regex = re.escape(pattern).replace(re.escape("{}"), "([^/]+)")
        self._routes.append((method, re.compile(regex + r"\Z"), handler))

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        handler, parts = self._find(scope["method"], unquote(scope["path"]))
        if handler is None:
            await _send_reply(send, error_reply(404, "no such path"))
            return
        req = await _read_request(scope, receive, parts)
        if req is None:
            return
        try:
            reply = await handler(req)
            await _send(send, receive, reply)
        except msgspec.MsgspecError as exc:
            await _send_reply(send, error_reply(400, str(exc)))
        except CutError:
            scope[TRANSPORT].abort()

    def _find(self, method: str, path: str) -> tuple[Handler | None, tuple[str, ...]]:
        for route_method, regex, handler in self._routes:
            found = regex.match(path)
            if found and route_method == method:
                return handler, found.groups()
        return None, ()


async def _read_request(scope: Scope, receive: Receive, parts: tuple[str, ...]) -> Request | None:
    chunks: list[bytes] = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            break
    return Request(
        method=scope["method"],
        path=unquote(scope["path"]),
        query=dict(parse_qsl(scope["query_string"].decode("latin-1"))),
        headers={k.decode("latin-1"): v.decode("latin-1") for k, v in scope["headers"]},
        body=b"".join(chunks),
        parts=parts,
        receive=receive,
    )


async def _send(send: Send, receive: Receive, reply: Reply | StreamReply) -> None:
    match reply:
        case Reply():
            await _send_reply(send, reply)
        case StreamReply():
            await _send_stream(send, receive, reply)


async def _send_reply(send: Send, reply: Reply) -> None:
    headers = [(b"content-length", str(len(reply.body)).encode())]
    await _send_start(send, reply.status, reply.content_type, reply.headers, headers)
    await send({"type": "http.response.body", "body": reply.body})


async def _send_stream(send: Send, receive: Receive, reply: StreamReply) -> None:
    async with until_disconnect(receive):
        await _send_start(send, 200, reply.content_type, reply.headers, [])
        async with aclosing(reply.parts):
            async for part in reply.parts:
                await send({"type": "http.response.body", "body": part, "more_body": True})
        await send({"type": "http.response.body", "body": b""})


async def _send_start(
    send: Send,
    status: int,
    content_type: str,
    named: dict[str, str],
    headers: list[tuple[bytes, bytes]],
) -> None:
    headers.append((b"content-type", content_type.encode()))
    headers.extend((k.encode(), v.encode()) for k, v in named.items())
    await send({"type": "http.response.start", "status": status, "headers": headers})


@asynccontextmanager
async def until_disconnect(receive: Receive) -> AsyncIterator[None]:
    """Run the body of the ``with`` until it ends or the client goes away.

    A client that goes away cancels the body, which frees what the request holds.
    """

    async def watch() -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        tg.cancel_scope.cancel()

    cut: CutError | None = None
    async with anyio.create_task_group() as tg:
        tg.start_soon(watch)
        try:
            yield
        except CutError as exc:
            cut = exc
        tg.cancel_scope.cancel()
    if cut is not None:
        raise cut


class _Protocol(HttpToolsProtocol):
    """Lets an application close its connection before an answer began, which ASGI does not."""

    def on_message_begin(self) -> None:
        """Hand the transport to the application."""
        super().on_message_begin()
        cast(Scope, self.scope)[TRANSPORT] = self.transport


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the process it runs in."""

    @contextmanager
    def capture_signals(self) -> Any:
        """Install no signal handler."""
        yield


def bind(address: str) -> socket.socket:
    """Return a socket that is bound to ``ip:port``; port 0 takes a free one.

    Raises:
        OSError: The address is in use or is not of this machine.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    return sock


def address_of(sock: socket.socket) -> str:
    """Return the ``ip:port`` that ``sock`` is bound to."""
    host, port = sock.getsockname()[:2]
    return f"{host}:{port}"


@asynccontextmanager
async def serving(app: AsgiApp, address: str) -> AsyncIterator[str]:
    """Serve ``app`` on ``ip:port`` while the ``with`` runs; yields the address in use.

    The end is abrupt: open connections are closed without waiting for their answers, as when a VM
    dies.
    """
    sock = bind(address)
    sock.listen(LISTEN_BACKLOG)
    config = uvicorn.Config(
        app,
        http=_Protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        log_level="critical",
        access_log=False,
        server_header=False,
        backlog=LISTEN_BACKLOG,
        timeout_graceful_shutdown=0,
    )
    server = QuietServer(config)
    async with anyio.create_task_group() as tg:
        tg.start_soon(server.serve, [sock])
        while not server.started:
            await anyio.sleep(START_POLL_S)
        try:
            yield address_of(sock)
        finally:
            _close_listeners(server)
            _abort_connections(server)
            server.should_exit = True


def _close_listeners(server: uvicorn.Server) -> None:
    """Accept nothing more: a server whose task is cancelled leaves its listeners open."""
    for listener in server.servers:
        listener.close()


def _abort_connections(server: uvicorn.Server) -> None:
    for connection in list(server.server_state.connections):
        transport = getattr(connection, "transport", None)
        if transport is not None:
            transport.abort()
