"""Records events of the configuration synchronisation in the audit trail and the log."""

from loguru import logger

from carawayhub.fleet.events import (
    FetchFailed,
    ServiceStale,
    SyncEvent,
    VersionAccepted,
    VersionConflict,
    VersionRefused,
)
from carawayhub.output.audit import AuditTrail, Subject


class SyncAudit:
    """Records synchronisation events; ``InForce`` records the version that comes into force."""

    __slots__ = ("_audit",)

    def __init__(self, audit: AuditTrail) -> None:
        self._audit = audit

    def record_event(self, event: SyncEvent) -> None:
        """Record one event."""
        match event:
            case VersionAccepted(id=id, source=source, files_fetched=count):
                logger.bind(version=id.version, source=source, files=count).info("version accepted")
            case VersionRefused(id=id, source=source, error=error):
                self._record(source, "", f"{id.version} refused", str(error))
            case VersionConflict(in_force=held, other=other, source=source):
                reason = f"{other.version} has another content at {source}"
                self._record("conflict", held.digest, other.digest, reason)
            case ServiceStale(in_force=held, served=served):
                reason = "the service serves an old version; the newer one stays in force"
                self._record("service", str(held.version), str(served.version), reason)
            case FetchFailed(id=id, source=source, reason=reason):
                logger.bind(version=id.version, source=source).info("fetch failed: {}", reason)

    def _record(self, name: str, before: str, after: str, reason: str) -> None:
        self._audit.record(Subject.CONFIGURATION, name, before, after, reason)
