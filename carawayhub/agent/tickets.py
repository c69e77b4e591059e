"""Tickets: permission to run one request once, at one incarnation of one agent.

An entry issues a ticket from the report that the agent last sent it; no call is needed. Only the
incarnation that the ticket names ever runs it, so no view of the fleet and no configuration can
lead to a second run. How long a ticket is good for is counted in epochs of that agent alone: the
agent advances them by its own clock, and refuses and forgets a ticket at the same reading of it.
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
TICKET_EPOCHS = 120
NONCE_BYTES = 16
MAC_BYTES = 32
MAX_TICKET_LENGTH = 1024
STAMP_EPOCHS = 2
"""Epochs for which the stamp of a keyed request is good; see ``stamp_refusal``."""

_KEY_PURPOSE = b"carawayhub ticket"


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """What a ticket says.

    Attributes:
        scope: Service or model.
        organisation: Who may use it.
        endpoint: Where it runs.
        incarnation: The only incarnation of the endpoint's agent that runs it.
        epoch: Epoch of that incarnation when its report was made.
        nonce: Makes it the only one of its kind.
    """

    scope: str
    organisation: str
    endpoint: str
    incarnation: int
    epoch: int
    nonce: bytes

    @property
    def run_key(self) -> RunKey:
        """The name under which the ledger knows the ticket."""
        return RunKey(self.scope, self.organisation, self.nonce.hex(), ticket=True)


class TicketOffice:
    """Issues tickets and reads them, at entries and agents alike.

    Args:
        system_key: The secret that all processes of one system share.
        random_bytes: Source of nonces.

    Example:
        >>> office = TicketOffice("secret")
        >>> text = office.issue("service/booking", "cafe", "bench-1", incarnation=7, epoch=3)
        >>> office.read(text).endpoint
        'bench-1'
    """

    __slots__ = ("_decoder", "_key", "_random_bytes")

    def __init__(
        self, system_key: str, random_bytes: Callable[[int], bytes] = secrets.token_bytes
    ) -> None:
        # A key of its own: bytes signed for another purpose can never pass for a ticket.
        self._key = hmac.new(system_key.encode(), _KEY_PURPOSE, hashlib.sha256).digest()
        self._random_bytes = random_bytes
        self._decoder = msgspec.msgpack.Decoder(Ticket)

    def issue(
        self, scope: str, organisation: str, endpoint: str, incarnation: int, epoch: int
    ) -> str:
        """Return a new ticket as text for a header."""
        nonce = self._random_bytes(NONCE_BYTES)
        ticket = Ticket(scope, organisation, endpoint, incarnation, epoch, nonce)
        payload = msgspec.msgpack.encode(ticket)
        return base64.urlsafe_b64encode(self._mac(payload) + payload).decode().rstrip("=")

    def read(self, text: str) -> Ticket:
        """Return the ticket in ``text``.

        Raises:
            RequestError: TICKET_MALFORMED where it cannot be read or was not issued with this key.
        """
        raw = _decode(text)
        mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(payload)):
            raise RequestError(Code.TICKET_MALFORMED, "its signature does not match")
        try:
            return self._decoder.decode(payload)
        except msgspec.DecodeError as exc:
            raise RequestError(Code.TICKET_MALFORMED, str(exc)) from exc

    def read_for(self, text: str, scope: str, organisation: str) -> Ticket:
        """Return the ticket in ``text``, which must have been issued for this scope and caller.

        Raises:
            RequestError: TICKET_MALFORMED as in ``read``, or where it was issued for others.
        """
        ticket = self.read(text)
        if ticket.organisation != organisation or ticket.scope != scope:
            raise RequestError(Code.TICKET_MALFORMED, "it was issued for something else")
        return ticket

    def _mac(self, payload: bytes) -> bytes:
        return hmac.new(self._key, payload, hashlib.sha256).digest()


def _decode(text: str) -> bytes:
    if len(text) > MAX_TICKET_LENGTH:
        raise RequestError(Code.TICKET_MALFORMED, f"it is longer than {MAX_TICKET_LENGTH}")
    padded = text + "=" * (-len(text) % 4)
    try:
        return base64.b64decode(padded, altchars=b"-_", validate=True)
    except (binascii.Error, ValueError) as exc:
        raise RequestError(Code.TICKET_MALFORMED, "it is not base64url") from exc


@dataclass(slots=True, frozen=True)
class Admitted:
    """The ticket may be run or replayed here.

    Attributes:
        keep_until: Reading of the clock until which its outcome must be remembered.
    """

    keep_until: float


class Epochs:
    """The ticket epochs of one agent incarnation.

    Args:
        clock: The agent's clock.
        endpoint: The endpoint beside the agent.
        incarnation: Random number that the agent drew when it started.
        epoch_seconds: Length of an epoch.
        ticket_epochs: Epochs for which a ticket is good after the one it names.
    """

    __slots__ = ("_clock", "_endpoint", "_epoch_seconds", "_incarnation", "_start", "_window")

    def __init__(
        self,
        clock: Clock,
        endpoint: str,
        incarnation: int,
        epoch_seconds: float = EPOCH_SECONDS,
        ticket_epochs: int = TICKET_EPOCHS,
    ) -> None:
        self._clock = clock
        self._endpoint = endpoint
        self._incarnation = incarnation
        self._epoch_seconds = epoch_seconds
        self._window = ticket_epochs
        self._start = clock.monotonic()

    @property
    def current(self) -> int:
        """Number of the epoch now, from 1; goes into ``EndpointReport.ticket_epoch``."""
        return 1 + int((self._clock.monotonic() - self._start) / self._epoch_seconds)

    def admit(self, ticket: Ticket) -> Admitted | Refuse:
        """Say whether a ticket may be run or replayed here.

        An outcome is remembered until the very reading from which on its ticket is refused, so no
        ticket is ever met after its outcome was forgotten.
        """
        if ticket.incarnation != self._incarnation or ticket.endpoint != self._endpoint:
            return Refuse(Code.RUN_INCARNATION_GONE)
        if ticket.epoch > self.current:
            return Refuse(Code.TICKET_MALFORMED, detail="its epoch has not begun")
        end = self._end(ticket.epoch)
        if end <= self._clock.monotonic():
            return Refuse(Code.RUN_EXPIRED)
        return Admitted(end)

    def stamp_refusal(self, stamp: int) -> Refuse | None:
        """Refuse a request with an idempotency key that was long on its way.

        An entry stamps such a request with this agent's epoch, as last heard, when it has read the
        caller's whole request. An entry that is paused after that wakes with an old stamp. Were the
        request run then, its key could have been forgotten already and it would run twice; a
        request with a good stamp is at most ``late_arrival`` old, and keys are remembered for that
        much longer.
        """
        if stamp > self.current - STAMP_EPOCHS:
            return None
        return Refuse(
            Code.RUN_EXPIRED,
            self._epoch_seconds,
            "the request was on its way for too long",
        )

    @property
    def late_arrival(self) -> float:
        """Seconds that a request may spend between its stamp and this agent."""
        return STAMP_EPOCHS * self._epoch_seconds

    def _end(self, epoch: int) -> float:
        return self._start + (epoch + self._window) * self._epoch_seconds
