"""What agents tell each other of run-once requests: entries, fences, lookups and handovers.

Remaining times cross the wire, never clock readings. Every class is a tagged ``msgspec`` struct, so
that unions of them decode without a type field of our own.
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
    """Names one run-once request.

    Attributes:
        scope: Service or model, as ``service_scope`` or ``model_scope`` writes it.
        organisation: Who sent it; keys of two organisations never meet.
        key: The idempotency key, or the nonce of a ticket.
        ticket: Whether it came with a ticket.
    """

    scope: str
    organisation: str
    key: str
    ticket: bool = False


class RunId(msgspec.Struct, frozen=True, order=True):
    """One try to run a request; never used again.

    Attributes:
        member: Slot of the agent that made the try.
        incarnation: Random number that the agent drew when it started.
        number: Count of its tries.
    """

    member: Member
    incarnation: int
    number: int


class Answer(msgspec.Struct, frozen=True, tag=True):
    """The endpoint's whole answer.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: Whole body.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class AnswerNotKept(msgspec.Struct, frozen=True, tag=True):
    """The request ran to its end, and its answer was too large to keep.

    Attributes:
        status: HTTP status.
    """

    status: int


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """Bytes of the request were sent and no whole answer came back; never run again.

    Attributes:
        code: Number of the result that says why.
    """

    code: int


class NotRun(msgspec.Struct, frozen=True, tag=True):
    """No byte of the request reached the endpoint; it may be run under the same key.

    Attributes:
        code: Number of the result that says why.
    """

    code: int


class RunsElsewhere(msgspec.Struct, frozen=True, tag=True):
    """Other agents began the request and have not said how it ended.

    Attributes:
        runs: Their tries, sorted.
    """

    runs: tuple[RunId, ...]


RunResult = Answer | AnswerNotKept | OutcomeUnknown | NotRun
EntryState = Answer | AnswerNotKept | OutcomeUnknown | RunsElsewhere


class LedgerEntry(msgspec.Struct, frozen=True):
    """What one agent knows of one key, on its way to another.

    Attributes:
        key: The request.
        body_digest: SHA-256 of method, path and body.
        remaining: Seconds for which it must still be remembered.
        state: What became of it.
    """

    key: RunKey
    body_digest: bytes
    remaining: float
    state: EntryState


class LookUp(msgspec.Struct, frozen=True):
    """Asks the agent that made a try how it ended."""

    key: RunKey
    run: RunId


class LookUpReply(msgspec.Struct, frozen=True):
    """Says how a try ended.

    Attributes:
        key: The request.
        run: The try that was asked for.
        not_run: Whether that try ended without a byte sent.
        entry: What is known of the key now; none where it is not known any more.
    """

    key: RunKey
    run: RunId
    not_run: bool = False
    entry: LedgerEntry | None = None


class FenceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Asks a peer to stand at the sender's set of members or a newer configuration.

    Attributes:
        scope: Service or model.
        sender: Slot of the sender.
        incarnation: The sender's.
        sequence: Number of this request at the sender; the reply repeats it.
        version: Configuration version in force at the sender.
        digest: Digest of the sender's set of members.
        holds: Whether the sender has the peer's entries for this set already.
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
        remaining: Seconds until its keys have expired; none while it is not known to be fenced.
    """

    member: Member
    leaving: bool
    remaining: float | None = None


class FenceAck(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Promises that the sender runs no key of the asker from here on, in this set.

    Attributes:
        scope: Service or model.
        sender: Slot of the one who promises.
        incarnation: Its incarnation.
        asker: Incarnation of the one that asked.
        sequence: The request's.
        version: Configuration version in force at the sender.
        digest: Digest of the set, equal to the request's.
        quarantine: Seconds for which keys that the sender has no entry of may have run.
        entries: Entries whose home is the asker; empty where the asker holds them.
        formers: Members that the asker must hear as well.
        closed: Incarnation of the asker's slot that handed its whole ledger over before it
            stopped; none where that is not known.
        closed_quarantine: Quarantine of that incarnation, in seconds.
        remembers: Whether the sender has lost no memory of what it promised before.
        gone: Members whose VM the platform's list called gone and that the sender has not heard
            from since; an agent that started later never saw them listed.
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
    """Promises nothing: the two stand at different sets of members.

    Attributes:
        scope: Service or model.
        sender: Slot of the one who refuses.
        asker: Incarnation of the one that asked.
        sequence: The request's.
        version: Configuration version in force at the sender; the older of the two must catch up.
    """

    scope: str
    sender: Member
    asker: int
    sequence: int
    version: int


FenceReply = FenceAck | FenceRefusal


class Handover(msgspec.Struct, frozen=True, kw_only=True):
    """Entries pushed by an agent that stops; its last message for a scope.

    Attributes:
        scope: Service or model.
        sender: Slot of the agent that stops.
        incarnation: Its incarnation.
        digest: Digest of its set of members.
        quarantine: Seconds for which keys that it has no entry of may have run.
        entries: The part of its ledger that the receiver keeps from now on.
        part: Number of this part, from 0.
        parts: Parts in all to this receiver.
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
    """Says that one part of a handover is in the receiver's ledger.

    Attributes:
        scope: Service or model.
        receiver: Slot of the one that took it.
        incarnation: Incarnation of the agent that stops.
        part: Number of the part.
    """

    scope: str
    receiver: Member
    incarnation: int
    part: int
