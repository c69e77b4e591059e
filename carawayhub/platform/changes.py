"""Decodes events of the store into changes of the published state."""

from collections.abc import Sequence

import msgspec

from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import (
    Change,
    DomainEvacuated,
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    EvacuationEnded,
    Published,
    TablePublished,
)
from carawayhub.gateway.revision import Revision
from carawayhub.platform.published import CONFIG_KEY, decode_route_table
from carawayhub.platform.registrations import ENDPOINT_PREFIX, decode_endpoint

EVACUATION_PREFIX = "op/evacuate/"
"""Keys of evacuations, followed by the failure domain; their values mean nothing."""


class Event(msgspec.Struct, array_like=True, frozen=True):
    """One write or removal of a key.

    Attributes:
        key: The key.
        rev: Revision of this write or removal.
        created_rev: Revision at which the key was first written.
        deleted: Whether the key was removed.
        content: The written value.
    """

    key: str
    rev: int
    created_rev: int = 0
    deleted: bool = False
    content: bytes = b""


def decode_published(
    revision: Revision, events: Sequence[Event], unreadable: Sequence[str] = ()
) -> Published:
    """Decode events into changes of the published state.

    Args:
        revision: Revision up to which all changes are known.
        events: The events, oldest first.
        unreadable: Descriptions of other content that could not be decoded.
    """
    changes: list[Change] = []
    problems = list(unreadable)
    for event in events:
        try:
            change = _change(event, revision.era)
        except PlatformError as exc:
            problems.append(str(exc))
            continue
        if change is not None:
            changes.append(change)
    return Published(revision=revision, changes=tuple(changes), unreadable=tuple(problems))


def _change(event: Event, era: int) -> Change | None:
    """Decode an event; None if its key names nothing that the gateway reads."""
    if event.key.startswith(ENDPOINT_PREFIX):
        return _endpoint_change(event, era)
    if event.key.startswith(EVACUATION_PREFIX):
        return _evacuation_change(event, era)
    if event.key == CONFIG_KEY and not event.deleted:
        return TablePublished(decode_route_table(event.content))
    return None


def _evacuation_change(event: Event, era: int) -> Change | None:
    domain = event.key.removeprefix(EVACUATION_PREFIX)
    if not domain:
        return None
    if event.deleted:
        return EvacuationEnded(domain)
    return DomainEvacuated(domain, Revision(era, event.rev))


def _endpoint_change(event: Event, era: int) -> Change:
    replica = event.key.removeprefix(ENDPOINT_PREFIX)
    if event.deleted:
        return EndpointRemoved(replica)
    try:
        registered = Revision(era, event.created_rev)
        return EndpointPublished(decode_endpoint(event.key, event.content, registered))
    except PlatformError as exc:
        return EndpointUnreadable(replica, str(exc), Revision(era, event.rev))
