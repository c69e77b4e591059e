"""The published state as known to this process, its age, and the endpoints that may be used."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import replace

from loguru import logger

from carawayhub.clock import Clock
from carawayhub.gateway.departures import Departures
from carawayhub.gateway.evacuations import Evacuations
from carawayhub.gateway.groupavailability import GroupAvailability
from carawayhub.gateway.loads import work_key
from carawayhub.gateway.model import Endpoint, EndpointState, RouteTable, superseded
from carawayhub.gateway.ports import (
    Change,
    DomainEvacuated,
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    EvacuationEnded,
    Published,
    Source,
    TablePublished,
)
from carawayhub.gateway.revision import Revision

LAPSE_GRACE_SECONDS = 2.2
"""Seconds after the store is available again within which lapsed entries may be renewed.

The platform promises about two seconds; the rest covers one answer.
"""

MAX_FORMER_LIFETIME_UPDATES = 3
"""Heartbeats after which a lifetime that seems to be a former one counts as the present one. One
heartbeat may arrive late after a replica restarted. If they continue, the clock of the replica was
set back, and its latest update, for example that it drains, must take effect."""

MAX_AWAITED_PROOFS = 16
"""Maximum number of remembered proofs of unknown revisions; further ones will be reported again."""

LAPSE_HEARTBEATS = 1.0
"""Heartbeats of endpoints for which calls must have failed before entries may have lapsed.

