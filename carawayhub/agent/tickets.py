"""Tickets: signed permission to run one request once, at one incarnation of one agent.

An entry issues a ticket from the agent's latest report, without a call to the agent. Only the
incarnation that the ticket names ever runs it, so no view of the fleet and no configuration can
lead to a second run. The lifetime of a ticket is counted in epochs of that agent alone: the agent
advances them by its own clock, and starts to reject a ticket at the same timestamp at which it
removes the record.
"""

import base64
import binascii
import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from carawayhub.agent.begin import Refuse
from carawayhub.agent.messages import RunKey
from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.errors import RequestError

EPOCH_SECONDS = 5.0
TICKET_VALID_EPOCHS = 120
NONCE_BYTES = 16
MAC_BYTES = 32
MAX_TICKET_LENGTH = 1024
STAMP_VALID_EPOCHS = 2
"""Epochs for which the stamp of a keyed request is valid; see ``stamp_refusal``."""

_KEY_PURPOSE = b"carawayhub ticket"


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Payload of a ticket.

    Attributes:
        scope: Service or model.
        organisation: Organisation that may use it.
        endpoint: Endpoint that runs the request.
        incarnation: The only incarnation of the endpoint's agent that may run it.
        epoch: Epoch of that incarnation when it made its report.
        nonce: Random bytes that make the ticket unique.
    """

    scope: str
    organisation: str
    endpoint: str
    incarnation: int
    epoch: int
    nonce: bytes

    @property
    def run_key(self) -> RunKey:
        """Key of the ticket's record in the ledger."""
        return RunKey(self.scope, self.organisation, self.nonce.hex(), ticket=True)


class TicketCodec:
    """Issues, signs and verifies tickets, at entries and agents.

    Args:
        system_key: Secret that all processes of one system share.
        random_bytes: Source of nonces.

    Example:
        >>> codec = TicketCodec("secret")
        >>> text = codec.issue("service/booking", "cafe", "bench-1", incarnation=7, epoch=3)
        >>> codec.read(text).endpoint
        'bench-1'
    """

    __slots__ = ("_decoder", "_key", "_random_bytes")

    def __init__(
        self, system_key: str, random_bytes: Callable[[int], bytes] = secrets.token_bytes
    ) -> None:
        # A derived key: bytes signed for another purpose are never accepted as a ticket.
        self._key = hmac.new(system_key.encode(), _KEY_PURPOSE, hashlib.sha256).digest()
        self._random_bytes = random_bytes
        self._decoder = msgspec.msgpack.Decoder(Ticket)

    def issue(
        self, scope: str, organisation: str, endpoint: str, incarnation: int, epoch: int
    ) -> str:
        """Return a new ticket, encoded as a header value."""
        nonce = self._random_bytes(NONCE_BYTES)
        ticket = Ticket(scope, organisation, endpoint, incarnation, epoch, nonce)
        payload = msgspec.msgpack.encode(ticket)
        return base64.urlsafe_b64encode(self._mac(payload) + payload).decode().rstrip("=")

    def read(self, text: str) -> Ticket:
        """Return the ticket in ``text``.

        Raises:
            RequestError: TICKET_MALFORMED if it cannot be decoded or was not signed with this key.
        """
        raw = _decode(text)
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise RequestError(Code.TICKET_MALFORMED, "the ticket's signature does not match")
        try:
            return self._decoder.decode(payload)
        except msgspec.DecodeError as exc:
            raise RequestError(Code.TICKET_MALFORMED, str(exc)) from exc

    def read_for(self, text: str, scope: str, organisation: str) -> Ticket:
        """Return the ticket in ``text``, which must be issued for this scope and organisation.

        Raises:
            RequestError: TICKET_MALFORMED as in ``read``, or if scope or organisation differ.
        """
        ticket = self.read(text)
        if ticket.organisation != organisation or ticket.scope != scope:
            raise RequestError(
                Code.TICKET_MALFORMED, "the ticket was issued for another scope or organisation"
            )
        return ticket

    def _mac(self, payload: bytes) -> bytes:
        return hmac.new(self._key, payload, hashlib.sha256).digest()


def _decode(text: str) -> bytes:
    if len(text) > MAX_TICKET_LENGTH:
        raise RequestError(
            Code.TICKET_MALFORMED, f"the ticket is longer than {MAX_TICKET_LENGTH} characters"
        )
    padded = text + "=" * (-len(text) % 4)
    try:
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as exc:
        raise RequestError(Code.TICKET_MALFORMED, "the ticket is not valid base64url") from exc


@dataclass(slots=True, frozen=True)
class Admitted:
    """The ticket may be run or replayed here.

    Attributes:
        keep_until: Timestamp until which the record of its outcome must be kept.
    """

    keep_until: float


class Epochs:
    """The ticket epochs of one agent incarnation.

    Args:
        clock: The agent's clock.
        endpoint: Name of the agent's endpoint.
        incarnation: Random number that the agent drew when it started.
        epoch_seconds: Length of an epoch.
        ticket_epochs: Epochs for which a ticket stays valid after the one it names.
    """

    __slots__ = ("_clock", "_endpoint", "_epoch_seconds", "_incarnation", "_start", "_window")

    def __init__(
        self,
        clock: Clock,
        endpoint: str,
        incarnation: int,
        epoch_seconds: float = EPOCH_SECONDS,
        ticket_epochs: int = TICKET_VALID_EPOCHS,
    ) -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._epoch_seconds = epoch_seconds
        self._window = ticket_epochs
        self._start = clock.monotonic()

    @property
    def current(self) -> int:
        """Number of the current epoch, from 1; sent as ``EndpointReport.ticket_epoch``."""
        return 1 + int((self._clock.monotonic() - self._start) / self._epoch_seconds)

    def admit(self, ticket: Ticket) -> Admitted | Refuse:
        """Return whether a ticket may be run or replayed here.

        The record of an outcome is kept until exactly the timestamp from which its ticket is
        rejected, so no ticket is admitted after its record was removed.
        """
        if ticket.incarnation != self._incarnation or ticket.endpoint != self._endpoint:
            return Refuse(Code.RUN_INCARNATION_GONE)
        if ticket.epoch > self.current:
            return Refuse(Code.TICKET_MALFORMED, detail="the ticket's epoch has not started")
        end = self._end(ticket.epoch)
        if end <= self._clock.monotonic():
            return Refuse(Code.RUN_EXPIRED)
        return Admitted(end)

    def stamp_refusal(self, stamp: int) -> Refuse | None:
        """Reject a request with an idempotency key whose propagation delay is too long.

        An entry stamps such a request with this agent's epoch, as last received, when it has read
        the caller's complete request. An entry that is paused after that resumes with an old stamp.
        If the request ran then, its key could already have been removed and it would run twice. A
        request with a valid stamp is at most ``late_arrival`` old, and keys are kept for that much
        longer.
        """
        if stamp > self.current - STAMP_VALID_EPOCHS:
            return None
        return Refuse(
            Code.RUN_EXPIRED,
            self._epoch_seconds,
            "the request took too long to reach the agent",
        )

    @property
    def late_arrival(self) -> float:
        """Seconds that a request may spend between its stamp and this agent."""
        return STAMP_VALID_EPOCHS * self._epoch_seconds

    def _end(self, epoch: int) -> float:
        return self._start + (epoch + self._window) * self._epoch_seconds
