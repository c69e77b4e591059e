"""Known peers, and the selection of delegates and readers among them."""

from collections import Counter
from collections.abc import Iterable, Sequence

from loguru import logger

from carawayhub.gateway.hello import Hello, MemberRow, PeerEntry, Phase
from carawayhub.gateway.revision import KnownContent, Revision

READER_COUNT = 2
"""Number of entries, in different failure domains, that read the published state for all. With only
one, its loss would leave all entries without proofs until another takes over. A third would only
add calls to the store."""

REPORTED_PEER_TTL_SECONDS = 3.0
"""Time after which an entry that only a delegate has reported is removed if it isn't reported
again. It covers a few member lists."""


MISSING_TTL_SECONDS = 20.0
"""Time for which a removed entry is assumed to keep sending requests, while most others are
reachable: it may only be partitioned from this one."""

DIRECT_CONTACT_SECONDS = 0.7
"""Time since the last datagram of an entry after which its absence from a delegate's member list is
believed. It is slightly longer than the timeout by which the delegate itself removes the entry."""


class Peers:
    """Registry of the other known entries.

    Args:
        ip: IP address of this entry.
        failure_domain: Failure domain of this entry.

    Attributes:
        peak: Largest number of entries known at once, including this one; 0 before the first peer.
        grown_at: Time at which ``peak`` last increased.
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
        """Return the peer with an IP address."""
        return self._by_ip.get(ip)

    def ips(self) -> list[str]:
        """Return the IP addresses of all peers."""
        return list(self._by_ip)

    def all(self) -> Iterable[PeerEntry]:
        """Return all peers."""
        return self._by_ip.values()

    def in_own_domain(self) -> list[PeerEntry]:
        """Return the peers in this entry's failure domain."""
        return [each for each in self._by_ip.values() if each.failure_domain == self._domain]

    def is_newer(self, hello: Hello) -> bool:
        """Return whether a hello is newer than the last one; datagrams may arrive out of order."""
        known = self._by_ip.get(hello.ip)
        if known is None or known.incarnation != hello.incarnation:
            return True
        return hello.number > known.number

    def record_hello(self, hello: Hello, phase: Phase, now: float, timeout: float) -> bool:
        """Record a hello; return whether it is the first one received from this run of the peer."""
        known = self._by_ip.get(hello.ip)
        until = now + timeout
        if known is not None and known.incarnation == hello.incarnation:
            # A delegate's report may be valid for longer than the peer's own introduction.
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
                hello.news.position,
                hello.news.reads,
                now,
                hello.news.version,
                capacity=hello.capacity,
                in_flight=hello.in_flight,
            ),
            now,
        )
        return known is None or not known.number or known.incarnation != hello.incarnation

    def record_members(self, rows: Iterable[MemberRow], domain: str | None, now: float) -> None:
        """Record the entries that a delegate reports, and remove those that it doesn't report.

        Args:
            rows: Reported entries.
            domain: Failure domain that the report covers, None for all.
            now: Current time.
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
        self.drop(gone, "no longer reported by the delegate", now)

    def _reported_entry(self, row: MemberRow, now: float) -> PeerEntry:
        known = self._by_ip.get(row.ip)
        number, revision, heard_at, version = 0, Revision(), float("-inf"), -1
        until = now + REPORTED_PEER_TTL_SECONDS
        if known is not None and known.incarnation == row.incarnation:
            number, revision, heard_at = known.number, known.revision, known.heard_at
            version = known.version
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
            version,
            until,
            row.capacity,
            row.in_flight,
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
            logger.bind(peer=entry.ip, phase=entry.phase.name).info("peer started or changed phase")

    def reachable_fraction(self, now: float) -> float:
        """Return the fraction of all entries that are reachable, including this one.

        Removed entries count as partitioned for some time, and for as long as they outnumber the
        reachable ones: an entry that receives nothing is more likely to be partitioned itself than
        to be the only one running.
        """
        self._forget_missing(now)
        reachable = len(self._by_ip) + 1
        return reachable / (reachable + len(self._missing))

    def _forget_missing(self, now: float) -> None:
        if len(self._by_ip) + 1 > len(self._missing):
            oldest = now - MISSING_TTL_SECONDS
            self._missing = {ip: at for ip, at in self._missing.items() if at > oldest}

    def drop(self, ips: Iterable[str], reason: str, now: float) -> None:
        """Remove peers."""
        # ``reachable_fraction`` may not be called for weeks. Without this call, replaced entries
        # would accumulate until they outnumber the reachable ones, and never expire.
        self._forget_missing(now)
        for ip in ips:
            gone = self._by_ip.pop(ip)
            if gone.phase is not Phase.LEAVING:
                self._missing[ip] = now
            logger.bind(peer=ip, phase=gone.phase.name, reason=reason).warning("peer removed")

    def silent(self, now: float) -> list[str]:
        """Return the peers whose timeout has passed."""
        return [each.ip for each in self._by_ip.values() if each.expires_at <= now]

    def in_phase(self, phase: Phase, now: float) -> list[PeerEntry]:
        """Return the live peers in a phase."""
        return [
            each for each in self._by_ip.values() if each.phase is phase and each.expires_at > now
        ]

    def ahead_of(self, known: KnownContent, era: int) -> list[PeerEntry]:
        """Return the peers that know more of an era, or a later configuration."""
        return [
            each
            for each in self._by_ip.values()
            if each.revision.era == era
            and (each.revision > known.revision or each.version > known.version)
        ]

    def readers(self, own_fits: bool) -> frozenset[str]:
        """Return the entries that read the published state for all.

        Entries with the same list of peers select the same readers, in different failure domains if
        possible. An entry that knows fewer peers may also read, which only costs extra calls.

        Args:
            own_fits: Whether this entry is a candidate.
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
        """Return the IP address of this failure domain's delegate, or an empty string.

        Args:
            leaving: Whether this entry is stopping.
        """
        fit = [each.ip for each in self.in_own_domain() if each.phase is not Phase.LEAVING]
        if not leaving:
            fit.append(self._ip)
        return min(fit, default="")

    def other_delegates(self) -> list[str]:
        """Return the IP addresses of the delegates of the other failure domains."""
        by_domain: dict[str, list[str]] = {}
        for each in self._by_ip.values():
            if each.failure_domain != self._domain and each.phase is not Phase.LEAVING:
                by_domain.setdefault(each.failure_domain, []).append(each.ip)
        return [min(ips) for ips in by_domain.values()]


def pick_across_domains(entries: Sequence[tuple[str, str]], count: int) -> frozenset[str]:
    """Select entries: the first by IP address in each failure domain, then the second ones.

    Args:
        entries: Failure domain and IP address of each candidate.
        count: Number of entries to select.
    """
    seen: Counter[str] = Counter()
    order = []
    for domain, ip in sorted(entries, key=lambda each: each[1]):
        order.append((seen[domain], ip))
        seen[domain] += 1
    return frozenset(ip for _, ip in sorted(order)[:count])
