"""What is written to the store, decoded into changes of the published state."""

from collections.abc import Sequence

import msgspec

from carawayhub.errors import PlatformError
from carawayhub.gateway.ports import (
    Change,
    EndpointPublished,
    EndpointRemoved,
    EndpointUnreadable,
    Published,
    TablePublished,
)
from carawayhub.platform.published import CONFIG_KEY, decode_route_table
from carawayhub.platform.registrations import ENDPOINT_PREFIX, decode_endpoint


class Event(msgspec.Struct, array_like=True, frozen=True):
    """One write or removal of a key.

    Attributes:
        key: The key.
        rev: Revision at which it happened.
        created_rev: Revision at which the key was written first.
        deleted: Whether the key was removed.
        content: What was written.
    """

    key: str
    rev: int
    created_rev: int = 0
    deleted: bool = False
    content: bytes = b""


def published(revision: int, events: Sequence[Event], unreadable: Sequence[str] = ()) -> Published:
    """Return what events say, oldest first, and what is known with them.

    Args:
        revision: Everything up to it is known.
        events: The events.
        unreadable: What else could not be read.
    """
    changes: list[Change] = []
    problems = list(unreadable)
    for event in events:
        try:
            change = _change(event)
        except PlatformError as exc:
            problems.append(str(exc))
            continue
        if change is not None:
            changes.append(change)
    return Published(revision=revision, changes=tuple(changes), unreadable=tuple(problems))


def _change(event: Event) -> Change | None:
    """Return what an event says, None where it concerns nothing that is known here."""
    if event.key.startswith(ENDPOINT_PREFIX):
        return _endpoint_change(event)
    if event.key == CONFIG_KEY and not event.deleted:
        return TablePublished(decode_route_table(event.content))
    return None


def _endpoint_change(event: Event) -> Change:
    replica = event.key.removeprefix(ENDPOINT_PREFIX)
    if event.deleted:
        return EndpointRemoved(replica)
    try:
        return EndpointPublished(decode_endpoint(event.key, event.content, event.created_rev))
    except PlatformError as exc:
        return EndpointUnreadable(replica, str(exc), event.rev)