An entry lapses after three heartbeats. Before the first failure was seen, the store may have been
unavailable for the pause between two calls plus the duration of the failed one, which is the rest.
"""

EVACUATION_CHANGES = (DomainEvacuated, EvacuationEnded)

LEAVING_MEMORY_SECONDS = 3600.0
"""Time for which a replica that announced its leaving is remembered once it is not listed. Its
registration may lapse and return while the store is away."""


class FleetView:
    """The published state as known to this process.

    Args:
        clock: Source of time; it must count suspensions of the VM.
        heartbeat: Seconds between two heartbeats of an endpoint in the store.

    Attributes:
        table: The configuration in force, None while none is known.
        revision: Everything published up to this revision is known.
        unreadable_entries: Number of endpoint entries so far that could not be read. Each revision
            of an entry counts once.
        confirmed_at: Time at which the newest call was sent whose answer proved this view to be the
            newest. Anything published later is not in its answer.
        on_table: Called when a configuration comes into force, with the longest time in seconds
            since it was published; infinite for the first configuration.
        on_evacuation_ended: Called with the endpoints of a failure domain that is used again.
        on_registration: Called with a registration, the last one of the same lifetime if one is
            known, and where it was read.
    """

    __slots__ = (
        "_awaited",
        "_by_service",
        "_clock",
        "_current",
        "_departures",
        "_endpoints",
        "_evacuated_services",
        "_evacuations",
        "_failing_since",
        "_misdirected",
        "_heartbeat",
        "_lapsed",
        "_leaving_since",
        "_former_lifetime_updates",
        "_group_status",
        "_unavailable",
        "_superseded",
        "_removals_trusted_from",
        "_unproved_until",
        "_unreadable",
        "confirmed_at",
        "on_evacuation_ended",
        "on_registration",
        "on_table",
        "revision",
        "table",
        "unreadable_entries",
    )

    def __init__(self, clock: Clock, heartbeat: float) -> None:
        self._clock = clock
        self._heartbeat = heartbeat
        self._endpoints: dict[str, Endpoint] = {}
        self._by_service: dict[str, tuple[Endpoint, ...]] = {}
        self._current: dict[str, str] = {}
        self._unreadable: dict[str, Revision] = {}
        self._former_lifetime_updates: Counter[str] = Counter()
        self._group_status = GroupAvailability(clock)
        self._unavailable: dict[str, tuple[Endpoint, ...]] = {}
        self._lapsed: dict[str, float] = {}
        self._misdirected: set[str] = set()
        self._leaving_since: dict[str, float] = {}
        self._departures = Departures(heartbeat)
        self._evacuations = Evacuations(clock)
        self._evacuated_services: frozenset[str] = frozenset()
        self._superseded: frozenset[str] = frozenset()
        self.confirmed_at = float("-inf")
        self._awaited: dict[Revision, float] = {}
        self._failing_since: float | None = None
        self._removals_trusted_from = float("-inf")
        self._unproved_until = float("-inf")
        self.table: RouteTable | None = None
        self.revision = Revision()
        self.unreadable_entries = 0
        self.on_table: Callable[[float], None] = _ignore_delay
        self.on_evacuation_ended: Callable[[Sequence[Endpoint]], None] = _ignore_endpoints
        self.on_registration: Callable[[Endpoint, Endpoint | None, Source], None] = (
            _ignore_registration
        )

    @property
    def age(self) -> float:
        """Seconds since the newest call whose answer proved this view to be the newest."""
        return self._clock.monotonic() - self.confirmed_at

    @property
    def grace(self) -> float:
        """Seconds for which removed entries are still assumed to have only lapsed, 0 for none."""
        return max(0.0, self._removals_trusted_from - self._clock.monotonic())

    @property
    def unanswered_seconds(self) -> float:
        """Seconds for which the store has not answered this entry, 0 while it does."""
        if self._failing_since is None:
            return 0.0
        return self._clock.monotonic() - self._failing_since

    def failed(self, since: float) -> None:
        """Record that a call failed, and since when the store is known not to answer."""
        if self._failing_since is None:
            self._failing_since = since

    def record_store_answer(self) -> None:
        """Record that the store answered. After a long outage, entries may have lapsed."""
        since, self._failing_since = self._failing_since, None
        if since is None:
            return
        away = self._clock.monotonic() - since
        if away > LAPSE_HEARTBEATS * self._heartbeat:
            self.distrust_removals(LAPSE_GRACE_SECONDS)
            logger.bind(away_seconds=round(away, 2)).warning("store is back")

    def distrust_removals(self, seconds: float) -> None:
        """Assume that entries removed within the next ``seconds`` have only lapsed."""
        self._removals_trusted_from = max(
            self._removals_trusted_from, self._clock.monotonic() + seconds
        )

    def adopt_distrust(self, seconds: float) -> None:
        """Assume with a peer that removed entries have only lapsed, unless the store was not away.

        A peer that was cut off takes that for an outage of the store. If this view was proved to
        be the newest all the while, the store was there, and entries are removed because their
        replicas left.
        """
        now = self._clock.monotonic()
        is_proved = self.age <= LAPSE_HEARTBEATS * self._heartbeat
        if not is_proved or now - self._unproved_until <= LAPSE_GRACE_SECONDS:
            self.distrust_removals(seconds)

    def confirm_revision(self, revision: Revision, proved_at: float) -> None:
        """Record a proof that ``revision`` was the newest at ``proved_at``.

        A proof of a revision that is not known here yet counts as soon as it is known. While
        changes follow each other closely, an entry is always slightly behind. A proof says nothing
        of another era: revisions are given out again in each.
        """
        if revision.era == self.revision.era and revision <= self.revision:
            self.confirm(proved_at)
        elif revision.era < self.revision.era:
            return
        elif revision in self._awaited or len(self._awaited) < MAX_AWAITED_PROOFS:
            known_at = self._awaited.get(revision, proved_at)
            self._awaited[revision] = max(known_at, proved_at)

    def confirm(self, sent_at: float) -> None:
        """Record that a call sent at ``sent_at`` proved this view to be the newest."""
        if sent_at - self.confirmed_at > LAPSE_HEARTBEATS * self._heartbeat:
            self._unproved_until = self._clock.monotonic()
        self.confirmed_at = max(self.confirmed_at, sent_at)

    def replace(self, published: Published, source: Source = Source.LISTING) -> None:
        """Apply a snapshot. Endpoints that it does not list are removed."""
        if self.table is not None and published.revision.era != self.revision.era:
            self._enter_era(published, source)
        named = {
            change.endpoint.incarnation.replica
            for change in published.changes
            if isinstance(change, EndpointPublished)
        }
        gone: list[Change] = [EndpointRemoved(each) for each in self._current if each not in named]
        evacuated = frozenset(
            change.domain for change in published.changes if isinstance(change, DomainEvacuated)
        )
        gone += map(EvacuationEnded, self._evacuations.missing(evacuated))
        listed = {
            change.replica for change in published.changes if isinstance(change, EndpointUnreadable)
        }
        self._unreadable = {name: at for name, at in self._unreadable.items() if name in listed}
        self._apply((*published.changes, *gone), source)
        self._set_revision(published.revision)
        self._log_unreadable(published)

    def _enter_era(self, published: Published, source: Source) -> None:
        """Prepare for the content of another era, which may lack what was acknowledged in this one.

        What the store has lost is written again. Until then this stays in force: the configuration
        (see ``_apply_table``), and that replicas leave or have left. Entries that are missing are
        held as after an outage, unless a peer that has waited for them sends the content.
        """
        self._drop_lapsed()
        if source is Source.LISTING:
            self.distrust_removals(LAPSE_GRACE_SECONDS)
        held_out = self._departures.enter_era(self._clock.monotonic(), self._endpoints.values())
        self._evacuations.enter_era()
        self._lapsed = {
            each: max(until, self._removals_trusted_from) for each, until in self._lapsed.items()
        }
        self._former_lifetime_updates.clear()
        logger.bind(
            before=self.revision.era,
            now=published.revision.era,
            known_revision=self.revision.number,
            revision=published.revision.number,
            source=source.value,
            version=self.table.version if self.table is not None else 0,
            left=held_out,
            announced=sorted(self._leaving_since),
            grace=round(self.grace, 2),
        ).warning(
            "entered another era of the store; what was known to leave or to be gone stays so"
        )

    def extend(self, published: Published, source: Source = Source.WATCH) -> None:
        """Apply changes that follow this view; changes of another era do not."""
        if published.revision.era != self.revision.era:
            logger.bind(
                era=published.revision.era, known=self.revision.era, source=source.value
            ).warning("changes of another era are not applied")
            return
        for change in published.changes:
            if isinstance(change, EndpointPublished):
                self._departures.record_write(change.endpoint.id)
        changes = published.changes
        if published.revision < self.revision:
            # An answer that a newer one has overtaken: its last state of a domain is outdated.
            changes = tuple(each for each in changes if not isinstance(each, EVACUATION_CHANGES))
        self._apply(changes, source)
        self._set_revision(max(self.revision, published.revision))
        self._log_unreadable(published)

    def _set_revision(self, revision: Revision) -> None:
        self.revision = revision
        self._awaited = {each: at for each, at in self._awaited.items() if each.era >= revision.era}
        for each in [each for each in self._awaited if each <= revision]:
            self.confirm(self._awaited.pop(each))

    def endpoint(self, endpoint_id: str) -> Endpoint | None:
        """Return an endpoint, None if it may not get requests."""
        found = self._endpoints.get(endpoint_id)
        if found is None or self._has_lapsed(endpoint_id):
            return None
        return found if self._may_get_requests(found) else None

    def endpoint_of(self, replica: str) -> Endpoint | None:
        """Return the current run of a replica, None if it may not get requests."""
        return self.endpoint(self._current.get(replica, ""))

    def is_departing(self, endpoint_id: str) -> bool:
        """Return whether an endpoint is leaving or gone.

        One whose failure domain is evacuated isn't: if it ends, it did not end as planned.
        """
        found = self._endpoints.get(endpoint_id)
        if found is None or self._has_lapsed(endpoint_id):
            return True
        return not self._is_in_service(found)

    def evacuated_domains(self) -> Mapping[str, Revision]:
        """Return the evacuated failure domains with the revisions of the requests."""
        return self._evacuations.revisions()

    def has_evacuated(self, service: str) -> bool:
        """Return whether endpoints of a service get no requests only since they are evacuated."""
        self._drop_outdated()
        return service in self._evacuated_services

    def ids(self) -> frozenset[str]:
        """Return the ids of all known endpoints, whatever their state."""
        return frozenset(self._endpoints)

    def serving(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that may get requests, in available groups."""
        self._drop_outdated()
        return self._by_service.get(service, ())

    def standing_still(self, service: str) -> tuple[Endpoint, ...]:
        """Return the endpoints of a service that are excluded only as their group is stalled."""
        self._drop_outdated()
        return self._unavailable.get(service, ())

    def is_group_available(self, endpoint: Endpoint) -> bool:
        """Return whether the group of an endpoint is available, as far as is known."""
        return self._group_status.is_available(endpoint)

    def endpoints_by_keys(self, keys: frozenset[int]) -> list[Endpoint]:
        """Return the endpoints with these keys; see ``loads.work_key``."""
        return [each for each in self._endpoints.values() if work_key(each.id) in keys]

    def rank_ended(self, endpoint: Endpoint) -> None:
        """Record that a rank ended. Its group gets no requests until it forms again.

        Ranks register that their group is stalled only 1.5 s later. Requests sent to them until
        then would wait there and be refused.
        """
        if endpoint.membership is not None:
            self._group_status.rank_ended(endpoint.membership)
            self._rebuild()

    def misdirected(self, endpoint_id: str) -> None:
        """Record that another incarnation has the address of an endpoint.

        The entry of a crashed replica remains for three heartbeats. Until then its successor would
        refuse each request for it. An incarnation that has ended never returns.
        """
        if endpoint_id in self._endpoints:
            self._drop_endpoint(endpoint_id, "another has its address")
            self._misdirected.add(endpoint_id)
            self._rebuild()

    def record_leaving(self, endpoint_id: str) -> bool:
        """Record that a replica announced its leaving; return whether that is new.

        It gets no requests from then on, whatever the store lists. Only another lifetime of the
        replica, which has another endpoint id, is used again.
        """
        if endpoint_id in self._leaving_since:
            return False
        now = self._clock.monotonic()
        self._leaving_since = {
            name: since
            for name, since in self._leaving_since.items()
            if name in self._endpoints or now - since < LEAVING_MEMORY_SECONDS
        }
        self._leaving_since[endpoint_id] = now
        self._rebuild()
        return True

    def _has_lapsed(self, endpoint_id: str) -> bool:
        until = self._lapsed.get(endpoint_id)
        return until is not None and until <= self._clock.monotonic()

    def _drop_outdated(self) -> None:
        if self._lapsed:
            self._drop_lapsed()
        now = self._clock.monotonic()
        if self._group_status.next_expiry() <= now:
            self._group_status.drop_expired()
            self._rebuild()
        if self._departures.release(now):
            self._rebuild()
        expired = self._evacuations.expire()
        if expired:
            self._rebuild()
            self._notify_evacuations_ended(expired)

    def _drop_lapsed(self) -> None:
        gone = [each for each in self._lapsed if self._has_lapsed(each)]
        for each in gone:
            self._drop_endpoint(
                each, "its entry lapsed during an outage of the store and was not renewed"
            )
        if gone:
            self._rebuild()

    def _apply(self, changes: Iterable[Change], source: Source) -> None:
        ended = []
        for change in changes:
            match change:
                case TablePublished(table):
                    self._apply_table(table, source)
                case EndpointPublished(endpoint):
                    self._apply_endpoint(endpoint, source)
                case EndpointRemoved(replica):
                    self._remove_or_hold(replica)
                case EndpointUnreadable(replica, problem, revision):
                    self._drop_unreadable(replica, problem, revision)
                case DomainEvacuated():
                    self._evacuations.begin(change, source, self.age)
                case EvacuationEnded(domain):
                    if self._evacuations.end(domain, source, self.age):
                        ended.append(domain)
        self._rebuild()
        self._notify_evacuations_ended(ended)

    def _notify_evacuations_ended(self, domains: Sequence[str]) -> None:
        for domain in domains:
            if domain not in self._evacuations:
                self.on_evacuation_ended(
                    [each for each in self._endpoints.values() if each.failure_domain == domain]
                )

    def _apply_table(self, table: RouteTable, source: Source) -> None:
        """Put a configuration into force unless it is older than the current one.

        Guards against a store that serves old history after a loss of data: callers would be routed
        by a configuration that was already replaced.
        """
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        logger.bind(
            version=table.version,
            routes=len(table.routes()),
            source=source.value,
            late_at_most=None if math.isinf(self.age) else round(self.age, 3),
        ).info("configuration in force")
        self.on_table(self.age)

    def _apply_endpoint(self, endpoint: Endpoint, source: Source) -> None:
        if endpoint.id in self._misdirected or self._is_from_former_lifetime(endpoint):
            return
        self._unreadable.pop(endpoint.incarnation.replica, None)
        before = self._endpoints.get(endpoint.id)
        endpoint = _with_registration(endpoint, before)
        self._current[endpoint.incarnation.replica] = endpoint.id
        self._endpoints[endpoint.id] = endpoint
        self._lapsed.pop(endpoint.id, None)
        self.on_registration(endpoint, before, source)
        if before is None or before.state is not endpoint.state:
            logger.bind(
                endpoint=endpoint.id,
                address=str(endpoint.address),
                service=endpoint.service,
                state=endpoint.state.value,
                named=self._is_service_configured(endpoint),
            ).info("endpoint published")

    def _is_from_former_lifetime(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is a former lifetime of its replica.

        Otherwise drop the known lifetime. A replica may restart under the same id and then has lost
        its former work, so nothing recorded for the former lifetime may count for the new one. A
        late heartbeat of the former lifetime must not end the new one.
        """
        known = self._current_of(endpoint.incarnation.replica)
        if known is None or known.id == endpoint.id:
            return False
        if endpoint.incarnation.is_before(known.incarnation):
            self._former_lifetime_updates[endpoint.id] += 1
            logger.bind(endpoint=endpoint.id, now=known.id).info(
                "late heartbeat of a former lifetime"
            )
            if self._former_lifetime_updates[endpoint.id] < MAX_FORMER_LIFETIME_UPDATES:
                return True
        self._former_lifetime_updates.pop(endpoint.id, None)
        self._drop_endpoint(known.id, "it started again")
        return False

    def _current_of(self, replica: str) -> Endpoint | None:
        return self._endpoints.get(self._current.get(replica, ""))

    def _drop_unreadable(self, replica: str, problem: str, revision: Revision) -> None:
        """Stop using an endpoint whose entry cannot be read; log this once for each revision."""
        known = self._current_of(replica)
        if known is not None:
            self._drop_endpoint(known.id, "its entry cannot be read")
        if self._unreadable.get(replica) == revision:
            return
        self._unreadable[replica] = revision
        self.unreadable_entries += 1
        logger.bind(replica=replica, problem=problem, revision=revision.number).warning(
            "entry of an endpoint cannot be read; the endpoint is not used"
        )

    def _remove_or_hold(self, replica: str) -> None:
        """Remove an endpoint, or keep it for now if its entry may only have lapsed.

        While the store is unavailable, endpoints cannot renew their entries, which lapse although
        the endpoints are alive. Removing them at once would leave a service without endpoints.
        """
        self._unreadable.pop(replica, None)
        self._misdirected = {
            each for each in self._misdirected if each.partition("@")[0] != replica
        }
        known = self._current_of(replica)
        if known is None:
            return
        now = self._clock.monotonic()
        if now < self._removals_trusted_from:
            self._lapsed.setdefault(known.id, self._removals_trusted_from)
            return
        self._drop_endpoint(known.id, "its entry was removed")

    def _drop_endpoint(self, endpoint_id: str, reason: str) -> None:
        self._lapsed.pop(endpoint_id, None)
        known = self._endpoints.pop(endpoint_id, None)
        if known is not None:
            self._current.pop(known.incarnation.replica, None)
            self._departures.record_removal(endpoint_id)
            logger.bind(endpoint=endpoint_id, reason=reason).info("endpoint is gone")

    def _is_service_configured(self, endpoint: Endpoint) -> bool:
        """Return whether the configuration contains the service of an endpoint.

        Otherwise an entry by another writer, under a service of its own, could replace an endpoint
        that has the same address.
        """
        return self.table is None or endpoint.service in self.table.services

    def _rebuild(self) -> None:
        found: dict[str, list[Endpoint]] = {}
        unavailable: dict[str, list[Endpoint]] = {}
        evacuated = set()
        self._superseded = superseded(filter(self._is_service_configured, self._endpoints.values()))
        self._group_status.update(self._endpoints.values())
        for each in self._endpoints.values():
            if self._may_get_requests(each):
                names = found if self._group_status.is_available(each) else unavailable
                names.setdefault(each.service, []).append(each)
            elif self._is_in_service(each) and self._group_status.is_available(each):
                evacuated.add(each.service)
        self._by_service = {name: tuple(each) for name, each in found.items()}
        self._evacuated_services = frozenset(evacuated)
        self._unavailable = {name: tuple(each) for name, each in unavailable.items()}

    def _may_get_requests(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint may get requests, apart from its group and its heartbeats."""
        return endpoint.failure_domain not in self._evacuations and self._is_in_service(endpoint)

    def _is_in_service(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is neither leaving nor replaced by another one."""
        if endpoint.state is not EndpointState.READY:
            return False
        if self._departures.is_held_out(endpoint.id, self._clock.monotonic()):
            return False
        return endpoint.id not in self._superseded and endpoint.id not in self._leaving_since

    def _log_unreadable(self, published: Published) -> None:
        for problem in published.unreadable:
            logger.bind(problem=problem).error(
                "published content cannot be read; the last readable content stays in force"
            )


def _with_registration(endpoint: Endpoint, before: Endpoint | None) -> Endpoint:
    """Return an endpoint with the revision of a former era at which it registered.

    The copy from which the store returns lists what registered before it under the same number. If
    it counted as a registration of this era, it would supersede endpoints that registered later.
    """
    if before is None or before.registered.era == endpoint.registered.era:
        return endpoint
    if before.registered.number != endpoint.registered.number:
        return endpoint
    return replace(endpoint, registered=before.registered)


def _ignore_delay(seconds: float) -> None:
    return


def _ignore_endpoints(endpoints: Sequence[Endpoint]) -> None:
    return


def _ignore_registration(endpoint: Endpoint, before: Endpoint | None, source: Source) -> None:
    return
