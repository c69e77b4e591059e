"""Which other entries are known, and who of them acts for others."""

from collections import Counter
from collections.abc import Iterable, Sequence

from loguru import logger

from carawayhub.gateway.hello import Hello, MemberRow, PeerEntry, Phase

READER_COUNT = 2
"""Entries that read the published state for all, in different failure domains. With one, its loss
would leave all without proofs until another takes over; a third added calls alone."""

REPORTED_PEER_TTL_SECONDS = 3.0
"""Seconds after which an entry counts as gone that only a delegate told of and names no more: a
few of the lists of members that it tells."""


MISSING_TTL_SECONDS = 20.0
"""Seconds for which an entry that is gone is held to send requests still, while most others are
heard: it may only be cut off from this one."""

DIRECT_CONTACT_SECONDS = 0.7
"""Seconds since an entry was heard itself after which a delegate is believed that does not name it:
a little more than those after which the delegate finds its silence."""


class Peers:
    """The other entries that are known.

    Args:
        ip: IP number of this entry.
        failure_domain: Where it stands.

    Attributes:
        most: Most entries known at one time, this one among them; 0 while none was heard.
        grown_at: When that grew last.
    """

    __slots__ = ("_by_ip", "_domain", "_ip", "_missing", "grown_at", "peak")

    def __init__(self, ip: str, failure_domain: str) -> None:
        self._ip = ip
        self._domain = failure_domain
        self._by_ip: dict[str, PeerEntry] = {}
        self._missing: dict[str, float] = {}
        self.peak = 0
        self.grown_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_ip)

    def get(self, ip: str) -> PeerEntry | None:
        """Return the peer at an IP number."""
        return self._by_ip.get(ip)

    def ips(self) -> list[str]:
        """Return the IP numbers of all peers."""
        return list(self._by_ip)

    def all(self) -> Iterable[PeerEntry]:
        """Return all peers."""
        return self._by_ip.values()

    def in_own_domain(self) -> list[PeerEntry]:
        """Return the peers of this entry's failure domain."""
        return [each for each in self._by_ip.values() if each.failure_domain == self._domain]

    def is_newer(self, hello: Hello) -> bool:
        """Return whether a datagram says something new; datagrams may overtake each other."""
        known = self._by_ip.get(hello.ip)
        if known is None or known.incarnation != hello.incarnation:
            return True
        return hello.number > known.number

    def record_hello(self, hello: Hello, phase: Phase, now: float, timeout: float) -> bool:
        """Note what a peer says of itself; return whether this run of it was not heard before."""
        known = self._by_ip.get(hello.ip)
        until = now + timeout
        if known is not None and known.incarnation == hello.incarnation:
            # A delegate that told of it vouches for it longer than its own greeting does.
            until = max(until, known.reported_until)
        self._put(
            PeerEntry(
                hello.ip,
                hello.incarnation,
                hello.number,
                phase,
                hello.callers,
                hello.failure_domain,
                until,
                hello.news.revision,
                hello.news.reads,
                now,
            ),
            now,
        )
        return known is None or not known.number or known.incarnation != hello.incarnation

    def record_members(self, rows: Iterable[MemberRow], domain: str | None, now: float) -> None:
        """Note which entries a delegate tells of; those that it does not name are gone.

        Args:
            rows: The entries.
            domain: The failure domain that it tells for, None for all.
            now: The present time.
        """
        named = set()
        for row in rows:
            named.add(row.ip)
            if row.ip != self._ip:
                self._put(self._reported_entry(row, now), now)
        gone = [
            each.ip
            for each in self._by_ip.values()
            if each.ip not in named
            and domain in (None, each.failure_domain)
            and now - each.heard_at > DIRECT_CONTACT_SECONDS
        ]
        self.drop(gone, "not named any more", now)

    def _reported_entry(self, row: MemberRow, now: float) -> PeerEntry:
        known = self._by_ip.get(row.ip)
        number, revision, heard_at = 0, 0, float("-inf")
        until = now + REPORTED_PEER_TTL_SECONDS
        if known is not None and known.incarnation == row.incarnation:
            number, revision, heard_at = known.number, known.revision, known.heard_at
        return PeerEntry(
            row.ip,
            row.incarnation,
            number,
            Phase(row.phase),
            row.callers,
            row.failure_domain,
            until,
            revision,
            row.reads,
            heard_at,
            until,
        )

    def _put(self, entry: PeerEntry, now: float) -> None:
        known = self._by_ip.get(entry.ip)
        self._by_ip[entry.ip] = entry
        self._missing.pop(entry.ip, None)
        if len(self._by_ip) + 1 > self.peak:
            self.peak = len(self._by_ip) + 1
            self.grown_at = now
        changed = known is None or (known.phase, known.incarnation) != (
            entry.phase,
            entry.incarnation,
        )
        if changed:
            logger.bind(peer=entry.ip, phase=entry.phase.name).info("peer heard")

    def reachable_fraction(self, now: float) -> float:
        """Return the part of all entries that is heard of, this one among them.

        Entries that are gone count as cut off for some time, and for as long as fewer are heard
        than missed: who hears nobody is more likely to be cut off itself than to be alone.
        """
        self._forget_missing(now)
        reachable = len(self._by_ip) + 1
        return reachable / (reachable + len(self._missing))

    def _forget_missing(self, now: float) -> None:
        if len(self._by_ip) + 1 > len(self._missing):
            oldest = now - MISSING_TTL_SECONDS
            self._missing = {ip: at for ip, at in self._missing.items() if at > oldest}

    def drop(self, ips: Iterable[str], reason: str, now: float) -> None:
        """Forget peers that are gone."""
        # Nobody may ask for the part for weeks, in which replaced entries would outnumber the rest.
        self._forget_missing(now)
        for ip in ips:
            gone = self._by_ip.pop(ip)
            if gone.phase is not Phase.LEAVING:
                self._missing[ip] = now
            logger.bind(peer=ip, phase=gone.phase.name, reason=reason).warning("peer is gone")

    def silent(self, now: float) -> list[str]:
        """Return the peers that count as gone."""
        return [each.ip for each in self._by_ip.values() if each.expires_at <= now]

    def in_phase(self, phase: Phase, now: float) -> list[PeerEntry]:
        """Return the peers that live and say this of themselves."""
        return [
            each for each in self._by_ip.values() if each.phase is phase and each.expires_at > now
        ]

    def ahead_of(self, revision: int) -> list[PeerEntry]:
        """Return the peers that know more than a revision."""
        return [each for each in self._by_ip.values() if each.revision > revision]

    def readers(self, own_fits: bool) -> frozenset[str]:
        """Return the entries that read the published state for all.

        Entries that know the same choose the same ones, in as many failure domains as there are;
        who knows less may read as well, which costs some calls and no more.

        Args:
            own_fits: Whether this entry may be one.
        """
        fit = (Phase.STARTING, Phase.READY)
        candidates = [
            (each.failure_domain, each.ip)
            for each in self._by_ip.values()
            if each.phase in fit and each.reads
        ]
        if own_fits:
            candidates.append((self._domain, self._ip))
        return pick_across_domains(candidates, READER_COUNT)

    def delegate(self, leaving: bool) -> str:
        """Return the entry that tells for this one's failure domain, empty where there is none.

        Args:
            leaving: Whether this entry stops.
        """
        fit = [each.ip for each in self.in_own_domain() if each.phase is not Phase.LEAVING]
        if not leaving:
            fit.append(self._ip)
        return min(fit, default="")

    def other_delegates(self) -> list[str]:
        """Return the entries that tell for the other failure domains."""
        by_domain: dict[str, list[str]] = {}
        for each in self._by_ip.values():
            if each.failure_domain != self._domain and each.phase is not Phase.LEAVING:
                by_domain.setdefault(each.failure_domain, []).append(each.ip)
        return [min(ips) for ips in by_domain.values()]


def pick_across_domains(entries: Sequence[tuple[str, str]], count: int) -> frozenset[str]:
    """Return the entries that act for all: the first of each failure domain, then the second ones.

    Args:
        entries: Failure domain and IP number of each that may.
        count: How many are wanted.
    """
    seen: Counter[str] = Counter()
    order = []
    for domain, ip in sorted(entries, key=lambda each: each[1]):
        order.append((seen[domain], ip))
        seen[domain] += 1
    return frozenset(ip for _, ip in sorted(order)[:count])
