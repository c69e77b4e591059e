"""State of an HTTP request from its arrival until it is answered or rejected."""

from dataclasses import dataclass

from carawayhub.codes import Code
from carawayhub.constants import KEY_HEADER, TICKET_HEADER
from carawayhub.entry import calls
from carawayhub.entry.calls import Headers, Receive, Scope, Send
from carawayhub.entry.replies import Reply, send_reply


@dataclass(slots=True, kw_only=True)
class Incoming:
    """One HTTP request and its state.

    Attributes:
        scope: The ASGI scope.
        headers: Its headers.
        receive: The ASGI channel from the caller.
        send: The ASGI channel to the caller.
        request_id: Unique id within the system.
        caller_id: Id by which the caller knows it.
        arrived_at: Timestamp at which its head was received.
        organisation: Organisation of the caller, empty until authenticated.
        code: Result of the request; CALLER_LEFT until there is another one.
    """

    scope: Scope
    headers: Headers
    receive: Receive
    send: Send
    request_id: str
    caller_id: str
    arrived_at: float
    organisation: str = ""
    code: Code = Code.CALLER_LEFT

    @classmethod
    def of(cls, scope: Scope, receive: Receive, send: Send, arrived_at: float) -> "Incoming":
        """Create the request of an ASGI scope with a new id."""
        headers = Headers.of(scope)
        request_id = calls.new_request_id()
        return cls(
            scope=scope,
            headers=headers,
            receive=receive,
            send=send,
            request_id=request_id,
            caller_id=calls.caller_id(headers, request_id),
            arrived_at=arrived_at,
        )

    @property
    def runs_once(self) -> bool:
        """Whether it carries a key or a ticket, so that an earlier attempt may have run."""
        return bool(self.headers.text(KEY_HEADER) or self.headers.text(TICKET_HEADER))

    def matches(self, method: str, path: str) -> bool:
        """Return whether it has this method and path."""
        return bool(self.scope["method"] == method and self.scope["path"] == path)

    async def reply(self, reply: Reply) -> None:
        """Send a reply that the entry generated itself."""
        await send_reply(self.send, reply, self.caller_id)
        self.code = Code.OK
