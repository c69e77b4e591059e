"""Puts versions into force at one process and tells its parts."""

from collections.abc import Callable

import anyio.to_thread

from carawayhub.codes import Code
from carawayhub.config.files import ConfigFile
from carawayhub.config.model import Configuration
from carawayhub.config.problem import ConfigRefusedError
from carawayhub.config.version import Accepted, Conflict, HighWater, Older, Refused, Same
from carawayhub.errors import ConfigError
from carawayhub.output.audit import AuditTrail, Subject

Subscriber = Callable[[Configuration], None]


class Acceptance:
    """The configuration in force; see ``Acceptor`` for the port that it fills.

    Args:
        audit: Takes each version that comes into force or is refused.
    """

    __slots__ = ("_audit", "_held", "_subscribers")

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit
        self._held = HighWater()
        self._subscribers: list[Subscriber] = []

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force, None before the first."""
        return self._held.configuration

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call ``subscriber`` with each version that comes into force."""
        self._subscribers.append(subscriber)

    async def accept(self, version: int, files: tuple[ConfigFile, ...]) -> None:
        """Check a version and put it in force.

        Raises:
            ConfigError: CONFIG_OLDER_VERSION, CONFIG_VERSION_CONFLICT, or why it is refused.
        """
        if self._held.is_costly(files):
            verdict = await anyio.to_thread.run_sync(self._held.offer, version, files)
        else:
            verdict = self._held.offer(version, files)
        match verdict:
            case Accepted(configuration=cfg, previous=previous):
                self._in_force(cfg, previous)
            case Conflict(in_force=cfg, adopted=True):
                self._in_force(cfg, None)
            case Conflict(offered=offered):
                raise ConfigError(Code.CONFIG_VERSION_CONFLICT, f"{version} with digest {offered}")
            case Older(in_force=in_force):
                raise ConfigError(Code.CONFIG_OLDER_VERSION, f"{version} after {in_force}")
            case Refused(problems=problems):
                raise ConfigRefusedError(problems)
            case Same():
                return

    def _in_force(self, cfg: Configuration, previous: Configuration | None) -> None:
        before = "none" if previous is None else str(previous.version)
        self._audit.version = cfg.version
        self._audit.record(
            Subject.CONFIGURATION, "version", before, str(cfg.version), "version in force"
        )
        for subscriber in self._subscribers:
            subscriber(cfg)
