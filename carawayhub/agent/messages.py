"""Messages between agents about run-once requests: entries, fences, lookups and handovers.

The messages carry remaining times, never clock timestamps. The members of each union are tagged
``msgspec`` structs, so that the union decodes without a type field of its own.
"""

import msgspec


class Member(msgspec.Struct, frozen=True, order=True):
    """One agent's slot: an endpoint at one address.

    An endpoint that moves to another VM is another member, since its old agent may still run.

    Attributes:
        endpoint: Name of the endpoint.
        agent: ``ip:port`` of the agent.
        vm: Name of the VM in the platform's list.
    """

    endpoint: str
    agent: str
    vm: str = ""


class RunKey(msgspec.Struct, frozen=True, order=True):
    """Identifies one run-once request.

    Attributes:
        scope: Service or model, as ``service_scope`` or ``model_scope`` returns it.
        organisation: Organisation that sent it; equal keys of two organisations are distinct.
        key: The idempotency key, or the nonce of a ticket.
        ticket: Whether the request carries a ticket.
    """

    scope: str
    organisation: str
    key: str
    ticket: bool = False


class RunId(msgspec.Struct, frozen=True, order=True):
    """Identifies one attempt to run a request; never reused.

    Attributes:
        member: Slot of the agent that made the attempt.
        incarnation: Random number that the agent drew when it started.
        number: Number of the attempt at that incarnation.
    """

    member: Member
    incarnation: int
    number: int


class Answer(msgspec.Struct, frozen=True, tag=True):
    """The endpoint's complete answer.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class AnswerNotKept(msgspec.Struct, frozen=True, tag=True):
    """The request completed, but its answer was too large to keep.

    Attributes:
        status: HTTP status.
    """

    status: int


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """Bytes of the request were sent and no complete answer was received; never run again.

    Attributes:
        code: Number of the result code with the reason.
    """

    code: int


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """No byte of the request reached the endpoint; it may run under the same key.

    Attributes:
        code: Number of the result code with the reason.
    """

    code: int


class RunsElsewhere(msgspec.Struct, frozen=True, tag=True):
    """Other agents started the request and have not reported its outcome.

    Attributes:
        runs: Their attempts, sorted.
    """

    runs: tuple[RunId, ...]


RunResult = Answer | AnswerNotKept | OutcomeUnknown | NotRun
EntryState = Answer | AnswerNotKept | OutcomeUnknown | RunsElsewhere


class LedgerEntry(msgspec.Struct, frozen=True):
    """The record of one key at one agent, as sent to another agent.

    Attributes:
        key: The request.
        body_digest: SHA-256 of method, path and body.
        remaining: Seconds for which the record must still be kept.
        state: State of the request.
    """

    key: RunKey
    body_digest: bytes
    remaining: float
    state: EntryState


class LookUp(msgspec.Struct, frozen=True):
    """Asks the agent that made an attempt for its outcome."""

    key: RunKey
    run: RunId


class LookUpReply(msgspec.Struct, frozen=True):
    """Reports the outcome of an attempt.

    Attributes:
        key: The request.
        run: The attempt that was asked for.
        not_run: Whether that attempt ended without a byte sent.
        entry: Current entry of the key; None if the agent has none, or none any more.
    """

    key: RunKey
    run: RunId
    not_run: bool = False
    entry: LedgerEntry | None = None


class FenceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer to apply the sender's set of members or a newer configuration.

    Attributes:
        scope: Service or model.
        sender: Slot of the sender.
        incarnation: Incarnation of the sender.
        sequence: Number of this request at the sender; the reply repeats it.
        version: Configuration version in force at the sender.
        digest: Digest of the sender's set of members.
        holds: Whether the sender already has the peer's entries for this set.
    """

    scope: str
    sender: Member
    incarnation: int
    sequence: int
    version: int
    digest: str
    holds: bool = False


class FormerMember(msgspec.Struct, frozen=True):
    """A member that left the set and may still hold or run keys.

    Attributes:
        member: Its slot.
        leaving: Whether it was listed as leaving before it left the set.
        remaining: Seconds until its keys have expired; None while it is not known to be fenced.
    """

    member: Member
    leaving: bool
    remaining: float | None = None


class FenceAck(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Promises that the sender runs no key of the asker from now on, under this set.

    Attributes:
        scope: Service or model.
        sender: Slot of the agent that promises.
        incarnation: Incarnation of the sender.
        asker: Incarnation of the agent that asked.
        sequence: Sequence number of the request.
        version: Configuration version in force at the sender.
        digest: Digest of the set, equal to the request's.
        quarantine: Seconds for which keys that the sender has no entry of may have run.
        entries: Entries whose home is the asker; empty if the asker already has them.
        formers: Former members whose promise the asker needs as well.
        closed: Incarnation of the asker's slot that handed over its complete ledger before it
            stopped; None if unknown.
        closed_quarantine: Quarantine of that incarnation, in seconds.
        remembers: Whether the sender has lost none of its earlier promises.
        gone: Members whose VM the platform's list reported as gone and from which the sender has
            received nothing since; an agent that started later never saw them listed.
    """

    scope: str
    sender: Member
    incarnation: int
    asker: int
    sequence: int
    version: int
    digest: str
    quarantine: float = 0.0
    entries: tuple[LedgerEntry, ...] = ()
    formers: tuple[FormerMember, ...] = ()
    closed: int | None = None
    closed_quarantine: float = 0.0
    remembers: bool = True
    gone: tuple[Member, ...] = ()


class FenceRefusal(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Rejects a request for a promise: the two agents have different sets of members.

    Attributes:
        scope: Service or model.
        sender: Slot of the agent that rejects the request.
        asker: Incarnation of the agent that asked.
        sequence: Sequence number of the request.
        version: Configuration version in force at the sender; the agent with the older version
            must update.
    """

    scope: str
    sender: Member
    asker: int
    sequence: int
    version: int


FenceReply = FenceAck | FenceRefusal


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """Entries sent by an agent that stops; its last message for a scope.

    Attributes:
        scope: Service or model.
        sender: Slot of the agent that stops.
        incarnation: Incarnation of the sender.
        digest: Digest of its set of members.
        quarantine: Seconds for which keys without an entry at the sender may have run.
        entries: The part of its ledger that the receiver keeps from now on.
        part: Number of this part, from 0.
        parts: Total number of parts for this receiver.
    """

    scope: str
    sender: Member
    incarnation: int
    digest: str
    quarantine: float
    entries: tuple[LedgerEntry, ...]
    part: int = 0
    parts: int = 1


class HandoverTaken(msgspec.Struct, frozen=True, kw_only=True):
    """Confirms that one part of a handover is in the receiver's ledger.

    Attributes:
        scope: Service or model.
        receiver: Slot of the agent that accepted it.
        incarnation: Incarnation of the agent that stops.
        part: Number of the part.
    """

    scope: str
    receiver: Member
    incarnation: int
    part: int
