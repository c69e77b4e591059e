"""A planned stop: the complete ledger is sent to the peers before the agent ends.

Sequence of a stop: call ``Homes.close`` (no new key starts), wait until ``Ledger.running`` is 0,
send the parts that ``PendingHandover.pending`` returns until ``finished`` or the time limit of the
stop, then close the listening socket. While that socket is open, no other incarnation can start at
the address.
"""

from collections.abc import Iterator

from carawayhub.agent.homes import Homes
from carawayhub.agent.ledger import Ledger
from carawayhub.agent.messages import (
    Answer,
    Handover,
    HandoverTaken,
    LedgerEntry,
    Member,
)

PART_BYTES = 256 * 1024
ENTRY_OVERHEAD = 200


class PendingHandover:
    """The parts of its ledger that a stopping agent still has to hand over.

    Each entry is sent to its key's home or, if that is the agent itself, to the agent that would be
    the home without it. Every peer gets at least one part, even an empty one: all of them must know
    that this incarnation closed before the next one may skip its quarantine.

    Args:
        homes: The agent's homes, already closed.
        ledger: The agent's ledger, with no running requests.
    """

    __slots__ = ("_pending",)

    def __init__(self, homes: Homes, ledger: Ledger) -> None:
        self._pending: dict[tuple[Member, str, int], Handover] = {}
        for scope in homes.scopes():
            for receiver, entries in _by_receiver(homes, ledger, scope).items():
                self._add(homes, scope, receiver, entries)

    @property
    def finished(self) -> bool:
        """Whether every part was accepted."""
        return not self._pending

    def pending(self) -> tuple[tuple[Member, Handover], ...]:
        """Return the parts that are not accepted yet, with their receivers."""
        return tuple(
            (key[0], handover) for key, handover in sorted(self._pending.items(), key=_key_of)
        )

    def mark_accepted(self, reply: HandoverTaken) -> None:
        """Note that a receiver accepted one part."""
        self._pending.pop((reply.receiver, reply.scope, reply.part), None)

    def _add(self, homes: Homes, scope: str, receiver: Member, entries: list[LedgerEntry]) -> None:
        parts = list(_parts(entries))
        for number, part in enumerate(parts):
            self._pending[receiver, scope, number] = Handover(
                scope=scope,
                sender=homes.member,
                incarnation=homes.incarnation,
                digest=homes.key_set(scope).digest,
                quarantine=homes.quarantine(scope),
                entries=part,
                part=number,
                parts=len(parts),
            )


def _key_of(item: tuple[tuple[Member, str, int], Handover]) -> tuple[Member, str, int]:
    return item[0]


def _by_receiver(homes: Homes, ledger: Ledger, scope: str) -> dict[Member, list[LedgerEntry]]:
    members = homes.key_set(scope).members
    chosen: dict[Member, list[LedgerEntry]] = {m: [] for m in members if m != homes.member}
    for entry in ledger.export(lambda key: key.scope == scope):
        receiver = homes.key_set(scope).home_without(entry.key, homes.member)
        if receiver is not None:
            chosen[receiver].append(entry)
    return chosen


def _parts(entries: list[LedgerEntry]) -> Iterator[tuple[LedgerEntry, ...]]:
    part: list[LedgerEntry] = []
    size = 0
    for entry in entries:
        part.append(entry)
        size += _size(entry)
        if size >= PART_BYTES:
            yield tuple(part)
            part, size = [], 0
    yield tuple(part)


def _size(entry: LedgerEntry) -> int:
    body = len(entry.state.body) if isinstance(entry.state, Answer) else 0
    return body + ENTRY_OVERHEAD
