"""The configuration in force in one process, and the callbacks that receive each new version."""

from collections.abc import Callable

from carawayhub.config.model import Configuration
from carawayhub.config.version import Accepted, Conflict, Verdict
from carawayhub.output.audit import AuditTrail, Subject

Subscriber = Callable[[Configuration], None]


class InForce:
    """Stores the configuration in force and notifies subscribers; see ``HighWaterAcceptor``.

    Args:
        audit: Records each version that comes into force.

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

    def apply_verdict(self, verdict: Verdict) -> None:
        """Put an accepted version in force; a refused version changes nothing."""
        match verdict:
            case Accepted(configuration=cfg):
                self._activate(cfg, "version in force")
            case Conflict(in_force=cfg, adopted=True):
                self._activate(cfg, "the greater of two contents under one number")

    def _activate(self, cfg: Configuration, reason: str) -> None:
        current = self.configuration
        before = "none" if current is None else str(current.version)
        self.configuration = cfg
        self._audit.version = cfg.version
        self._audit.record(Subject.CONFIGURATION, "version", before, str(cfg.version), reason)
        for subscriber in self._subscribers:
            subscriber(cfg)
