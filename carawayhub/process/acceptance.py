"""The configuration in force at one process, and the parts that are told of a new one."""

from collections.abc import Callable

from carawayhub.config.model import Configuration
from carawayhub.config.version import Accepted, Conflict, Verdict
from carawayhub.output.audit import AuditTrail, Subject

Subscriber = Callable[[Configuration], None]


class InForce:
    """Takes the verdicts on versions; see ``HighWaterAcceptor``.

    Args:
        audit: Takes each version that comes into force.

    Attributes:
        configuration: The configuration in force, None before the first.
    """

    __slots__ = ("_audit", "_subscribers", "configuration")

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._subscribers: list[Subscriber] = []
        self.configuration: Configuration | None = None

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each version that comes into force."""
        self._subscribers.append(subscriber)

    def decided(self, verdict: Verdict) -> None:
        """Put an accepted version in force; what was refused changes nothing."""
        match verdict:
            case Accepted(configuration=cfg):
                self._enter(cfg, "version in force")
            case Conflict(in_force=cfg, adopted=True):
                self._enter(cfg, "the greater of two contents under one number")

    def _enter(self, cfg: Configuration, reason: str) -> None:
        held = self.configuration
        before = "none" if held is None else str(held.version)
        self.configuration = cfg
        self._audit.version = cfg.version
        self._audit.record(Subject.CONFIGURATION, "version", before, str(cfg.version), reason)
        for subscriber in self._subscribers:
            subscriber(cfg)
