"""Admission control by rate, concurrency, overload and deadline."""

import random
from collections.abc import Callable, Iterable

from carawayhub.clock import Clock
from carawayhub.codes import Code
from carawayhub.config.model import Configuration
from carawayhub.errors import RequestError
from carawayhub.limits.account import Account
from carawayhub.limits.allotment import Key
from carawayhub.limits.overload import TargetController
from carawayhub.limits.query import AdmitQuery, Admitted
from carawayhub.limits.shares import Shares
from carawayhub.peers.messages import OrganisationDemand
from carawayhub.routing.query import Target

MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 10.0
OVERLOAD_RETRY_SECONDS = 1.0
CONCURRENCY_RETRY_SECONDS = 0.5
RETRY_JITTER = 0.5


class Admission:
    """Admits or rejects requests at one entry.

    A request is rejected immediately and in memory, so rejections stay cheap at any rate; nothing
    is queued here. Not thread-safe.

    Example:
        >>> admitted = admission.admit(query)  # doctest: +SKIP
        >>> admission.first_byte(admitted)  # doctest: +SKIP
        >>> admission.release(admitted, ok=True)  # doctest: +SKIP
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_controllers",
        "_removed_entries",
        "_load_of",
        "_rng",
        "_cfg",
        "shares",
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        entry: str,
        load_of: Callable[[Target], float | None] = lambda target: None,
    ) -> None:
        """Initialize admission control for one entry.

        Args:
            clock: Source of time.
            rng: Source of retry jitter.
            entry: Name of this entry.
            load_of: Returns the load of a target's endpoints relative to their capacity, or None
                if unknown, as ``Router.load_of`` does.
        """
        self._load_of = load_of
        self._clock = clock
        self._rng = rng
        self._cfg: Configuration | None = None
        self._removed_entries: frozenset[str] = frozenset()
        self._accounts: dict[str, Account] = {}
        self._controllers: dict[Target, TargetController] = {}
        self.shares = Shares(clock, entry)

    def configure(self, cfg: Configuration) -> None:
        """Apply a configuration; organisations that remain keep their counts."""
        self._cfg = cfg
        self.shares.configure(cfg, self._removed_entries)
        now = self._clock.monotonic()
        self._accounts = {
            name: self._accounts.get(name) or Account(now) for name in cfg.organisations
        }
        self._resize_accounts(self._accounts, now)

    def set_removed_entries(self, entries: frozenset[str]) -> None:
        """Set the entries whose VM is no longer in the platform's VM list."""
        if entries == self._removed_entries:
            return
        self._removed_entries = entries
        if self._cfg is not None:
            self.configure(self._cfg)

    def update_demand(
        self, entry: str, incarnation: int, demand: tuple[OrganisationDemand, ...]
    ) -> None:
        """Update the demand that another entry announced."""
        self.shares.update_demand(entry, incarnation, demand)

    def tick(self) -> tuple[OrganisationDemand, ...]:
        """Update the shares; call once per report interval.

        Returns:
            The demand to announce to the other entries; ``shares.for_peer`` filters it for one.
        """
        now = self._clock.monotonic()
        divided = self.shares.divided
        demand = {name: self._accounts[name].demand(now) for name in divided}
        rows = self.shares.tick(demand)
        self._resize_accounts(divided, now)
        return rows

    def admit(self, query: AdmitQuery) -> Admitted:
        """Admit a request or reject it immediately.

        Raises:
            RequestError: ``NOT_READY``, ``DEADLINE_PASSED``, ``RATE_EXCEEDED``,
                ``CONCURRENCY_EXCEEDED``, ``OVERLOADED`` or ``DEADLINE_UNREACHABLE``; always with
                ``retry_after``. A rejected request was not run.
        """
        now = self._clock.monotonic()
        if now >= query.deadline:
            raise self._rejection(Code.DEADLINE_PASSED, MIN_RETRY_SECONDS)
        account = self._accounts.get(query.organisation)
        if account is None:
            raise self._rejection(Code.NOT_READY, OVERLOAD_RETRY_SECONDS)
        key = Key(query.priority, query.organisation)
        controller = self._controller(query.target)
        account.record_arrival()
        controller.record_arrival(key, now)
        self._check_limits(account, now)
        if not controller.has_room(key):
            raise self._rejection(Code.OVERLOADED, OVERLOAD_RETRY_SECONDS)
        expected = controller.expected_seconds(query.cost, now)
        if now + expected > query.deadline:
            raise self._rejection(Code.DEADLINE_UNREACHABLE, expected)
        account.record_start(now)
        controller.record_start(key)
        return Admitted(query, now)

    def first_byte(self, admitted: Admitted) -> None:
        """Record the first byte of an answer; repeated calls have no effect."""
        if admitted.first_byte_at is not None or admitted.released:
            return
        now = self._clock.monotonic()
        admitted.first_byte_at = now
        self._controller(admitted.query.target).first_byte(now - admitted.at, now)

    def release(self, admitted: Admitted, ok: bool = True) -> None:
        """Release a request that has ended; repeated calls have no effect.

        Args:
            admitted: The value that ``admit`` returned.
            ok: False if the request failed or timed out.
        """
        if admitted.released:
            return
        admitted.released = True
        now = self._clock.monotonic()
        query = admitted.query
        controller = self._controller(query.target)
        held = now - admitted.at
        streamed = None
        if admitted.first_byte_at is None and not ok:
            controller.record_failure(held, now)
        if admitted.first_byte_at is not None and ok:
            streamed = now - admitted.first_byte_at
        controller.record_end(Key(query.priority, query.organisation), held, streamed, query.cost)
        account = self._accounts.get(query.organisation)
        if account is not None:
            account.record_end()

    def controller(self, target: Target) -> TargetController | None:
        """Return a target's controller for status, None before the target's first request."""
        return self._controllers.get(target)

    def _check_limits(self, account: Account, now: float) -> None:
        """Raise if the organisation is at its rate or concurrency limit; consumes no tokens."""
        wait = account.rate_wait(now)
        if wait is None or wait > 0.0:
            raise self._rejection(
                Code.RATE_EXCEEDED, OVERLOAD_RETRY_SECONDS if wait is None else wait
            )
        if not account.has_slot():
            account.record_slot_rejection()
            raise self._rejection(Code.CONCURRENCY_EXCEEDED, CONCURRENCY_RETRY_SECONDS)

    def _resize_accounts(self, organisations: Iterable[str], now: float) -> None:
        for name in organisations:
            self._accounts[name].resize(self.shares.allowance(name), now)

    def _controller(self, target: Target) -> TargetController:
        controller = self._controllers.get(target)
        if controller is None:
            controller = self._controllers[target] = TargetController(lambda: self._load_of(target))
        return controller

    def _rejection(self, code: Code, seconds: float) -> RequestError:
        """Return an error with a jittered ``retry_after``, which spreads the retries of callers."""
        bounded = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
        return RequestError(
            code, retry_after=bounded * (1.0 + self._rng.uniform(0.0, RETRY_JITTER))
        )
