"""Whether a request is taken: rate, concurrency, overload and deadline."""

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
JITTER = 0.5


class Admission:
    """Admits or refuses requests at one entry.

    A refusal is made at once and in memory, so it costs little however many come; nothing waits
    here. Not safe for use from several threads.

    Example:
        >>> admitted = admission.admit(query)  # doctest: +SKIP
        >>> admission.first_byte(admitted)  # doctest: +SKIP
        >>> admission.release(admitted, ok=True)  # doctest: +SKIP
    """

    __slots__ = (
        "_accounts",
        "_clock",
        "_controllers",
        "_gone",
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
        """Make the admission of one entry.

        Args:
            clock: Where the time comes from.
            rng: Where jitter comes from.
            entry: Name of this entry.
            load_of: Gives the load of a target's endpoints over their capacity, None for unknown,
                as ``Router.load_of`` does.
        """
        self._load_of = load_of
        self._clock = clock
        self._rng = rng
        self._cfg: Configuration | None = None
        self._gone: frozenset[str] = frozenset()
        self._accounts: dict[str, Account] = {}
        self._controllers: dict[Target, TargetController] = {}
        self.shares = Shares(clock, entry)

    def configure(self, cfg: Configuration) -> None:
        """Take a configuration into force; counts of organisations that stay are kept."""
        self._cfg = cfg
        self.shares.configure(cfg, self._gone)
        now = self._clock.monotonic()
        self._accounts = {
            name: self._accounts.get(name) or Account(now) for name in cfg.organisations
        }
        self._resize(self._accounts, now)

    def set_gone(self, entries: frozenset[str]) -> None:
        """Name the entries whose VM the platform's list no longer has."""
        if entries == self._gone:
            return
        self._gone = entries
        if self._cfg is not None:
            self.configure(self._cfg)

    def hear(self, entry: str, incarnation: int, demand: tuple[OrganisationDemand, ...]) -> None:
        """Take the demand that another entry announced."""
        self.shares.hear(entry, incarnation, demand)

    def tick(self) -> tuple[OrganisationDemand, ...]:
        """Move the shares; to be called once in each report interval.

        Returns:
            What to announce to the other entries; ``shares.for_peer`` narrows it to one.
        """
        now = self._clock.monotonic()
        divided = self.shares.divided
        demand = {name: self._accounts[name].demand(now) for name in divided}
        rows = self.shares.tick(demand)
        self._resize(divided, now)
        return rows

    def admit(self, query: AdmitQuery) -> Admitted:
        """Take a request or refuse it at once.

        Raises:
            RequestError: ``NOT_READY``, ``DEADLINE_PASSED``, ``RATE_EXCEEDED``,
                ``CONCURRENCY_EXCEEDED``, ``OVERLOADED`` or ``DEADLINE_UNREACHABLE``; always with
                ``retry_after``. A refused request was not run.
        """
        now = self._clock.monotonic()
        if now >= query.deadline:
            raise self._refuse(Code.DEADLINE_PASSED, MIN_RETRY_SECONDS)
        account = self._accounts.get(query.organisation)
        if account is None:
            raise self._refuse(Code.NOT_READY, OVERLOAD_RETRY_SECONDS)
        key = Key(query.priority, query.organisation)
        controller = self._controller(query.target)
        account.arrived()
        controller.arrived(key, now)
        self._check_limits(account, now)
        if not controller.has_room(key):
            raise self._refuse(Code.OVERLOADED, OVERLOAD_RETRY_SECONDS)
        expected = controller.expected_seconds(query.cost, now)
        if now + expected > query.deadline:
            raise self._refuse(Code.DEADLINE_UNREACHABLE, expected)
        account.begun(now)
        controller.begun(key)
        return Admitted(query, now)

    def first_byte(self, admitted: Admitted) -> None:
        """Note the first byte of an answer; repeated calls do nothing."""
        if admitted.first_byte_at is not None or admitted.released:
            return
        now = self._clock.monotonic()
        admitted.first_byte_at = now
        self._controller(admitted.query.target).first_byte(now - admitted.at, now)

    def release(self, admitted: Admitted, ok: bool = True) -> None:
        """Give back a request that came to its end; repeated calls do nothing.

        Args:
            admitted: What ``admit`` gave.
            ok: False where it failed or timed out.
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
            controller.failed(held, now)
        if admitted.first_byte_at is not None and ok:
            streamed = now - admitted.first_byte_at
        controller.ended(Key(query.priority, query.organisation), held, streamed, query.cost)
        account = self._accounts.get(query.organisation)
        if account is not None:
            account.ended()

    def controller(self, target: Target) -> TargetController | None:
        """Return the controller of a target for status, None where no request came yet."""
        return self._controllers.get(target)

    def _check_limits(self, account: Account, now: float) -> None:
        """Raise unless rate and concurrency of the organisation leave room; spends nothing."""
        wait = account.rate_wait(now)
        if wait is None or wait > 0.0:
            raise self._refuse(Code.RATE_EXCEEDED, OVERLOAD_RETRY_SECONDS if wait is None else wait)
        if not account.has_slot():
            account.refused_slot()
            raise self._refuse(Code.CONCURRENCY_EXCEEDED, CONCURRENCY_RETRY_SECONDS)

    def _resize(self, organisations: Iterable[str], now: float) -> None:
        for name in organisations:
            self._accounts[name].resize(self.shares.allowance(name), now)

    def _controller(self, target: Target) -> TargetController:
        controller = self._controllers.get(target)
        if controller is None:
            controller = self._controllers[target] = TargetController(lambda: self._load_of(target))
        return controller

    def _refuse(self, code: Code, seconds: float) -> RequestError:
        """Return a refusal with a jittered hint, so that those refused do not return together."""
        bounded = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))
        return RequestError(code, retry_after=bounded * (1.0 + self._rng.uniform(0.0, JITTER)))
